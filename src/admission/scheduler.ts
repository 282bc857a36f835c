/** Queues a service's requests by rank and assigns them to upstreams as slots become free. */

import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import type * as pool from "../pool/index.js";
import * as rankUsageTracker from "./rankUsageTracker.js";
import * as requestedPauses from "./requestedPauses.js";
import type * as types from "./types.js";

/** Delay until the next dispatch while requests are queued and no event triggers one, in milliseconds. */
const redispatchDelayMs = 25;
/** Number of requests at the head of a rank's queue that are tried when the first ones may not use the free upstreams. */
const queueScanLimit = 8;
/** A request is sent only if the time left before its deadline is at least this multiple of the route's median latency. */
const minimumLatencyMultiple = 1.5;
/**
 * Upper bound on the required remaining time, as a fraction of the time that the request had when it was queued.
 * Without it, a route that was slow once would be rejected forever, because only sent requests yield new latency samples.
 */
const maximumTimeFraction = 0.5;

/** Options of `Scheduler`. */
export interface CreateSchedulerOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly service: string;
    readonly ranks: readonly configuration.RankDefinition[];
    readonly slotAllocator: types.SlotAllocator;
    readonly chooseUpstream: types.ChooseUpstream;
    readonly formatUpstreamSummary: types.FormatUpstreamSummary;
    /** Records the queue time of a request that got a slot. */
    readonly recordQueueTime?: (rank: string, queuedMs: number) => void;
}

interface QueuedRequest {
    readonly request: types.SlotRequest;
    readonly resolve: (result: Result<types.Slot, errors.FleetError>) => void;
    readonly cancelTimer: loop.Cancel;
    readonly queuedAt: number;
}

/** The request queues of one service at this instance, one queue per rank. */
export class Scheduler {
    private readonly queues: QueuedRequest[][];
    private readonly rankUsage: rankUsageTracker.RankUsageTracker;
    private cancelRedispatch?: loop.Cancel;

    constructor(private readonly options: CreateSchedulerOptions) {
        this.queues = options.ranks.map(() => []);
        this.rankUsage = new rankUsageTracker.RankUsageTracker(options.ranks.map(rank => rank.guaranteedShare), options.context.clock.getNow());
    }

    /** Waits for a slot at an upstream. An error means that no attempt was made. */
    acquireSlot(request: types.SlotRequest): Promise<Result<types.Slot, errors.FleetError>> {
        const { settings, loop: timers, clock } = this.options.context;
        const queue = this.queues[request.rankIndex]!;
        const now = clock.getNow();
        if (queue.length >= settings.queueLength) {
            return Promise.resolve(err(errors.createError("overloaded", `the queue of the request's rank is full with ${queue.length} requests`)));
        }
        if (request.signal.aborted) {
            return Promise.resolve(err(errors.createError("callerGone")));
        }
        return new Promise(resolve => {
            const remove = (error: errors.FleetError) => {
                const index = queue.indexOf(queued);
                if (index >= 0) {
                    queue.splice(index, 1);
                }
                this.resolveRequest(queued, err(error));
            };
            const onAbort = () => remove(request.getAbortError());
            const queued: QueuedRequest = {
                request,
                queuedAt: now,
                resolve: result => {
                    request.signal.removeEventListener("abort", onAbort);
                    resolve(result);
                },
                cancelTimer: timers.scheduleOnce(Math.max(0, request.deadlineAt - now), () => remove(errors.createError("deadlineBeforeSend"))),
            };
            request.signal.addEventListener("abort", onAbort, { once: true });
            if (queue.length === 0) {
                this.rankUsage.recordBacklog(request.rankIndex, now);
            }
            if (request.isRetry) {
                queue.unshift(queued);
            }
            else {
                queue.push(queued);
            }
            this.dispatch();
        });
    }

    /** Starts queued requests until no further request can get a slot. */
    dispatch(): void {
        while (this.dispatchNext()) {
            // Each iteration starts one request.
        }
        const hasQueuedRequests = this.queues.some(queue => queue.length > 0);
        if (hasQueuedRequests && this.cancelRedispatch === undefined) {
            this.cancelRedispatch = this.options.context.loop.scheduleOnce(redispatchDelayMs, () => {
                this.cancelRedispatch = undefined;
                this.dispatch();
            });
        }
    }

    /** Rejects every queued request for which the callback returns an error. */
    rejectQueued(getError: (request: types.SlotRequest) => errors.FleetError | undefined): void {
        for (const queue of this.queues) {
            for (const queued of [...queue]) {
                const error = getError(queued.request);
                if (error !== undefined) {
                    queue.splice(queue.indexOf(queued), 1);
                    this.resolveRequest(queued, err(error));
                }
            }
        }
    }

    /** Returns the number of queued and in-flight requests by rank. */
    getDemand(): readonly types.RankDemand[] {
        return this.options.ranks.map((rank, index) => ({
            rank: rank.name,
            queued: this.queues[index]!.length,
            inFlight: this.rankUsage.getInFlight(index),
        }));
    }

