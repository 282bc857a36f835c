/** Queues a service's requests by rank and workspace, and assigns them to upstreams as slots become free. */

import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import type * as pool from "../pool/index.js";
import * as fairQueue from "./fairQueue.js";
import * as queuedRequest from "./queuedRequest.js";
import * as queueForecast from "./queueForecast.js";
import * as rankUsageTracker from "./rankUsageTracker.js";
import * as requestedPauses from "./requestedPauses.js";
import * as slot from "./slot.js";
import type * as types from "./types.js";
import * as upstreamLoads from "./upstreamLoads.js";

/** Delay until the next dispatch while requests are queued and no event triggers one, in milliseconds. */
const redispatchDelayMs = 25;
/** Number of requests at the head of a rank's queue that are tried when the first ones may not use the free upstreams. */
const queueScanLimit = 8;
/** The least time after which the caller of a retry that found no upstream may come back, in milliseconds. */
const minimumRetryAfterMs = 500;

/** Options of `Scheduler`. */
export interface CreateSchedulerOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly service: string;
    readonly ranks: readonly configuration.RankDefinition[];
    readonly slotAllocator: types.SlotAllocator;
    readonly chooseUpstream: types.ChooseUpstream;
    readonly formatUpstreamSummary: types.FormatUpstreamSummary;
    readonly getUpstreamLoad: types.GetUpstreamLoad;
    /** Records the queue time of a request that got a slot. */
    readonly recordQueueTime?: (rank: string, queuedMs: number) => void;
    readonly recordRefusal?: (rankIndex: number, reason: types.RefusalReason) => void;
    /** Returns whether slots are shared between workspaces; by default, all requests of a rank form one group. */
    readonly hasFairShares?: () => boolean;
    /** Returns whether the service sheds at several upstreams. */
    readonly isShedding?: () => boolean;
}

/** The requests of one rank. */
interface RankQueue {
    readonly requests: queuedRequest.RequestQueue;
    readonly forecast: queueForecast.QueueForecast;
}

/** The request queues of one service at this instance, one queue per rank. */
export class Scheduler {
    private readonly queues: readonly RankQueue[];
    private readonly rankUsage: rankUsageTracker.RankUsageTracker;
    private cancelRedispatch?: loop.Cancel;

    constructor(private readonly options: CreateSchedulerOptions) {
        this.queues = options.ranks.map(() => ({ requests: new fairQueue.FairQueue<queuedRequest.QueuedRequest>(), forecast: new queueForecast.QueueForecast() }));
        this.rankUsage = new rankUsageTracker.RankUsageTracker(options.ranks.map(rank => rank.guaranteedShare), options.context.clock.getNow());
    }

    /** Waits for a slot at an upstream. An error means that no attempt was made. */
    acquireSlot(request: types.SlotRequest): Promise<Result<types.Slot, errors.FleetError>> {
        const { settings: { queueing }, clock } = this.options.context;
        const now = clock.getNow();
        if (request.signal.aborted) {
            return Promise.resolve(err(errors.createError("callerGone")));
        }
        // The setting `fifo` serves the oldest request first, whoever sent it.
        const workspace = queueing !== "fifo" && (this.options.hasFairShares?.() ?? false) ? request.workspace : "";
        return new Promise(resolve => {
            const onAbort = () => this.rejectRequest(queued, request.getAbortError());
            const queued: queuedRequest.QueuedRequest = {
                request,
                workspace,
                cost: queuedRequest.computeExpectedCost(request),
                queuedAt: now,
                resolve: result => {
                    request.signal.removeEventListener("abort", onAbort);
                    resolve(result);
                },
                cancelTimer: () => {},
            };
            request.signal.addEventListener("abort", onAbort, { once: true });
            if (this.addToQueue(queued, now)) {
                this.scheduleRejection(queued);
                this.dispatch(now);
            }
        });
    }

