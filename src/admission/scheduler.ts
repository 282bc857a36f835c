/** Queues a service's requests by rank and hands them upstreams as these have room. */

import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import type * as pool from "../pool/index.js";
import * as rankUsageTracker from "./rankUsageTracker.js";
import type * as types from "./types.js";

/** Milliseconds until the queues are looked at again while work waits and nothing has changed. */
const redispatchDelayMs = 25;
/** How many waiting requests of one rank are tried when the first ones may not go to the free upstreams. */
const queueScanLimit = 8;
/** The time that must still be left before the deadline, as a multiple of the usual latency. */
const minimumLatencyMultiple = 1.5;
/**
 * It is never more than this part of the time that the request had when it came. A route that was slow once would
 * otherwise be refused for good, since only requests that are sent can show that it is quick again.
 */
const maximumTimeFraction = 0.5;

/** Options of a scheduler. */
export interface CreateSchedulerOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly service: string;
    readonly ranks: readonly configuration.RankDefinition[];
    readonly slotQuota: types.SlotQuota;
    readonly chooseUpstream: types.ChooseUpstream;
    readonly formatGrounds: types.FormatGrounds;
    /** Told how long an attempt waited for its slot. */
    readonly recordQueueTime?: (rank: string, waitedMs: number) => void;
}

interface QueuedRequest {
    readonly request: types.SlotRequest;
    readonly resolve: (result: Result<types.Slot, errors.FleetError>) => void;
    readonly cancelTimer: loop.Cancel;
    readonly queuedAt: number;
}

/** The queues of one service at this instance. */
export class Scheduler {
    private readonly queues: QueuedRequest[][];
    private readonly rankUsage: rankUsageTracker.RankUsageTracker;
    private cancelRedispatch?: loop.Cancel;

    constructor(private readonly options: CreateSchedulerOptions) {
        this.queues = options.ranks.map(() => []);
        this.rankUsage = new rankUsageTracker.RankUsageTracker(options.ranks.map(rank => rank.guaranteedShare), options.context.clock.getNow());
    }

    /**
     * Waits for a slot at an upstream.
     * @param request - The request's rank, deadline and what it has tried.
     * @returns The slot; an error means that nothing was sent.
     */
    acquireSlot(request: types.SlotRequest): Promise<Result<types.Slot, errors.FleetError>> {
        const { settings, loop: timers, clock } = this.options.context;
        const queue = this.queues[request.rankIndex]!;
        const now = clock.getNow();
        if (queue.length >= settings.queueLength) {
            return Promise.resolve(err(errors.createError("overloaded", `${queue.length} requests of the rank wait already`)));
        }
        if (request.signal.aborted) {
            return Promise.resolve(err(errors.createError("callerGone")));
        }
        return new Promise(resolve => {
            const remove = (error: errors.FleetError) => {
                const index = queue.indexOf(waiting);
                if (index >= 0) {
                    queue.splice(index, 1);
                }
                this.resolveRequest(waiting, err(error));
            };
            const onAbort = () => remove(request.getAbortError());
            const waiting: QueuedRequest = {
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
                queue.unshift(waiting);
            }
            else {
                queue.push(waiting);
            }
            this.dispatch();
        });
    }

    /** Gives free upstreams to waiting requests. */
    dispatch(): void {
        while (this.dispatchNext()) {
            // Each round starts one request.
        }
        const isWaiting = this.queues.some(queue => queue.length > 0);
        if (isWaiting && this.cancelRedispatch === undefined) {
            this.cancelRedispatch = this.options.context.loop.scheduleOnce(redispatchDelayMs, () => {
                this.cancelRedispatch = undefined;
                this.dispatch();
            });
        }
    }

    /** Rejects every waiting request that a changed configuration no longer allows. */
    rejectQueued(getError: (request: types.SlotRequest) => errors.FleetError | undefined): void {
        for (const queue of this.queues) {
            for (const waiting of [...queue]) {
                const error = getError(waiting.request);
                if (error !== undefined) {
                    queue.splice(queue.indexOf(waiting), 1);
                    this.resolveRequest(waiting, err(error));
                }
            }
        }
    }

    /** Returns the requests that wait or hold a slot, by rank. */
    getDemand(): readonly types.RankDemand[] {
        return this.options.ranks.map((rank, index) => ({
            rank: rank.name,
            queued: this.queues[index]!.length,
            inFlight: this.rankUsage.getInFlight(index),
        }));
    }

    /** Returns the queues' state for the dump. */
    getDump(): unknown {
        const parts = this.rankUsage.getUsageFractions();
        return this.getDemand().map((demand, index) => ({ ...demand, guaranteedShare: this.options.ranks[index]!.guaranteedShare, recentShare: parts[index] }));
    }

    private dispatchNext(): boolean {
        const now = this.options.context.clock.getNow();
        for (const rank of this.listRanksInOrder(now)) {
            this.rejectLateRequests(rank, now);
            if (!this.options.slotQuota.isWithinQuota(this.options.service, rank, this.rankUsage.getInFlight(rank), now)) {
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
        for (const [index, waiting] of queue.slice(0, queueScanLimit).entries()) {
            const chosen = this.options.chooseUpstream(waiting.request, servicePool?.upstreams ?? [], now, now - waiting.queuedAt);
            if (chosen !== undefined) {
                queue.splice(index, 1);
                this.startRequest(waiting, chosen, now);
                return true;
            }
        }
        return false;
    }

    private startRequest(waiting: QueuedRequest, target: pool.Upstream, now: number): void {
        const { request } = waiting;
        const grounds = this.options.formatGrounds(target, now);
        const attempt = this.options.pool.startAttempt(target, request.route, request.rankIndex);
        this.rankUsage.addInFlight(request.rankIndex, now);
        this.options.recordQueueTime?.(this.options.ranks[request.rankIndex]!.name, now - waiting.queuedAt);
        let isReleased = false;
        this.resolveRequest(
            waiting,
            ok({
                upstream: target,
                attempt,
                queuedMs: now - waiting.queuedAt,
                grounds,
                release: outcome => {
                    if (isReleased) {
                        return;
                    }
                    isReleased = true;
                    this.rankUsage.removeInFlight(request.rankIndex, this.options.context.clock.getNow());
                    this.options.pool.finishAttempt(target, attempt, outcome);
                },
            }),
        );
    }

    /** Drops the requests at the front that can no longer be answered in time, so that a slot is not spent on them. */
    private rejectLateRequests(rank: number, now: number): void {
        const queue = this.queues[rank]!;
        let first = queue[0];
        while (first !== undefined && first.request.deadlineAt - now < computeMinimumRemainingMs(first)) {
            queue.shift();
            this.resolveRequest(first, err(errors.createError("deadlineBeforeSend", "the deadline could no longer be met when the request's turn came")));
            first = queue[0];
        }
    }

    private resolveRequest(waiting: QueuedRequest, result: Result<types.Slot, errors.FleetError>): void {
        waiting.cancelTimer();
        waiting.resolve(result);
    }
}

/** Computes the time that must be left to a request for it to be sent, in milliseconds. */
function computeMinimumRemainingMs({ request, queuedAt }: QueuedRequest): number {
    return Math.min((request.getUsualLatencyMs() ?? 0) * minimumLatencyMultiple, (request.deadlineAt - queuedAt) * maximumTimeFraction);
}