    /** Returns the state of every rank's queue for the operators' dump. */
    getDump(): unknown {
        const usageFractions = this.rankUsage.getUsageFractions();
        return this.getDemand().map((demand, index) => ({ ...demand, guaranteedShare: this.options.ranks[index]!.guaranteedShare, recentShare: usageFractions[index] }));
    }

    private dispatchNext(): boolean {
        const now = this.options.context.clock.getNow();
        for (const rank of this.listRanksInOrder(now)) {
            this.rejectLateRequests(rank, now);
            if (!this.options.slotAllocator.isWithinAllocation(this.options.service, rank, this.rankUsage.getInFlight(rank), now)) {
                continue;
            }
            if (this.startNextOfRank(rank, now)) {
                return true;
            }
        }
        return false;
    }

    private listRanksInOrder(now: number): readonly number[] {
        const ranks = this.queues.map((_, rank) => rank);
        return match(this.options.context.settings.queueing)
            .with("shares", () => this.rankUsage.listRanksByPriority(now))
            .with("strict", () => ranks)
            .with("fifo", () => ranks.sort((a, b) => (this.queues[a]![0]?.queuedAt ?? Infinity) - (this.queues[b]![0]?.queuedAt ?? Infinity)))
            .exhaustive();
    }

    private startNextOfRank(rank: number, now: number): boolean {
        const servicePool = this.options.pool.getServicePool(this.options.service);
        const queue = this.queues[rank]!;
        this.rejectDuringPause(queue, servicePool?.upstreams ?? [], now);
        for (const [index, queued] of queue.slice(0, queueScanLimit).entries()) {
            const chosen = this.options.chooseUpstream(queued.request, servicePool?.upstreams ?? [], now, now - queued.queuedAt);
            if (chosen !== undefined) {
                queue.splice(index, 1);
                this.startRequest(queued, chosen, now);
                return true;
            }
        }
        return false;
    }

    private startRequest(queued: QueuedRequest, upstream: pool.Upstream, now: number): void {
        const { request } = queued;
        const upstreamSummary = this.options.formatUpstreamSummary(upstream, now);
        const attempt = this.options.pool.startAttempt(upstream, request.route, request.rankIndex);
        attempt.requestBytes = request.bodyBytes;
        this.rankUsage.addInFlight(request.rankIndex, now);
        this.options.recordQueueTime?.(this.options.ranks[request.rankIndex]!.name, now - queued.queuedAt);
        let isReleased = false;
        this.resolveRequest(
            queued,
            ok({
                upstream,
                attempt,
                queuedMs: now - queued.queuedAt,
                upstreamSummary,
                release: outcome => {
                    if (isReleased) {
                        return;
                    }
                    isReleased = true;
                    this.rankUsage.removeInFlight(request.rankIndex, this.options.context.clock.getNow());
                    this.options.pool.finishAttempt(upstream, attempt, outcome);
                },
            }),
        );
    }

    /** Rejects requests at the head of the queue that can no longer be answered before their deadline, to save slots for others. */
    private rejectLateRequests(rank: number, now: number): void {
        const queue = this.queues[rank]!;
        let first = queue[0];
        while (first !== undefined && first.request.deadlineAt - now < computeMinimumRemainingMs(first)) {
            queue.shift();
            this.resolveRequest(first, err(errors.createError("deadlineBeforeSend", "the remaining time before the deadline was too short when the request reached the head of the queue")));
            first = queue[0];
        }
    }

    /** Rejects requests that no upstream has run while every upstream has asked for a pause. Others have nothing to gain from a rejection and wait. */
    private rejectDuringPause(queue: QueuedRequest[], upstreams: readonly pool.Upstream[], now: number): void {
        const isAnyTaking = upstreams.some(candidate => !candidate.isLeaving(now) && candidate.getRequestedPauseMs(now) === 0);
        if (isAnyTaking || upstreams.length === 0) {
            return;
        }
        for (const queued of queue.filter(({ request }) => !request.mayHaveRun)) {
            const retryAfterMs = requestedPauses.computeRefusalDelayMs({ upstreams, now, targetLatencyMs: queued.request.targetLatencyMs });
            if (retryAfterMs !== undefined) {
                queue.splice(queue.indexOf(queued), 1);
                this.resolveRequest(queued, err({ ...errors.createError("overloaded", `every upstream has asked for no requests, for ${Math.round(retryAfterMs)} ms at least`), retryAfterMs }));
            }
        }
    }

    private resolveRequest(queued: QueuedRequest, result: Result<types.Slot, errors.FleetError>): void {
        queued.cancelTimer();
        queued.resolve(result);
    }
}

/** Computes the time before the deadline that a request needs to be sent, in milliseconds. */
function computeMinimumRemainingMs({ request, queuedAt }: QueuedRequest): number {
    return Math.min((request.getMedianLatencyMs() ?? 0) * minimumLatencyMultiple, (request.deadlineAt - queuedAt) * maximumTimeFraction);
}
