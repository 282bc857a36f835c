/** The age at which an attempt is overdue: detection holds it against the upstream, and a repeatable request goes elsewhere. */

import type * as types from "./types.js";

/** An attempt is overdue at this multiple of its route's median latency, or at the service's least stall time if that is more. */
const overdueMedianMultiple = 6;
/** The age at which an attempt of a route without history is overdue, in milliseconds. */
const defaultOverdueMs = 2_000;
/** How much more patience an upstream gets that has just joined or come back. */
const warmUpFactor = 3;

/** What the age depends on. */
export interface OverdueInput {
    /** The route's median latency in milliseconds; undefined without history. */
    readonly medianMs: number | undefined;
    /** The service's least age of a stall, in milliseconds. */
    readonly minimumStallMs: number;
    readonly routability: types.Routability["kind"];
}

/**
 * Computes the age at which an attempt is overdue, in milliseconds.
 * @param input - The route's and the service's latencies, and the upstream's phase.
 */
export function computeOverdueMs({ medianMs, minimumStallMs, routability }: OverdueInput): number {
    const usualMs = medianMs === undefined ? defaultOverdueMs : medianMs * overdueMedianMultiple;
    const patience = routability === "recovering" || routability === "trial" ? warmUpFactor : 1;
    return Math.max(minimumStallMs, usualMs) * patience;
}
