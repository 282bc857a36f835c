/** Divides a rate of requests between ranks: each has its guaranteed share, and the rest goes to the most urgent first. */

const millisecondsPerSecond = 1_000;
/** Unused tokens of this time are kept, so that requests that arrive together are not refused below the rate. */
const keptTimeMs = 250;
/** Tokens that are kept at any rate. With few requests a second, half of them would otherwise find no whole token. */
const minimumKept = 2;

/** Token buckets: one for each rank's guaranteed share, and one for what is left. */
export class RankTokens {
    private readonly guaranteed: number[];
    private common: number = minimumKept;
    private updatedAt: number;

    /**
     * @param guaranteedShares - The guaranteed share of each rank, from 0 to 1, the most urgent rank first.
     * @param now - The time, in monotonic milliseconds.
     */
    constructor(private readonly guaranteedShares: readonly number[], now: number) {
        this.guaranteed = guaranteedShares.map(() => 0);
        this.updatedAt = now;
    }

    /**
     * Takes a token for a request of the rank; returns false if there is none.
     * @param ratePerS - The requests of all ranks that may be sent, per second.
     */
    take(rank: number, ratePerS: number, now: number): boolean {
        const kept = this.addElapsed(ratePerS, now);
        if (this.guaranteed[rank]! >= 1) {
            this.guaranteed[rank]! -= 1;
            return true;
        }
        // The last tokens are left to more urgent ranks, so that those find one when they come.
        const reserved = (kept - 1) * (rank / this.guaranteedShares.length);
        if (this.common < 1 + reserved) {
            return false;
        }
        this.common -= 1;
        return true;
    }

    /** Takes a token for an attempt that is sent in any case, such as a retry of a read whose response was lost. */
    takeUnconditionally(ratePerS: number, now: number): void {
        const kept = this.addElapsed(ratePerS, now);
        this.common = Math.max(-kept, this.common - 1);
    }

    private addElapsed(ratePerS: number, now: number): number {
        const added = (Math.max(0, now - this.updatedAt) / millisecondsPerSecond) * ratePerS;
        const kept = minimumKept + (keptTimeMs / millisecondsPerSecond) * ratePerS;
        this.updatedAt = now;
        let remaining = added;
        this.guaranteedShares.forEach((share, rank) => {
            const before = this.guaranteed[rank]!;
            this.guaranteed[rank] = Math.min(Math.max(1, kept * share), before + added * share);
            remaining -= this.guaranteed[rank] - before;
        });
        this.common = Math.min(kept, this.common + remaining);
        return kept;
    }
}
