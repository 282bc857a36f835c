/** Divides a service's slots between instances and ranks while more is asked for than there is. */

/** What an instance asks of a service: requests waiting or at work, by rank, the most urgent first. */
export interface InstanceDemand {
    readonly instanceId: string;
    readonly demand: readonly number[];
}

/** What is divided. */
export interface AllocationInput {
    /** The slots of the upstreams that may be used. */
    readonly slots: number;
    /** The guaranteed share of each rank. */
    readonly shares: readonly number[];
    readonly instances: readonly InstanceDemand[];
}

/** An instance's part. */
export interface Allocation {
    /** Slots by rank; parts of a slot are used for parts of the time. */
    readonly byRank: readonly number[];
    /** Where the instance's slots begin when all instances' slots are laid side by side in the order of their identifiers. */
    readonly firstSlot: number;
}

/**
 * Computes every instance's part; undefined where there is enough for all.
 * @param input - The slots, shares and demands.
 * @remarks Every instance computes the same from the same demands. Each rank gets its guarantee, or what it asks for if
 * that is less; the rest goes to the ranks by urgency. Within a rank, instances share by max-min fairness.
 */
export function computeAllocations(input: AllocationInput): ReadonlyMap<string, Allocation> | undefined {
    const totals = input.shares.map((_, rank) => input.instances.reduce((sum, { demand }) => sum + (demand[rank] ?? 0), 0));
    const asked = totals.reduce((sum, total) => sum + total, 0);
    if (asked <= input.slots) {
        return undefined;
    }
    const slotsByRank = computeRankSlots(input, totals);
    const sorted = [...input.instances].sort((a, b) => a.instanceId < b.instanceId ? -1 : 1);
    const partsByRank = slotsByRank.map((slots, rank) => computeFairShares(slots, sorted.map(({ demand }) => demand[rank] ?? 0)));
    let firstSlot = 0;
    return new Map(sorted.map(({ instanceId }, index) => {
        const allocation = { byRank: partsByRank.map(parts => parts[index]!), firstSlot };
        firstSlot += allocation.byRank.reduce((sum, part) => sum + part, 0);
        return [instanceId, allocation];
    }));
}

function computeRankSlots({ slots, shares }: AllocationInput, totals: readonly number[]): readonly number[] {
    const guaranteed = shares.map((share, rank) => Math.min(totals[rank]!, share * slots));
    let left = slots - guaranteed.reduce((sum, part) => sum + part, 0);
    return guaranteed.map((part, rank) => {
        const more = Math.min(left, totals[rank]! - part);
        left -= more;
        return part + more;
    });
}

/** Shares an amount so that nobody gets more than asked and nobody could get more without taking it from one with less. */
function computeFairShares(amount: number, demands: readonly number[]): readonly number[] {
    const parts = demands.map(() => 0);
    const byDemand = demands.map((demand, index) => ({ demand, index })).sort((a, b) => a.demand - b.demand);
    let left = amount;
    byDemand.forEach(({ demand, index }, position) => {
        const part = Math.min(demand, left / (byDemand.length - position));
        parts[index] = part;
        left -= part;
    });
    return parts;
}