    /** Queues a request, or refuses it or another one if the queue is full or if its turn is expected to come too late. Returns whether it is queued. */
    private addToQueue(queued: queuedRequest.QueuedRequest, now: number): boolean {
        const { request, workspace } = queued;
        const { requests, forecast } = this.queues[request.rankIndex]!;
        const { queueLength } = this.options.context.settings;
        if (requests.getSize() >= queueLength) {
            const intervalMs = forecast.getIntervalMs(now);
            const refused = queuedRequest.chooseRefused(requests, queued, intervalMs ?? queued.cost);
            const roomInMs = intervalMs === undefined || refused.workspace === "" ? undefined : requests.countServedUpTo(refused.workspace) * intervalMs;
            this.rejectWithReason(refused, "queueFull", this.createRetryLaterError(errors.createError("overloaded", `the queue of the request's rank is full with ${requests.getSize()} requests`), roomInMs));
            if (refused === queued) {
                return false;
            }
        }
        if (requests.getSize() === 0) {
            this.rankUsage.recordBacklog(request.rankIndex, now);
            forecast.recordBacklog(now);
            if (this.rankUsage.getInFlight(request.rankIndex) === 0) {
                requests.removeHistory();
            }
        }
        requests.add(queued, { workspace, cost: queued.cost, isFirst: request.isRetry });
        const intervalMs = forecast.getIntervalMs(now);
        if (workspace === "" || request.isRetry || intervalMs === undefined) {
            return true;
        }
        const waitMs = requests.countServedUpTo(workspace) * intervalMs;
        const delayMs = queuedRequest.computeExpectedDelayMs(queued, waitMs);
        if (delayMs === undefined) {
            return true;
        }
        this.rejectWithReason(queued, "late", this.createRetryLaterError(errors.createError("deadlineBeforeSend", `the request's turn is expected in ${Math.round(waitMs)} ms, which is too late for its deadline`), delayMs));
        return false;
    }

    /** Adds the time after which a request may be sent again, spread so that refused callers do not come back together; the default if it is not known. */
    private createRetryLaterError(error: errors.FleetError, expectedMs: number | undefined): errors.FleetError {
        return expectedMs === undefined ? error : { ...error, retryAfterMs: Math.round(expectedMs * (1 + this.options.context.randomness.getFraction())) };
    }

    /** Rejects a request as soon as it can no longer be answered in time, wherever it is in the queue. */
    private scheduleRejection(queued: queuedRequest.QueuedRequest): void {
        const { loop: timers, clock } = this.options.context;
        const getLatestStart = () => queuedRequest.computeLatestStart(queued, this.options.isShedding?.() ?? false);
        const remainingMs = getLatestStart() - clock.getNow();
        queued.cancelTimer = timers.scheduleOnce(Math.max(1, remainingMs + 1), () => {
            // The route's median latency may have changed meanwhile.
            if (clock.getNow() < getLatestStart()) {
                this.scheduleRejection(queued);
                return;
            }
            const isInTime = clock.getNow() < queued.request.deadlineAt - queuedRequest.computeMinimumRemainingMs(queued);
            const error = isInTime
                ? this.createRetryLaterError(errors.createError("overloaded", "no upstream could take the request again within a part of its target latency"), minimumRetryAfterMs)
                : errors.createError("deadlineBeforeSend", "the time that was left for the request became too short while it was queued");
            this.rejectWithReason(queued, "late", error);
        });
    }

    private rejectWithReason(queued: queuedRequest.QueuedRequest, reason: types.RefusalReason, error: errors.FleetError): void {
        this.options.recordRefusal?.(queued.request.rankIndex, reason);
        this.rejectRequest(queued, error);
    }

    private rejectRequest(queued: queuedRequest.QueuedRequest, error: errors.FleetError): void {
        this.queues[queued.request.rankIndex]!.requests.remove(queued);
        this.resolveRequest(queued, err(error));
    }

    /** Acquires a slot at an upstream that has a free one now; undefined if there is none, or if requests are queued. */
    acquireFreeSlot(request: types.SlotRequest): types.Slot | undefined {
        const now = this.options.context.clock.getNow();
        const isWithinAllocation = this.options.slotAllocator.isWithinAllocation(this.options.service, request.rankIndex, this.rankUsage.getInFlight(request.rankIndex), now);
        if (!isWithinAllocation || this.queues.some(({ requests }) => requests.getSize() > 0)) {
            return undefined;
        }
        const free = upstreamLoads.listFreeUpstreams(this.listUpstreams(), this.options.getUpstreamLoad, now);
        const chosen = this.options.chooseUpstream(request, free, now, 0);
        return chosen === undefined ? undefined : slot.createSlot({ ...this.options, rankUsage: this.rankUsage, request, upstream: chosen, now, queuedMs: 0 });
    }

    /** Returns the share of the slots of routable upstreams that are in use, from 0 to 1; 1 if there are none. */
    getUtilization(): number {
        return upstreamLoads.computeUtilization(this.listUpstreams(), this.options.getUpstreamLoad, this.options.context.clock.getNow());
    }

    /**
     * Starts queued requests until no further request can get a slot.
     * @param now - The time from which queue times are computed, in monotonic milliseconds. For a request that has just been queued,
     * it is the time of that, so that a pause of the process until it gets a free slot does not count as waiting for one.
     */
    dispatch(now = this.options.context.clock.getNow()): void {
        while (this.dispatchNext(now)) {
            // Each iteration starts one request.
        }
        const hasQueuedRequests = this.queues.some(({ requests }) => requests.getSize() > 0);
        if (hasQueuedRequests && this.cancelRedispatch === undefined) {
            this.cancelRedispatch = this.options.context.loop.scheduleOnce(redispatchDelayMs, () => {
                this.cancelRedispatch = undefined;
                this.dispatch();
            });
        }
    }

