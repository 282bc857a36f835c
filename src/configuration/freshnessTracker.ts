/** Whether this instance may rely on hearing of a newer configuration. */

/** How long an instance that fell silent without draining counts as one of the fleet, in milliseconds. */
const rememberedMs = 3_600_000;

/** What freshness is judged by. */
export interface FreshnessObservation {
    /** The other instances heard within the limit; those that are draining count. */
    readonly reachableIds: readonly string[];
    /** The instances that announced that they leave. */
    readonly drainingIds: readonly string[];
    /** Milliseconds since the store answered. */
    readonly timeSinceStoreSuccessMs: number;
    /** Whether an instance that is heard has a newer version in force than this one. */
    readonly isBehind: boolean;
}

/** Options of the judgement. */
export interface CreateFreshnessTrackerOptions {
    /** How long the instance may be cut off before it is stale, in milliseconds. */
    readonly staleAfterMs: number;
}

/** Judges freshness; it is told the time, in monotonic milliseconds. */
export class FreshnessTracker {
    private readonly lastHeardAt = new Map<string, number>();
    private confirmedAt: number;

    constructor(private readonly options: CreateFreshnessTrackerOptions, now: number) {
        this.confirmedAt = now;
    }

    /**
     * Records what is heard now.
     * @param input - What is heard.
     * @param now - The time.
     */
    recordObservation(input: FreshnessObservation, now: number): void {
        input.reachableIds.forEach(id => this.lastHeardAt.set(id, now));
        input.drainingIds.forEach(id => this.lastHeardAt.delete(id));
        for (const [id, at] of this.lastHeardAt) {
            if (now - at > rememberedMs) {
                this.lastHeardAt.delete(id);
            }
        }
        const isStoreHeard = input.timeSinceStoreSuccessMs <= this.options.staleAfterMs;
        // After a standstill the others' old news lies ready; it confirms nothing while it tells of a version still to be fetched.
        if (!input.isBehind && (isStoreHeard || this.isMajorityHeard(input))) {
            this.confirmedAt = now;
        }
    }

    /**
     * Returns whether the instance has been cut off for too long.
     * @param now - The time.
     */
    isStale(now: number): boolean {
        return now - this.confirmedAt > this.options.staleAfterMs;
    }

    /**
     * Returns whether the instance lacks the confirmation of the last moments and should ask the store itself.
     * @param now - The time.
     */
    isNearlyStale(now: number): boolean {
        return now - this.confirmedAt > this.options.staleAfterMs / 2;
    }

    /** The instance itself counts as heard, so that of two instances either one goes on alone. */
    private isMajorityHeard(input: FreshnessObservation): boolean {
        const expected = this.lastHeardAt.size + 1;
        return (input.reachableIds.length + 1) * 2 >= expected;
    }
}
