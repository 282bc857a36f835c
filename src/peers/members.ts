/** The members of the fleet: the description that each instance publishes and the state derived from its heartbeats. */

import * as z from "zod";
import * as cachedParser from "../kernel/cachedParser.js";
import * as serveSettings from "../settings/index.js";

const descriptionSchema = z.object({
    failureDomain: z.string().max(128),
    callerAddress: z.string().max(256),
    peerAddress: z.string().max(256),
    operatorAddress: z.string().max(256),
    /** The state that the instance itself reports. */
    state: z.enum(["starting", "running", "draining"]),
    configurationVersion: z.number(),
    /** Its share of the callers next to the others; an instance that gives none counts as 1. */
    weight: z.number().positive().max(1_000_000).optional().catch(undefined),
    /** Its capacity in cores, if its settings give one. */
    capacity: z.number().positive().max(1_000_000_000).optional().catch(undefined),
    /** Whether it accepts compressed messages; earlier releases do not. */
    acceptsCompression: z.boolean().optional().catch(undefined),
});

/** The description that an instance publishes about itself. */
export type MemberDescription = z.infer<typeof descriptionSchema>;

/** A member's state as seen by this instance: the reported state, or `suspect` if its heartbeats have stopped. */
export type MemberState = MemberDescription["state"] | "suspect";

/** An instance of the fleet as seen by this instance. */
export interface Member extends Omit<MemberDescription, "state"> {
    readonly instanceId: string;
    /** When the instance's process started, in milliseconds since the epoch. */
    readonly incarnation: number;
    readonly state: MemberState;
    /** Milliseconds since the last new heartbeat. */
    readonly silenceMs: number;
}

/** Creates the description of an instance that starts. */
export function createOwnDescription(failureDomain: string, settings: serveSettings.ServeSettings): MemberDescription {
    return { failureDomain, callerAddress: "", peerAddress: "", operatorAddress: "", state: "starting", configurationVersion: 0, acceptsCompression: true, capacity: serveSettings.computeCapacity(settings) };
}

/** Parses a published description; undefined if it is missing or malformed. */
export const parseDescription = cachedParser.createCachedParser(descriptionSchema);

/**
 * Creates a member from its published description; its state is `suspect` if it has been silent for too long.
 * @param instanceId - The instance identifier.
 * @param incarnation - The start of its process, in milliseconds since the epoch.
 * @param description - The published description.
 * @param silenceMs - Milliseconds since its last new heartbeat.
 * @param suspectAfterMs - The silence after which a member is suspect, in milliseconds.
 */
export function createMember(instanceId: string, incarnation: number, description: MemberDescription, silenceMs: number, suspectAfterMs: number): Member {
    const state = silenceMs > suspectAfterMs ? "suspect" : description.state;
    return { ...description, instanceId, incarnation, state, silenceMs: Math.round(silenceMs) };
}
