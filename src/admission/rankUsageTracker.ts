/** Divides a service's capacity between ranks: the most urgent first, each rank keeping its guaranteed share. */

/** Time in which past usage loses half of its weight, in milliseconds. */
const halfLifeMs = 2_000;

/** Accounts for the slot time that each rank has used; it is told the time, in monotonic milliseconds. */
export class RankUsageTracker {
    private readonly usage: number[];
    private readonly inFlight: number[];
    private updatedAt: number;

    /**
     * @param guaranteedShares - The guaranteed share of each rank, the most urgent first.
     * @param now - The time.
     */
    constructor(private readonly guaranteedShares: readonly number[], now: number) {
        this.usage = guaranteedShares.map(() => 0);
        this.inFlight = guaranteedShares.map(() => 0);
        this.updatedAt = now;
    }

    /**
     * Records that a rank's request took a slot.
     * @param rank - The rank's place.
     * @param now - The time.
     */
    addInFlight(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.inFlight[rank]! += 1;
    }

    /**
     * Records that a rank's request freed its slot.
     * @param rank - The rank's place.
     * @param now - The time.
     */
    removeInFlight(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.inFlight[rank]! -= 1;
    }

    /**
     * Records that a rank has work waiting again; what it left unused while idle is not saved up.
     * @param rank - The rank's place.
     * @param now - The time.
     */
    recordBacklog(rank: number, now: number): void {
        this.applyElapsedTime(now);
        this.usage[rank] = Math.max(this.usage[rank]!, this.guaranteedShares[rank]! * this.getTotalUsage());
    }

    /** Returns the requests of a rank that hold a slot. */
    getInFlight(rank: number): number {
        return this.inFlight[rank] ?? 0;
    }

    /**
     * Lists the ranks in the order in which they may take the next slot: those below their guarantee, the neediest
     * first, then the others by urgency.
     * @param now - The time.
     */
    listRanksByPriority(now: number): readonly number[] {
        this.applyElapsedTime(now);
        const total = this.getTotalUsage();
        const ranks = this.guaranteedShares.map((share, rank) => ({ rank, need: total === 0 ? 0 : share - this.usage[rank]! / total }));
        const needy = ranks.filter(({ need }) => need > 0).sort((a, b) => b.need - a.need);
        const others = ranks.filter(({ need }) => need <= 0);
        return [...needy, ...others].map(({ rank }) => rank);
    }

    /** Returns each rank's part of the recent slot time, for the dump. */
    getUsageFractions(): readonly number[] {
        const total = this.getTotalUsage();
        return this.usage.map(used => total === 0 ? 0 : Math.round((used / total) * 1_000) / 1_000);
    }

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
