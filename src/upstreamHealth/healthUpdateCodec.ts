/** The peer message that carries health updates. */

import * as z from "zod";
import type * as healthUpdateBuffer from "./healthUpdateBuffer.js";

const countSchema = z.number().int().min(0);
/** An update of one upstream: [upstream, in-flight requests, failures, successes, survived attempts, milliseconds since the newest attempt that did not fail was sent]. */
const updateSchema = z.tuple([z.string(), countSchema, countSchema, countSchema, countSchema, z.number().min(0)]);

/** Updates of several origins, and how far the receiver relays them. */
export const messageSchema = z.strictObject({
    parts: z.array(z.strictObject({ origin: z.string().max(256), news: z.array(updateSchema).max(100_000) })).max(10_000),
    /** The receiver relays the updates to nobody, to its own failure domain, or to its own and all other domains. */
    spread: z.enum(["none", "domain", "fleet"]),
});

/** A decoded peer message with the updates of several origins. */
export type HealthUpdateMessage = z.infer<typeof messageSchema>;

/** Stands for the age of the newest attempt that did not fail if the update contains none. */
const unknownAgeMs = 1_000_000_000;

/**
 * Encodes updates into one message. Times become ages, because instances do not share a monotonic clock.
 * @param spread - How far the receiver relays the updates.
 * @param now - The time, in monotonic milliseconds.
 */
export function encodeUpdates(updates: readonly healthUpdateBuffer.HealthUpdate[], spread: HealthUpdateMessage["spread"], now: number): HealthUpdateMessage {
    const byOrigin = new Map<string, HealthUpdateMessage["parts"][number]["news"]>();
    for (const { origin, upstream, inFlight, counts, newestGoodSentAt } of updates) {
        const news = byOrigin.get(origin) ?? [];
        byOrigin.set(origin, news);
        news.push([upstream, inFlight, counts.bad, counts.good, counts.survived, Math.round(Math.min(unknownAgeMs, now - newestGoodSentAt))]);
    }
    return { parts: [...byOrigin].map(([origin, news]) => ({ origin, news })), spread };
}

/**
 * Decodes the updates of a message. Ages become times of the local clock.
 * @param now - The time, in monotonic milliseconds.
 */
export function decodeUpdates({ parts }: HealthUpdateMessage, now: number): readonly healthUpdateBuffer.HealthUpdate[] {
    return parts.flatMap(({ origin, news }) => news.map(([upstream, inFlight, bad, good, survived, goodAgeMs]) => ({ origin, upstream, inFlight, counts: { bad, good, survived }, newestGoodSentAt: now - goodAgeMs })));
}
