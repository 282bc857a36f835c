/** The phases that a decider publishes, and how an instance applies those of the decider it follows. */

import { match } from "ts-pattern";
import { z } from "zod";
import type * as pool from "../pool/index.js";
import * as ejections from "./ejections.js";

/** One upstream's published phase; times are relative to the publication. */
const verdictSchema = z.strictObject({
    upstream: z.string(),
    phase: z.enum(["ejected", "trial", "recovering"]),
    /** Milliseconds left of an ejection. */
    remainingMs: z.number().min(0),
    /** The instance that tries the upstream. */
    assignedTo: z.string(),
    recurrence: z.number(),
    reason: z.string(),
});

/** What a decider publishes of a service. */
export const publishedPhasesSchema = z.strictObject({ verdicts: z.array(verdictSchema).max(10_000) });

/** One upstream's published phase. */
export type PublishedPhase = z.infer<typeof verdictSchema>;

/**
 * Creates the published form of a decider's phases.
 * @param decided - The decider's ejections.
 * @param now - The time, in monotonic milliseconds.
 */
export function createPublishedPhases(decided: ejections.Ejections, now: number): readonly PublishedPhase[] {
    return decided.listPhases().map(({ upstream, phase, recurrence }) => ({
        upstream,
        phase: phase.kind,
        remainingMs: phase.kind === "ejected" ? Math.max(0, phase.until - now) : 0,
        assignedTo: phase.kind === "trial" ? phase.assignedTo : "",
        recurrence,
        reason: phase.kind === "recovering" ? "" : phase.reason,
    }));
}

/**
 * Creates the decider's form of a published phase.
 * @param verdict - The published phase.
 * @param now - The time, in monotonic milliseconds.
 */
export function createPhase(verdict: PublishedPhase, now: number): ejections.Phase {
    return match(verdict)
        .with({ phase: "ejected" }, ({ remainingMs, reason }): ejections.Phase => ({ kind: "ejected", until: now + remainingMs, reason }))
        .with({ phase: "trial" }, ({ assignedTo, reason }): ejections.Phase => ({ kind: "trial", startedAt: now, assignedAt: now, assignedTo, reason }))
        .with({ phase: "recovering" }, (): ejections.Phase => ({ kind: "recovering", startedAt: now }))
        .exhaustive();
}

/**
 * Sets the routability of a service's upstreams by the verdicts in force.
 * @param upstreams - The service's upstreams.
 * @param verdicts - The decider's verdicts; none where no decider is heard.
 * @param selfId - This instance's identifier.
 * @param now - The time, in monotonic milliseconds.
 */
export function applyPublishedPhases(upstreams: readonly pool.Upstream[], verdicts: readonly PublishedPhase[], selfId: string, now: number): void {
    const byUpstream = new Map(verdicts.map(verdict => [verdict.upstream, verdict]));
    for (const target of upstreams) {
        target.routability = createRoutability(target, byUpstream.get(target.getId()), selfId, now);
    }
}

function createRoutability(target: pool.Upstream, verdict: PublishedPhase | undefined, selfId: string, now: number): pool.Routability {
    const before = target.routability;
    if (verdict === undefined) {
        const isRampRunning = before.kind === "recovering" && now - before.startedAt < before.durationMs;
        return isRampRunning ? before : { kind: "routable" };
    }
    return match(verdict)
        .with({ phase: "ejected" }, (): pool.Routability => ({ kind: "ejected" }))
        .with({ phase: "trial" }, ({ assignedTo }): pool.Routability => ({ kind: "trial", isAssignedHere: assignedTo === selfId }))
        .with({ phase: "recovering" }, (): pool.Routability => before.kind === "recovering" ? before : { kind: "recovering", startedAt: now, durationMs: ejections.recoveryRampMs })
        .exhaustive();
}
