/**
 * Computes when an attempt is overdue. Failure detection counts overdue attempts as evidence against the upstream, and a
 * repeatable request may then be retried elsewhere.
 */

import type * as types from "./types.js";

/** An attempt is overdue at this multiple of its route's median latency, but not before the service's minimum stall time. */
const overdueMedianMultiple = 6;
/** Age at which an attempt is overdue if its route has no latency samples, in milliseconds. */
const defaultOverdueMs = 2_000;
/** Multiplier for an upstream that has just joined or is being restored, which may respond slowly at first. */
const warmUpFactor = 3;

/** Input of `computeOverdueMs`. */
export interface OverdueInput {
    /** The route's median latency in milliseconds; undefined without samples. */
    readonly medianMs: number | undefined;
    /** The service's minimum stall time in milliseconds. */
    readonly minimumStallMs: number;
    readonly routability: types.Routability["kind"];
}

/** Computes the age at which an attempt is overdue, in milliseconds. */
export function computeOverdueMs({ medianMs, minimumStallMs, routability }: OverdueInput): number {
    const expectedMs = medianMs === undefined ? defaultOverdueMs : medianMs * overdueMedianMultiple;
    const factor = routability === "recovering" || routability === "trial" ? warmUpFactor : 1;
    return Math.max(minimumStallMs, expectedMs) * factor;
}
