/** What is known of the fleet's instances. */

import { z } from "zod";
import * as cachedParser from "../kernel/cachedParser.js";

const descriptionSchema = z.object({
    failureDomain: z.string().max(128),
    callerAddress: z.string().max(256),
    peerAddress: z.string().max(256),
    operatorAddress: z.string().max(256),
    /** What the instance says of itself. */
    state: z.enum(["starting", "running", "draining"]),
    configurationVersion: z.number(),
});

/** What an instance publishes of itself. */
export type MemberDescription = z.infer<typeof descriptionSchema>;

/** A member's state as judged here: what it says of itself, unless it has fallen silent. */
export type MemberState = MemberDescription["state"] | "suspect";

/** A known instance. */
export interface Member extends Omit<MemberDescription, "state"> {
    readonly instanceId: string;
    readonly incarnation: number;
    readonly state: MemberState;
    readonly silenceMs: number;
}

/** Parses a published description; undefined where it is missing or malformed. */
export const parseDescription = cachedParser.createCachedParser(descriptionSchema);

/**
 * Creates a member as judged here.
 * @param instanceId - Its identifier.
 * @param incarnation - Its start, in milliseconds since the epoch.
 * @param description - What it says of itself.
 * @param silenceMs - Milliseconds since it was heard.
 * @param suspectAfterMs - Silence that makes it suspect.
 */
export function createMember(instanceId: string, incarnation: number, description: MemberDescription, silenceMs: number, suspectAfterMs: number): Member {
    const state = silenceMs > suspectAfterMs ? "suspect" : description.state;
    return { ...description, instanceId, incarnation, state, silenceMs: Math.round(silenceMs) };
}
