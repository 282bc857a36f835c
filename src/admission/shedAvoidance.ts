/**
 * Load pattern: most upstreams of a service shed a part of what they get, and some accept all. An upstream that has shed
 * and then accepted one request looks as good as those, so that requests go on to it. While the service sheds, upstreams
 * that refused anything a short time ago are used only if no other has room.
 */

import * as decayedCount from "./decayedCount.js";

/** Attempts and sheds lose all but 1/e of their weight in this time. */
const decayTimeMs = 2_000;
/** The service sheds when the recent sheds have this weight, are this share of the attempts, and come from this number of upstreams. */
const minimumSheds = 1.2;
const minimumShedShare = 0.1;
const minimumShedUpstreams = 2;
/** A single shed is enough if the fleet knows of failed or shed attempts at this share of the upstreams, a short time ago. */
const widespreadShare = 0.3;
/** It still does for this time after the last shed, because few attempts are shed while those upstreams are avoided. */
const heldMs = 5_000;
/** An upstream is avoided for this time after a shed or failed attempt. */
export const avoidedMs = 4_000;

/** Knows which upstreams of one service to avoid. Callers pass the time, in monotonic milliseconds. */
export class ShedAvoidance {
    private readonly attempts: decayedCount.DecayedCount;
    private readonly sheds: decayedCount.DecayedCount;
    /** When each upstream last shed an attempt of this instance. */
    private readonly shedTimes = new Map<string, number>();
    private activeUntil = -Infinity;

    /**
     * @param getRecentFailureShare - Returns the share of the upstreams at which any instance had a failed or shed attempt
     * within `avoidedMs`.
     * @param now - The time at which counting starts.
     */
    constructor(private readonly getRecentFailureShare: (now: number) => number, now: number) {
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
        this.removeExpired(now);
        if (this.isActive(now) || this.isShedding(now) || this.getRecentFailureShare(now) >= widespreadShare) {
            this.activeUntil = now + heldMs;
        }
    }

    /** Returns whether the service sheds. */
    isActive(now: number): boolean {
        return now < this.activeUntil;
    }

    /**
     * Returns whether an upstream is to be used only if no other has room.
     * @param lastFailureAt - When any instance last had a failed or shed attempt there; -Infinity if none is known.
     */
    isAvoided(upstreamId: string, lastFailureAt: number, now: number): boolean {
        return this.isActive(now) && now - Math.max(lastFailureAt, this.shedTimes.get(upstreamId) ?? -Infinity) < avoidedMs;
    }

    private isShedding(now: number): boolean {
        const sheds = this.sheds.getWeight(now);
        return sheds >= minimumSheds && sheds >= this.attempts.getWeight(now) * minimumShedShare && this.shedTimes.size >= minimumShedUpstreams;
    }

    private removeExpired(now: number): void {
        this.shedTimes.forEach((shedAt, upstreamId) => {
            if (now - shedAt >= avoidedMs) {
                this.shedTimes.delete(upstreamId);
            }
        });
    }
}
