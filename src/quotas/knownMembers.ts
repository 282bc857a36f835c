/** The members that may be running, among which limits are divided. */

/**
 * How long a member that has fallen silent counts, in milliseconds. It may run behind a cut link and use its part, so a
 * partition that lasts longer than this doubles limits, and an instance that was killed costs its part for this time.
 */
const rememberedMs = 600_000;
/** More members than any fleet has. */
const maximumMembers = 10_000;

/** A member as its own description and its heartbeats show it. */
export interface ListedMember {
    readonly instanceId: string;
    readonly state: "starting" | "running" | "draining" | "suspect";
}

/**
 * Remembers members beyond the time in which the mesh forgets them.
 * @remarks While a remembered member is silent, it may be on the other side of a cut, which does not know those that join on this
 * side. So they get no part of the limits until nobody is missing. Members that drain have no part, and are not missed.
 */
export class KnownMembers {
    private readonly seenAt = new Map<string, number>();

    /**
     * Records the members that are listed now.
     * @param listed - All members, this instance included.
     */
    setListed(listed: readonly ListedMember[], now: number): void {
        listed.filter(({ state }) => state === "draining").forEach(({ instanceId }) => this.seenAt.delete(instanceId));
        const present = new Set(listed.filter(({ state }) => state === "starting" || state === "running").map(({ instanceId }) => instanceId));
        let isAnyMissing = false;
        for (const [instanceId, seenAt] of this.seenAt) {
            if (present.has(instanceId)) {
                this.seenAt.set(instanceId, now);
            }
            else if (now - seenAt > rememberedMs) {
                this.seenAt.delete(instanceId);
            }
            else {
                isAnyMissing = true;
            }
        }
        if (!isAnyMissing) {
            [...present].slice(0, maximumMembers).forEach(instanceId => this.seenAt.set(instanceId, now));
        }
    }

    /** Returns whether a member has a part of the limits. */
    hasMember(instanceId: string): boolean {
        return this.seenAt.has(instanceId);
    }

    /** Returns the number of members that have a part of the limits. */
    countMembers(): number {
        return this.seenAt.size;
    }
}

/** How long the count of another instance is used, in milliseconds. */
const heardLifetimeMs = 2_000;

/** The highest count of members that others reported lately: a restarted instance knows those only that it has heard of. */
export class HeardCounts {
    private counts: readonly { readonly count: number; readonly heardAt: number; }[] = [];

    /** Records the count of another instance. */
    addCount(count: number, now: number): void {
        // A count that is both lower and older than another never decides again.
        this.counts = [...this.counts.filter(entry => entry.count > count && now - entry.heardAt <= heardLifetimeMs), { count, heardAt: now }];
    }

    /** Returns the highest count; 0 if there is none. */
    getHighest(now: number): number {
        return Math.max(0, ...this.counts.filter(entry => now - entry.heardAt <= heardLifetimeMs).map(({ count }) => count));
    }
}
