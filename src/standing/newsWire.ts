/** The message in which instances tell each other what they see of upstreams. */

import { z } from "zod";
import type * as outbox from "./outbox.js";

/** News of one upstream: [upstream, requests under way, failures, successes, survivors, milliseconds since the newest attempt that did not fail was sent]. */
const newsSchema = z.tuple([z.string(), z.number().int().min(0), z.number().int().min(0), z.number().int().min(0), z.number().int().min(0), z.number().min(0)]);

/** One instance's news; where it comes over a relay, the origin is named. */
export const messageSchema = z.strictObject({ origin: z.string().optional(), relay: z.boolean().optional(), news: z.array(newsSchema).max(10_000) });

/** One instance's news. */
export type Message = z.infer<typeof messageSchema>;

/** The age that stands for an attempt which is not among the news, in milliseconds. */
const unknownAgeMs = 1_000_000_000;

/**
 * Encodes news.
 * @param news - What was collected.
 * @param now - The time, in monotonic milliseconds.
 */
export function encodeNews(news: readonly outbox.CollectedNews[], now: number): Message["news"] {
    return news.map(({ target, counts, goodSentAt }) => [
        target.getId(),
        target.getInFlight(),
        counts.bad,
        counts.good,
        counts.survived,
        Math.round(Math.min(unknownAgeMs, now - goodSentAt)),
    ]);
}