    /** Rejects every queued request for which the callback returns an error. */
    rejectQueued(getError: (request: types.SlotRequest) => errors.FleetError | undefined): void {
        for (const queued of this.queues.flatMap(({ requests }) => requests.listAll())) {
            const error = getError(queued.request);
            if (error !== undefined) {
                this.rejectRequest(queued, error);
            }
        }
    }

    /** Returns the number of queued and in-flight requests by rank. */
    getDemand(): readonly types.RankDemand[] {
        return this.options.ranks.map((rank, index) => ({
            rank: rank.name,
            queued: this.queues[index]!.requests.getSize(),
            inFlight: this.rankUsage.getInFlight(index),
        }));
    }

    /** Returns the state of every rank's queue for the operators' dump. */
    getDump(): unknown {
        const usageFractions = this.rankUsage.getUsageFractions();
        return this.getDemand().map((demand, index) => ({ ...demand, guaranteedShare: this.options.ranks[index]!.guaranteedShare, recentShare: usageFractions[index], workspaces: this.queues[index]!.requests.countByWorkspace().size }));
    }

    private dispatchNext(now: number): boolean {
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
            .with("fifo", () => ranks.sort((a, b) => this.getOldestQueuedAt(a) - this.getOldestQueuedAt(b)))
            .exhaustive();
    }

    private getOldestQueuedAt(rank: number): number {
        return this.queues[rank]!.requests.listNext(1)[0]?.queuedAt ?? Infinity;
    }

    private startNextOfRank(rank: number, now: number): boolean {
        const upstreams = this.listUpstreams();
        const { requests } = this.queues[rank]!;
        this.rejectDuringPause(requests, upstreams, now);
        for (const queued of requests.listNext(queueScanLimit)) {
            const chosen = this.options.chooseUpstream(queued.request, upstreams, now, now - queued.queuedAt);
            if (chosen !== undefined) {
                requests.take(queued);
                this.startRequest(queued, chosen, now);
                return true;
            }
        }
        return false;
    }

    private listUpstreams(): readonly pool.Upstream[] {
        return this.options.pool.getServicePool(this.options.service)?.upstreams ?? [];
    }

    private startRequest(queued: queuedRequest.QueuedRequest, upstream: pool.Upstream, now: number): void {
        const { request, workspace, cost } = queued;
        const { requests, forecast } = this.queues[request.rankIndex]!;
        forecast.recordStart(now);
        const queuedMs = now - queued.queuedAt;
        this.options.recordQueueTime?.(this.options.ranks[request.rankIndex]!.name, queuedMs);
        const onReleased = (usedMs: number) => requests.recordUsage(workspace, cost, usedMs);
        this.resolveRequest(queued, ok(slot.createSlot({ ...this.options, rankUsage: this.rankUsage, request, upstream, now, queuedMs, onReleased })));
    }

    /** Rejects requests at the head of the queue that can no longer be answered before their deadline, to save slots for others. */
    private rejectLateRequests(rank: number, now: number): void {
        const { requests } = this.queues[rank]!;
        let first = requests.listNext(1)[0];
        while (first !== undefined && first.request.deadlineAt - now < queuedRequest.computeMinimumRemainingMs(first)) {
            this.rejectWithReason(first, "late", errors.createError("deadlineBeforeSend", "the remaining time before the deadline was too short when the request reached the head of the queue"));
            first = requests.listNext(1)[0];
        }
    }

    /** Rejects requests that no upstream has run while every upstream has asked for a pause. Others have nothing to gain from a rejection and wait. */
    private rejectDuringPause(requests: queuedRequest.RequestQueue, upstreams: readonly pool.Upstream[], now: number): void {
        const isAnyTaking = upstreams.some(candidate => !candidate.isLeaving(now) && candidate.getRequestedPauseMs(now) === 0);
        if (isAnyTaking || upstreams.length === 0) {
            return;
        }
        for (const queued of requests.listAll().filter(({ request }) => !request.mayHaveRun)) {
            const retryAfterMs = requestedPauses.computeRefusalDelayMs({ upstreams, now, targetLatencyMs: queued.request.targetLatencyMs });
            if (retryAfterMs !== undefined) {
                this.rejectWithReason(queued, "pause", { ...errors.createError("overloaded", `every upstream has asked for no requests, for ${Math.round(retryAfterMs)} ms at least`), retryAfterMs });
            }
        }
    }

    private resolveRequest(queued: queuedRequest.QueuedRequest, result: Result<types.Slot, errors.FleetError>): void {
        queued.cancelTimer();
        queued.resolve(result);
    }
}
