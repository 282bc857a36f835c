/** The phases that a decider publishes, and their application at the instances that follow it. */

import { match } from "ts-pattern";
import * as z from "zod";
import type * as pool from "../pool/index.js";
import * as ejections from "./ejections.js";

/** The published phase of one upstream. Times are relative to the publication, because instances do not share a clock. */
const publishedPhaseSchema = z.strictObject({
    upstream: z.string(),
    phase: z.enum(["ejected", "trial", "recovering"]),
    /** The remaining duration of an ejection. */
    remainingMs: z.number().min(0),
    /** The instance that sends trial requests to the upstream; empty outside a trial. */
    assignedTo: z.string(),
    /** The number of recent ejections. */
    recurrence: z.number(),
    reason: z.string(),
});

/** The register in which a decider publishes the phases of a service. */
export const publishedPhasesSchema = z.strictObject({ verdicts: z.array(publishedPhaseSchema).max(10_000) });

/** The published phase of one upstream. */
export type PublishedPhase = z.infer<typeof publishedPhaseSchema>;

/**
 * Creates the published form of a decider's phases.
 * @param now - The time, in monotonic milliseconds.
 */
export function createPublishedPhases(serviceEjections: ejections.Ejections, now: number): readonly PublishedPhase[] {
    return serviceEjections.listPhases().map(({ upstream, phase, recurrence }) => ({
        upstream,
        phase: phase.kind,
        remainingMs: phase.kind === "ejected" ? Math.max(0, phase.until - now) : 0,
        assignedTo: phase.kind === "trial" ? phase.assignedTo : "",
        recurrence,
        reason: phase.kind === "recovering" ? "" : phase.reason,
    }));
}

/**
 * Creates the decider's form of a published phase, so that a new decider can continue where the former one stopped.
 * @param now - The time, in monotonic milliseconds.
 */
export function createPhase(published: PublishedPhase, now: number): ejections.Phase {
    return match(published)
        .with({ phase: "ejected" }, ({ remainingMs, reason }): ejections.Phase => ({ kind: "ejected", until: now + remainingMs, reason }))
        .with({ phase: "trial" }, ({ assignedTo, reason }): ejections.Phase => ({ kind: "trial", startedAt: now, assignedAt: now, assignedTo, reason }))
        .with({ phase: "recovering" }, (): ejections.Phase => ({ kind: "recovering", startedAt: now }))
        .exhaustive();
}

/**
 * Sets the routability of a service's upstreams from the published phases.
 * @param phases - The phases that the decider publishes; empty if the decider is unreachable.
 * @param selfId - The identifier of this instance.
 * @param now - The time, in monotonic milliseconds.
 */
export function applyPublishedPhases(upstreams: readonly pool.Upstream[], phases: readonly PublishedPhase[], selfId: string, now: number): void {
    const byUpstream = new Map(phases.map(published => [published.upstream, published]));
    for (const upstream of upstreams) {
        upstream.routability = createRoutability(upstream, byUpstream.get(upstream.getId()), selfId, now);
    }
}

function createRoutability(upstream: pool.Upstream, published: PublishedPhase | undefined, selfId: string, now: number): pool.Routability {
    const before = upstream.routability;
    if (published === undefined) {
        const isRampRunning = before.kind === "recovering" && now - before.startedAt < before.durationMs;
        return isRampRunning ? before : { kind: "routable" };
    }
    return match(published)
        .with({ phase: "ejected" }, (): pool.Routability => ({ kind: "ejected" }))
        .with({ phase: "trial" }, ({ assignedTo }): pool.Routability => ({ kind: "trial", isAssignedHere: assignedTo === selfId }))
        .with({ phase: "recovering" }, (): pool.Routability => before.kind === "recovering" ? before : { kind: "recovering", startedAt: now, durationMs: ejections.recoveryRampMs })
        .exhaustive();
}
