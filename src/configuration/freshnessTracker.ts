/** Tracks whether this instance would learn of a newer configuration version. */

/** How long an instance that became unreachable without draining still counts as a member of the fleet. */
const unreachableInstanceRetentionMs = 3_600_000;

/** The connectivity of this instance at one point in time. */
export interface FreshnessObservation {
    /** The other instances that are not suspect, including those that are draining. */
    readonly reachableIds: readonly string[];
    /** The instances that announced that they are draining. */
    readonly drainingIds: readonly string[];
    /** Milliseconds since a call to the store last succeeded. */
    readonly timeSinceStoreSuccessMs: number;
    /** Whether a newer version than this instance's is active on a reachable instance. */
    readonly isBehind: boolean;
}

/** Options of a freshness tracker. */
export interface CreateFreshnessTrackerOptions {
    /** How long the instance may be isolated before its configuration is stale, in milliseconds. */
    readonly staleAfterMs: number;
}

/**
 * Decides whether the configuration of this instance is stale. It is fresh while the store, or at least half of the fleet,
 * is reachable. The caller passes the current time, in milliseconds of the monotonic clock.
 */
export class FreshnessTracker {
    private readonly lastReachableAt = new Map<string, number>();
    private lastConfirmedAt: number;

    constructor(private readonly options: CreateFreshnessTrackerOptions, now: number) {
        this.lastConfirmedAt = now;
    }

    /** Records the connectivity of this instance at the time `now`. */
    recordObservation(observation: FreshnessObservation, now: number): void {
        observation.reachableIds.forEach(id => this.lastReachableAt.set(id, now));
        observation.drainingIds.forEach(id => this.lastReachableAt.delete(id));
        for (const [id, at] of this.lastReachableAt) {
            if (now - at > unreachableInstanceRetentionMs) {
                this.lastReachableAt.delete(id);
            }
        }
        const isStoreReachable = observation.timeSinceStoreSuccessMs <= this.options.staleAfterMs;
        // After this process was suspended, queued messages make peers look reachable. They confirm nothing while a peer reports
        // a version that has yet to be fetched.
        if (!observation.isBehind && (isStoreReachable || this.isHalfReachable(observation))) {
            this.lastConfirmedAt = now;
        }
    }

    /** Returns whether the instance has been isolated for longer than `staleAfterMs`. */
    isStale(now: number): boolean {
        return now - this.lastConfirmedAt > this.options.staleAfterMs;
    }

    /** Returns whether the instance has been isolated for more than half of `staleAfterMs` and should read the store itself. */
    isNearlyStale(now: number): boolean {
        return now - this.lastConfirmedAt > this.options.staleAfterMs / 2;
    }

    /** The instance itself counts as reachable, so that with two instances, either one can continue alone. */
    private isHalfReachable(observation: FreshnessObservation): boolean {
        const fleetSize = this.lastReachableAt.size + 1;
        return (observation.reachableIds.length + 1) * 2 >= fleetSize;
    }
}
