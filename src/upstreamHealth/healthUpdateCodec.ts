/** The message in which instances tell each other what they see of upstreams. */

import { z } from "zod";
import type * as healthUpdateBuffer from "./healthUpdateBuffer.js";

const count = z.number().int().min(0);
/** News of one upstream: [upstream, requests under way, failures, successes, survivors, milliseconds since the newest attempt that did not fail was sent]. */
const newsSchema = z.tuple([z.string(), count, count, count, count, z.number().min(0)]);

/** News of several origins, and how far the receiver hands it on. */
export const messageSchema = z.strictObject({
    parts: z.array(z.strictObject({ origin: z.string().max(256), news: z.array(newsSchema).max(100_000) })).max(10_000),
    /** To nobody; to the receiver's failure domain; or to that and to the other domains. */
    spread: z.enum(["none", "domain", "fleet"]),
});

/** News of several origins. */
export type HealthUpdateMessage = z.infer<typeof messageSchema>;

/** The age that stands for an attempt which is not among the news, in milliseconds. */
const unknownAgeMs = 1_000_000_000;

/**
 * Encodes news.
 * @param items - The news.
 * @param spread - How far the receiver hands it on.
 * @param now - The time, in monotonic milliseconds.
 */
export function encodeUpdates(items: readonly healthUpdateBuffer.HealthUpdate[], spread: HealthUpdateMessage["spread"], now: number): HealthUpdateMessage {
    const byOrigin = new Map<string, HealthUpdateMessage["parts"][number]["news"]>();
    for (const { origin, upstream, inFlight, counts, goodSentAt } of items) {
        const news = byOrigin.get(origin) ?? [];
        byOrigin.set(origin, news);
        news.push([upstream, inFlight, counts.bad, counts.good, counts.survived, Math.round(Math.min(unknownAgeMs, now - goodSentAt))]);
    }
    return { parts: [...byOrigin].map(([origin, news]) => ({ origin, news })), spread };
}

/**
 * Decodes news.
 * @param message - The message.
 * @param now - The time, in monotonic milliseconds.
 */
export function decodeUpdates({ parts }: HealthUpdateMessage, now: number): readonly healthUpdateBuffer.HealthUpdate[] {
    return parts.flatMap(({ origin, news }) => news.map(([upstream, inFlight, bad, good, survived, goodAgeMs]) => ({ origin, upstream, inFlight, counts: { bad, good, survived }, goodSentAt: now - goodAgeMs })));
}
