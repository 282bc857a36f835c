/**
 * Load pattern: all upstreams of a service shed at once and name a time until they take requests again. A request that
 * waits or tries "just one" of them prolongs the overload; its caller is better told when to come back.
 */

import type * as pool from "../pool/index.js";

/** A pause of at most this part of a request's target latency is waited for. */
const waitedFraction = 1 / 8;

/** Options of `computeRefusalDelayMs`. */
export interface ComputeRefusalDelayOptions {
    readonly upstreams: readonly pool.Upstream[];
    /** The current time, in monotonic milliseconds. */
    readonly now: number;
    /** The target latency of the waiting request, in milliseconds. */
    readonly targetLatencyMs: number;
}

/**
 * Returns the delay after which the caller of a waiting request may come back, in milliseconds: the shortest pause that is
 * left. Undefined if the request should wait, because some upstream has asked for no pause or for one that ends soon.
 */
export function computeRefusalDelayMs({ upstreams, now, targetLatencyMs }: ComputeRefusalDelayOptions): number | undefined {
    const pausesMs = upstreams.filter(candidate => !candidate.isLeaving(now)).map(candidate => candidate.getRequestedPauseMs(now));
    const shortestMs = pausesMs.length === 0 ? 0 : Math.min(...pausesMs);
    return shortestMs > targetLatencyMs * waitedFraction ? shortestMs : undefined;
}
