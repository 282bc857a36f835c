/** A queued request, until when it is worth a slot, and which request to refuse when the queue is full. */

import type { Result } from "neverthrow";
import type * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import type * as fairQueue from "./fairQueue.js";
import type * as types from "./types.js";

/** A request is sent only if the time left before its deadline is at least this multiple of the route's median latency. */
const minimumLatencyMultiple = 1.5;
/**
 * Upper bound on the required remaining time, as a fraction of the time that the request had when it was queued.
 * Without it, a route that was slow once would be rejected forever, because only sent requests yield new latency samples.
 */
const maximumTimeFraction = 0.5;
/** The assumed slot time of a route without history, as a fraction of its target latency. */
const defaultLatencyFraction = 0.3;
/** The expected wait is scaled by this factor before a request is refused for it, because it is an estimate from few samples. */
const waitDiscount = 0.8;

/** While the service sheds, a retry that no upstream has run waits for this part of its target latency at most. */
const shedRetryWaitFraction = 1 / 8;

/** A request that waits for a slot. Times are monotonic milliseconds. */
export interface QueuedRequest {
    readonly request: types.SlotRequest;
    /** The workspace that the slot time is charged to. */
    readonly workspace: string;
    /** The expected slot time in milliseconds. */
    readonly cost: number;
    readonly queuedAt: number;
    readonly resolve: (result: Result<types.Slot, errors.FleetError>) => void;
    cancelTimer: loop.Cancel;
}

/** The queue of one rank. */
export type RequestQueue = fairQueue.FairQueue<QueuedRequest>;

/** Computes the expected slot time of a request, in milliseconds. */
export function computeExpectedCost({ getMedianLatencyMs, targetLatencyMs }: types.SlotRequest): number {
    return getMedianLatencyMs() ?? targetLatencyMs * defaultLatencyFraction;
}

/** Computes the time before the deadline that a request needs to be sent, in milliseconds. */
export function computeMinimumRemainingMs({ request, queuedAt }: QueuedRequest): number {
    return Math.min((request.getMedianLatencyMs() ?? 0) * minimumLatencyMultiple, (request.deadlineAt - queuedAt) * maximumTimeFraction);
}

/**
 * Returns until when a request may get a slot: while it can still be answered before its deadline, and a retry for its
 * target latency at most. The caller of a retry has waited for an earlier attempt already, and is answered instead.
 * @param isShedding - Whether the request's service sheds. A retry then would wait for an upstream that is likely to accept.
 */
export function computeLatestStart(queued: QueuedRequest, isShedding: boolean): number {
    const { request, queuedAt } = queued;
    const latestInTime = request.deadlineAt - computeMinimumRemainingMs(queued);
    if (!request.isRetry) {
        return latestInTime;
    }
    const maximumWaitMs = request.targetLatencyMs * (isShedding && !request.mayHaveRun ? shedRetryWaitFraction : 1);
    return Math.min(latestInTime, queuedAt + maximumWaitMs);
}

/**
 * Returns by how much a request that was just queued is expected to miss its latest start, in milliseconds; undefined if
 * it is expected to be in time.
 * @param queued - The request.
 * @param waitMs - Its expected wait, in milliseconds.
 */
export function computeExpectedDelayMs(queued: QueuedRequest, waitMs: number): number | undefined {
    const delayMs = queued.queuedAt + waitMs * waitDiscount - computeLatestStart(queued, false);
    return delayMs > 0 ? delayMs : undefined;
}

/**
 * Chooses the request to refuse when a queue is full and one more request arrives: of the workspace that holds most of
 * the queue, the request with the least time to spare when its turn comes. Requests without a workspace are not weighed
 * against each other; the one that arrives is refused.
 * @param queue - The queue.
 * @param arriving - The request that arrives, which is not queued.
 * @param serviceIntervalMs - The expected time between two starts of requests of the rank, in milliseconds.
 */
export function chooseRefused(queue: RequestQueue, arriving: QueuedRequest, serviceIntervalMs: number): QueuedRequest {
    const counts = queue.countByWorkspace();
    const ownCount = (counts.get(arriving.workspace) ?? 0) + 1;
    const largest = [...counts].reduce((most, [workspace, count]) => count > most.count ? { workspace, count } : most, { workspace: arriving.workspace, count: ownCount });
    if (largest.workspace === "") {
        // Those that wait were accepted first; among requests without a workspace this stays the order.
        return arriving.workspace === "" ? arriving : queue.listOfWorkspace("").findLast(isRefusable) ?? arriving;
    }
    const queued = queue.listOfWorkspace(largest.workspace);
    const candidates = largest.workspace === arriving.workspace ? [...queued, arriving] : queued;
    const intervalMs = serviceIntervalMs * Math.max(1, counts.size);
    let refused: { readonly candidate: QueuedRequest; readonly spareMs: number; } | undefined;
    for (const [position, candidate] of candidates.entries()) {
        const spareMs = candidate.request.deadlineAt - candidate.cost - position * intervalMs;
        // Of two with equal chances the later one is refused.
        if (isRefusable(candidate) && (refused === undefined || spareMs <= refused.spareMs)) {
            refused = { candidate, spareMs };
        }
    }
    return refused?.candidate ?? arriving;
}

/** A request that an upstream may have run has no slot to save by a refusal, since its caller is told nothing certain. */
function isRefusable({ request }: QueuedRequest): boolean {
    return !request.mayHaveRun;
}
