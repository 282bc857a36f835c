/**
 * Computes when an attempt is overdue. Failure detection counts overdue attempts as evidence against the upstream, and a
 * repeatable request may then be retried elsewhere.
 */

import type * as types from "./types.js";

/** An attempt is overdue at this multiple of its route's median latency, but not before the service's minimum stall time. */
const overdueMedianMultiple = 6;
/** Age at which an attempt is overdue if its route has no latency samples. */
const defaultOverdueAgeMs = 2_000;
/** Multiplier of the age for an upstream that has just joined or is being restored, which may respond slowly at first. */
const warmUpFactor = 3;

/** Options of `computeOverdueAgeMs`. */
export interface ComputeOverdueAgeOptions {
    /** The route's median latency in milliseconds; undefined without samples. */
    readonly medianMs: number | undefined;
    /** The service's minimum stall time in milliseconds. */
    readonly minimumStallMs: number;
    readonly routability: types.Routability["kind"];
}

/** Computes the age at which an attempt is overdue, in milliseconds. */
export function computeOverdueAgeMs({ medianMs, minimumStallMs, routability }: ComputeOverdueAgeOptions): number {
    const expectedMs = medianMs === undefined ? defaultOverdueAgeMs : medianMs * overdueMedianMultiple;
    const factor = routability === "recovering" || routability === "trial" ? warmUpFactor : 1;
    return Math.max(minimumStallMs, expectedMs) * factor;
}
