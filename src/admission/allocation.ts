/** Allocates a service's slots to instances and ranks while demand exceeds capacity. */

/** An instance's demand for a service. */
export interface InstanceDemand {
    readonly instanceId: string;
    /** Queued plus in-flight requests by rank, the most urgent rank first. */
    readonly demand: readonly number[];
}

/** A service's capacity and the demand for it. */
export interface AllocationInput {
    /** Total slots of the usable upstreams. */
    readonly slots: number;
    /** The guaranteed share of each rank, from 0 to 1, the most urgent rank first. */
    readonly shares: readonly number[];
    readonly instances: readonly InstanceDemand[];
}

/** The slots allocated to one instance. */
export interface Allocation {
    /** Slots by rank. A fraction of a slot may be used for that fraction of the time. */
    readonly byRank: readonly number[];
    /** Offset of the instance's first slot when the allocations of all instances are concatenated in the order of instance identifiers. */
    readonly firstSlot: number;
}

/**
 * Computes the allocation of every instance by its identifier; undefined if capacity covers the total demand.
 * @remarks The result is deterministic, so all instances compute the same allocations from the same demands. Each rank
 * gets its guaranteed share, or its demand if that is less. The remaining slots go to the ranks in order of urgency.
 * Within a rank, slots are divided between instances by max-min fairness.
 */
export function computeAllocations(input: AllocationInput): ReadonlyMap<string, Allocation> | undefined {
    const totals = input.shares.map((_, rank) => input.instances.reduce((sum, { demand }) => sum + (demand[rank] ?? 0), 0));
    const totalDemand = totals.reduce((sum, total) => sum + total, 0);
    if (totalDemand <= input.slots) {
        return undefined;
    }
    const slotsByRank = computeRankSlots(input, totals);
    const sorted = [...input.instances].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
    const fairSharesByRank = slotsByRank.map((slots, rank) => computeFairShares(slots, sorted.map(({ demand }) => demand[rank] ?? 0)));
    let firstSlot = 0;
    return new Map(sorted.map(({ instanceId }, index) => {
        const allocation = { byRank: fairSharesByRank.map(fairShares => fairShares[index]!), firstSlot };
        firstSlot += allocation.byRank.reduce((sum, count) => sum + count, 0);
        return [instanceId, allocation];
    }));
}

function computeRankSlots({ slots, shares }: AllocationInput, totals: readonly number[]): readonly number[] {
    const guaranteedByRank = shares.map((share, rank) => Math.min(totals[rank]!, share * slots));
    let remaining = slots - guaranteedByRank.reduce((sum, count) => sum + count, 0);
    return guaranteedByRank.map((guaranteedSlots, rank) => {
        const extra = Math.min(remaining, totals[rank]! - guaranteedSlots);
        remaining -= extra;
        return guaranteedSlots + extra;
    });
}

/** Divides an amount by max-min fairness: no result exceeds its demand, and unused amounts go equally to larger demands. */
function computeFairShares(amount: number, demands: readonly number[]): readonly number[] {
    const fairShares = demands.map(() => 0);
    const byDemand = demands.map((demand, index) => ({ demand, index })).sort((a, b) => a.demand - b.demand);
    let remaining = amount;
    byDemand.forEach(({ demand, index }, position) => {
        const fairShare = Math.min(demand, remaining / (byDemand.length - position));
        fairShares[index] = fairShare;
        remaining -= fairShare;
    });
    return fairShares;
}
