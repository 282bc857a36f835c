/** The members that may be running, among which limits are divided. */

/**
 * How long a member that has fallen silent counts, in milliseconds. It may run behind a cut link and use its part, so a
 * partition that lasts longer than this doubles limits, and an instance that was killed costs its part for this time.
 */
const rememberedMs = 600_000;
/** More members than any fleet has; the oldest are forgotten first. */
const maximumMembers = 10_000;

/** A member as its own description and its heartbeats show it. */
export interface ListedMember {
    readonly instanceId: string;
    readonly state: "starting" | "running" | "draining" | "suspect";
}

interface KnownMember {
    readonly seenAt: number;
    /** Whether it drained when it was last seen; it then ends by itself and is not missed. */
    readonly isDraining: boolean;
}

/** Remembers members beyond the time in which the mesh forgets them. */
export class KnownMembers {
    private readonly members = new Map<string, KnownMember>();

    /**
     * Records the members that are listed now.
     * @param listed - All members, this instance included.
     */
    setListed(listed: readonly ListedMember[], now: number): void {
        const present = listed.filter(({ state }) => state !== "suspect");
        const presentIds = new Set(present.map(({ instanceId }) => instanceId));
        for (const [instanceId, { seenAt, isDraining }] of this.members) {
            if (!presentIds.has(instanceId) && (isDraining || now - seenAt > rememberedMs)) {
                this.members.delete(instanceId);
            }
        }
        for (const { instanceId, state } of present) {
            this.members.delete(instanceId);
            this.members.set(instanceId, { seenAt: now, isDraining: state === "draining" });
        }
        [...this.members.keys()].slice(0, Math.max(0, this.members.size - maximumMembers)).forEach(id => this.members.delete(id));
    }

    /** Returns the number of members that may be running. */
    countMembers(): number {
        return this.members.size;
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
