/** Creates the slots that requests hold at upstreams. */

import type * as context from "../kernel/context.js";
import type * as pool from "../pool/index.js";
import type * as rankUsageTracker from "./rankUsageTracker.js";
import type * as types from "./types.js";

/** Options of `createSlot`. Times are in monotonic milliseconds. */
export interface CreateSlotOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly formatUpstreamSummary: types.FormatUpstreamSummary;
    /** Counts the request until the slot is released. */
    readonly rankUsage: rankUsageTracker.RankUsageTracker;
    readonly request: types.SlotRequest;
    readonly upstream: pool.Upstream;
    readonly now: number;
    /** Time that the request spent in the queue, in milliseconds. */
    readonly queuedMs: number;
    /** Called at the release with the time for which the slot was held, in milliseconds. */
    readonly onReleased?: (usedMs: number) => void;
}

/** Creates a slot and starts its attempt. */
export function createSlot({ context: { clock }, pool: upstreamPool, formatUpstreamSummary, rankUsage, request, upstream, now, queuedMs, onReleased }: CreateSlotOptions): types.Slot {
    const upstreamSummary = formatUpstreamSummary(upstream, now);
    const attempt = upstreamPool.startAttempt(upstream, request.route, request.rankIndex);
    attempt.requestBytes = request.bodyBytes;
    rankUsage.addInFlight(request.rankIndex, now);
    let isReleased = false;
    return {
        upstream,
        attempt,
        queuedMs,
        upstreamSummary,
        release: outcome => {
            if (isReleased) {
                return;
            }
            isReleased = true;
            const endedAt = clock.getNow();
            onReleased?.(endedAt - now);
            rankUsage.removeInFlight(request.rankIndex, endedAt);
            upstreamPool.finishAttempt(upstream, attempt, outcome);
        },
    };
}
