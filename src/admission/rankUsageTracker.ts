/** Tracks the slot time that each rank uses, and orders ranks so that each gets its guaranteed share. */

/** Half-life of past usage in milliseconds. */
const halfLifeMs = 2_000;

/** Decayed slot time and in-flight requests by rank. Ranks are given by index and times in monotonic milliseconds. */
export class RankUsageTracker {
    private readonly usage: number[];
    private readonly inFlight: number[];
    private updatedAt: number;

    /**
     * @param guaranteedShares - The guaranteed share of each rank, from 0 to 1, the most urgent rank first.
     * @param now - The time at which the first usage period starts.
     */
    constructor(private readonly guaranteedShares: readonly number[], now: number) {
        this.usage = guaranteedShares.map(() => 0);
        this.inFlight = guaranteedShares.map(() => 0);
        this.updatedAt = now;
    }

    /** Records that a request of the rank acquired a slot. */
    addInFlight(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.inFlight[rank]! += 1;
    }

    /** Records that a request of the rank released its slot. */
    removeInFlight(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.inFlight[rank]! -= 1;
    }

    /** Records that the empty queue of a rank received a request. Raises the rank's usage to its share, so that idle time earns no credit. */
    recordBacklog(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.usage[rank] = Math.max(this.usage[rank]!, this.guaranteedShares[rank]! * this.getTotalUsage());
    }

    /** Returns the number of requests of the rank that hold a slot. */
    getInFlight(rank: number): number {
        return this.inFlight[rank] ?? 0;
    }

    /**
     * Lists rank indexes in the order in which they may take the next slot: ranks below their guaranteed share first,
     * the largest deficit first, then all other ranks by urgency.
     */
    listRanksByPriority(now: number): readonly number[] {
        this.applyElapsedTime(now);
        const total = this.getTotalUsage();
        const ranks = this.guaranteedShares.map((share, rank) => ({ rank, deficit: total === 0 ? 0 : share - this.usage[rank]! / total }));
        const belowShare = ranks.filter(({ deficit }) => deficit > 0).sort((a, b) => b.deficit - a.deficit);
        const atOrAboveShare = ranks.filter(({ deficit }) => deficit <= 0);
        return [...belowShare, ...atOrAboveShare].map(({ rank }) => rank);
    }

    /** Returns each rank's fraction of the recent slot time, rounded to three decimals. */
    getUsageFractions(): readonly number[] {
        const total = this.getTotalUsage();
        return this.usage.map(used => total === 0 ? 0 : Math.round((used / total) * 1_000) / 1_000);
    }

    /** Decays past usage and adds the slot time of the in-flight requests since the last update. */
    private applyElapsedTime(now: number): void {
        const elapsedMs = now - this.updatedAt;
        if (elapsedMs <= 0) {
            return;
        }
        const decay = 2 ** (-elapsedMs / halfLifeMs);
        this.usage.forEach((used, rank) => {
            this.usage[rank] = used * decay + this.inFlight[rank]! * elapsedMs;
        });
        this.updatedAt = now;
    }

    private getTotalUsage(): number {
        return this.usage.reduce((sum, used) => sum + used, 0);
    }
}
