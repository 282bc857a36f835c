/**
 * Load pattern: most upstreams of a service shed a part of what they get. An upstream that sheds with all of its slots in
 * use is taken for full otherwise, so that its health estimate stays good and requests go on to it.
 */

import * as decayedCount from "./decayedCount.js";

/** Attempts and sheds lose all but 1/e of their weight in this time. */
const decayTimeMs = 2_000;
/** The service sheds when the recent sheds have this weight, are this share of the attempts, and come from this number of upstreams. */
const minimumSheds = 1.2;
const minimumShedShare = 0.1;
const minimumShedUpstreams = 2;
/** A single shed is enough if the fleet takes this share of the upstreams for failing. */
const widespreadSuspectShare = 0.2;
/** It still does for this time after the last shed, because few attempts are shed while others are preferred. */
const heldMs = 5_000;
/** An upstream counts for this time after a shed attempt. */
const recentMs = 2_000;

/** Knows whether one service sheds at several upstreams. Callers pass the time, in monotonic milliseconds. */
export class ShedDetector {
    private readonly attempts: decayedCount.DecayedCount;
    private readonly sheds: decayedCount.DecayedCount;
    /** When each upstream last shed an attempt of this instance. */
    private readonly shedTimes = new Map<string, number>();
    private activeUntil = -Infinity;

    /**
     * @param getSuspectShare - Returns the share of the service's upstreams that the fleet takes for failing; undefined if it is not known.
     * @param now - The time at which counting starts.
     */
    constructor(private readonly getSuspectShare: (now: number) => number | undefined, now: number) {
        this.attempts = new decayedCount.DecayedCount(decayTimeMs, now);
        this.sheds = new decayedCount.DecayedCount(decayTimeMs, now);
    }

    /** Records that an upstream accepted or shed an attempt. */
    recordAttempt(upstreamId: string, isShed: boolean, now: number): void {
        this.attempts.add(now);
        if (!isShed) {
            return;
        }
        this.sheds.add(now);
        this.shedTimes.set(upstreamId, now);
        if (this.isShedding(now) || this.hasRecentSheds(now) || (this.getSuspectShare(now) ?? 0) >= widespreadSuspectShare) {
            this.activeUntil = now + heldMs;
        }
    }

    /** Returns whether the service sheds. */
    isShedding(now: number): boolean {
        return now < this.activeUntil;
    }

    private hasRecentSheds(now: number): boolean {
        this.shedTimes.forEach((shedAt, upstreamId) => {
            if (now - shedAt >= recentMs) {
                this.shedTimes.delete(upstreamId);
            }
        });
        const sheds = this.sheds.getWeight(now);
        return sheds >= minimumSheds && sheds >= this.attempts.getWeight(now) * minimumShedShare && this.shedTimes.size >= minimumShedUpstreams;
    }
}
