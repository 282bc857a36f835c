/** Provides what every attempt needs: slots, retry budgets, connections and metrics. */

import { err, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";
import * as attempt from "./attempt.js";
import * as attemptMetrics from "./attemptMetrics.js";
import type * as connectionReuse from "./connectionReuse.js";
import * as drainAdmission from "./drainAdmission.js";
import * as headers from "./headers.js";
import * as hedging from "./hedging.js";
import * as retryBudget from "./retryBudget.js";
import type * as types from "./types.js";
import type * as upstreamAgent from "./upstreamAgent.js";
import * as upstreamBytes from "./upstreamBytes.js";

/** Interval between checks whether the budget allows a retry. */
const retryCheckIntervalMs = 25;
/** A shed request waits for a retry of the budget for this part of its target latency at most; its caller is told when to come back instead. */
const maximumRetryWaitFraction = 1 / 8;
/** The quantile of a route's latencies that decides which requests a stopping instance still takes and sends. */
const usualLatencyQuantile = 0.99;

/** Options of the executor context. */
export interface CreateExecutorContextOptions {
    readonly context: context.Context;
    readonly admission: admission.Admission;
    readonly pool: pool.Pool;
    readonly leavingUpstreams: pool.LeavingUpstreams;
    readonly agent: upstreamAgent.UpstreamAgent;
    readonly connectionReuse: connectionReuse.ConnectionReuse;
    /** Returns the number of instances in the fleet, which share the retry budget. */
    readonly countInstances: () => number;
    /** Replaces the function that sends an attempt over the network; for tests. */
    readonly sendAttempt?: typeof attempt.sendAttempt;
}

function formatResult(result: attempt.AttemptResult): string {
    return match(result)
        .with({ kind: "answered" }, ({ response }) => `answered ${response.statusCode}`)
        .with({ kind: "shed" }, { kind: "lost" }, { kind: "unreachable" }, ({ kind, reason }) => `${kind}: ${reason}`)
        .with({ kind: "timedOut" }, { kind: "cancelled" }, ({ kind }) => kind)
        .exhaustive();
}

/** Gives attempts access to slots, retry budgets and connections, and records their results. */
export class ExecutorContext {
    private readonly budgets = new Map<string, retryBudget.RetryBudget>();
    private readonly startedAt: number;
    private readonly metrics: attemptMetrics.AttemptMetrics;
    private readonly upstreamBytes: upstreamBytes.UpstreamBytes;
    /** The state of second requests that are sent before the first one is answered. */
    readonly hedging: hedging.Hedging;
    /** The times of the graceful shutdown; undefined before one begins. */
    private shutdownTimes: drainAdmission.ShutdownTimes | undefined;

    constructor(private readonly options: CreateExecutorContextOptions) {
        this.metrics = new attemptMetrics.AttemptMetrics({
            registry: options.context.metrics,
            getRemainingRetries: () => new Map([...this.budgets].map(([service, budget]) => [service, budget.getRemainingRetries()])),
        });
        this.upstreamBytes = new upstreamBytes.UpstreamBytes({ registry: options.context.metrics, failureDomain: options.context.identity.failureDomain });
        this.hedging = new hedging.Hedging(options.context, options.pool.latencies);
        this.startedAt = options.context.clock.getNow();
    }

    /** Sends an attempt, applies what its response says about the upstream, counts its result and appends it to the request's trail. */
    async sendAttempt(options: Omit<attempt.SendAttemptOptions, "onNotice">): Promise<attempt.AttemptResult> {
        const { slot, request } = options;
        const current = { upstream: slot.upstream.getId(), upstreamSummary: slot.upstreamSummary, queuedMs: slot.queuedMs, startedAt: slot.attempt.startedAt };
        request.progress.recordAttempt(current);
        const isReusable = () => this.options.connectionReuse.isReusable(slot.upstream.getAddress());
        const result = await this.runAttempt({
            ...options,
            isReusable,
            createSeparateAgent: () => this.agent.createSeparateAgent(),
            onCreated: sent => this.upstreamBytes.watchRequest(sent, slot.upstream),
            onSent: () => request.progress.setWait({ kind: "upstreamHead", attempt: current }),
            onNotice: notice => this.applyNotice(slot.upstream, notice),
        });
        request.progress.setWait(result.kind === "answered" ? { kind: "upstreamBody", attempt: current } : { kind: "retry" });
        const ageMs = Math.round(this.context.clock.getNow() - slot.attempt.startedAt);
        this.metrics.recordAttempt(request.route.service, result);
        this.hedging.recordAttempt(request.route.service, slot.queuedMs, result.kind === "shed");
        request.trail.push(`[${slot.upstream.getId()} (${slot.upstreamSummary}) queued ${Math.round(slot.queuedMs)} ms, after ${ageMs} ms ${formatResult(result)}]`);
        return result;
    }

    /** Sends an attempt; an exception releases its slot. */
    private async runAttempt(options: attempt.SendAttemptOptions): Promise<attempt.AttemptResult> {
        try {
            return await (this.options.sendAttempt ?? attempt.sendAttempt)(options);
        }
        catch (thrown) {
            options.slot.release("cancelled");
            throw thrown;
        }
    }

    /** Refuses requests from now on that cannot be expected to end before the shutdown does. */
    setShutdownTimes(times: drainAdmission.ShutdownTimes): void {
        this.shutdownTimes = times;
    }

    /**
     * Returns the error of a request that cannot be expected to end before the shutdown does; undefined if it can, or if none has begun.
     * @param request - The request, which is not being sent.
     * @param mayHaveRun - Whether an upstream may have run it.
     */
    getDrainError({ route, deadlineAt }: Pick<types.RoutedRequest, "route" | "deadlineAt">, mayHaveRun = false): errors.FleetError | undefined {
        const { shutdownTimes, context: { clock } } = this;
        if (shutdownTimes === undefined) {
            return undefined;
        }
        const now = clock.getNow();
        const times = { now, deadlineAt, mayHaveRun, usualLatencyMs: this.latencies.getQuantile(route.service, route.name, usualLatencyQuantile) };
        return drainAdmission.isAdmitted(times, shutdownTimes) ? undefined : { ...errors.createError("draining", drainAdmission.formatRejection(times, shutdownTimes)), retryAfterMs: 0 };
    }

    /** The clock, event loop, settings, logger and other objects of the process. */
    get context(): context.Context {
        return this.options.context;
    }

    /** The measured latencies by service and route. */
    get latencies(): pool.Pool["latencies"] {
        return this.options.pool.latencies;
    }

    /** The keep-alive connections, used for repeatable requests only. */
    get agent(): upstreamAgent.UpstreamAgent {
        return this.options.agent;
    }

    /** Lists the retry budgets that are in use, by service. */
    listRetryBudgets(): ReadonlyMap<string, retryBudget.RetryBudget> {
        return this.budgets;
    }

    /** Returns a service's retry budget, which is created on first use. */
    getRetryBudget(service: string): retryBudget.RetryBudget {
        const { clock, settings } = this.context;
        const budget = this.budgets.get(service)
            ?? new retryBudget.RetryBudget({
                clock,
                ratio: settings.retryRatio,
                slack: settings.retrySlack,
                windowMs: settings.retryWindowS * 1_000,
                countInstances: this.options.countInstances,
                startedAt: this.startedAt,
                slackSharing: settings.retrySlackSharing,
            });
        this.budgets.set(service, budget);
        return budget;
    }

    /**
     * Waits until a request may be sent again after an attempt that did not run. Returns false if the caller disconnects,
     * if the budget allows no retry within a small part of the target latency, if its service is limited because it sheds,
     * or if a shutdown leaves too little time.
     * @param request - The request.
     * @param kind - Why the attempt did not run. An unreachable upstream never received the request, so the next attempt
     * takes no retry from the budget.
     * @param attemptMs - How long the attempt took. A request is not sent again with less time left than that or than the
     * route's median latency, because an attempt in flight at the deadline leaves the outcome unknown.
     * @param mayHaveRun - Whether an upstream may have run an earlier attempt.
     */
    async waitForRetry(request: types.RoutedRequest, kind: "shed" | "unreachable", attemptMs: number, mayHaveRun = false): Promise<boolean> {
        const { route, deadlineAt, signal } = request;
        const { clock, loop } = this.context;
        const budget = this.getRetryBudget(route.service);
        const medianMs = this.latencies.getQuantile(route.service, route.name, 0.5) ?? 0;
        const requiredMs = Math.max(medianMs, attemptMs) + retryCheckIntervalMs;
        const waitUntil = clock.getNow() + (route.targetLatencyMs ?? route.deadlineMs) * maximumRetryWaitFraction;
        if (kind === "shed" && !mayHaveRun && this.options.admission.isLimited(route.service)) {
            return false;
        }
        while (!signal.aborted && this.getDrainError(request, mayHaveRun) === undefined && deadlineAt - clock.getNow() >= requiredMs) {
            if (kind === "unreachable" || budget.acquireRetry()) {
                return true;
            }
            // With more retries spent than the budget allows by now, none becomes free for a while.
            if (clock.getNow() >= waitUntil || budget.getRemainingRetries() < 0) {
                return false;
            }
            await new Promise<void>(resolve => loop.scheduleOnce(retryCheckIntervalMs, resolve));
        }
        return false;
    }

    /**
     * Creates the error of a request that an upstream has shed, that none has run, and that is not sent again.
     * @param message - What the upstream answered.
     */
    createShedError({ route }: Pick<types.RoutedRequest, "route">, message: string): errors.FleetError {
        return this.options.admission.createShedError({ service: route.service, rankIndex: route.rankIndex }, message);
    }

    private applyNotice(upstream: pool.Upstream, notice: attempt.UpstreamNotice): void {
        const { context: { clock, logger }, leavingUpstreams } = this.options;
        match(notice)
            .with({ kind: "draining" }, { kind: "misdirected" }, ({ kind }) => leavingUpstreams.addUpstream(upstream, kind))
            .with({ kind: "pause" }, ({ durationMs }) => {
                upstream.setRequestedPauseUntil(clock.getNow() + durationMs);
                logger.writeInfo("upstream-pause-requested", `${upstream.service}/${upstream.getId()} asked for no requests for ${Math.round(durationMs)} ms`, {
                    service: upstream.service,
                    upstream: upstream.getId(),
                    durationMs: Math.round(durationMs),
                });
            })
            .exhaustive();
    }

    /** Returns the definition of a service in the current configuration. */
    getServiceDefinition(service: string): configuration.ServiceDefinition | undefined {
        return this.options.pool.getServicePool(service)?.definition;
    }

    /**
     * Waits for a slot at an upstream. A stopping instance refuses a request that has not been sent and has waited too long
     * to end before the shutdown does.
     * @param request - The request.
     * @param excludedUpstreamIds - Identifiers of the upstreams that were already tried; cleared if no other routable upstream is left.
     * @param progress - Whether an earlier attempt held a slot, and whether the request can be retried if this attempt fails.
     */
    async acquireSlot(request: types.RoutedRequest, excludedUpstreamIds: Set<string>, progress: Pick<admission.SlotRequest, "isRetry" | "canRetry" | "mayHaveRun">): Promise<Result<admission.Slot, errors.FleetError>> {
        const { route } = request;
        request.progress.setWait({ kind: "slot" });
        const now = this.context.clock.getNow();
        const upstreams = this.options.pool.getServicePool(route.service)?.upstreams ?? [];
        const untried = upstreams.filter(candidate => !excludedUpstreamIds.has(candidate.getId()) && !candidate.isLeaving(now) && candidate.routability.kind === "routable");
        if (untried.length === 0) {
            excludedUpstreamIds.clear();
        }
        const slot = await this.options.admission.acquireSlot(this.createSlotRequest(request, excludedUpstreamIds, progress));
        const drainError = slot.isOk() && !progress.mayHaveRun ? this.getDrainError(request) : undefined;
        if (slot.isOk() && drainError !== undefined) {
            slot.value.release("cancelled");
            return err(drainError);
        }
        return slot;
    }

    /**
     * Acquires a slot for a hedge at an upstream that has a free one now; undefined if there is none.
     * @param excludedUpstreamIds - Identifiers of the upstreams that were already tried.
     */
    acquireFreeSlot(request: types.RoutedRequest, excludedUpstreamIds: ReadonlySet<string>): admission.Slot | undefined {
        // A hedge is not for exploration, which sends requests to upstreams of unknown health.
        return this.options.admission.acquireFreeSlot({ ...this.createSlotRequest(request, excludedUpstreamIds, { isRetry: true, canRetry: false, mayHaveRun: true }), isRepeatable: false });
    }

    /** Returns the share of a service's slots that are in use, from 0 to 1. */
    getUtilization(service: string): number {
        return this.options.admission.getUtilization(service);
    }

    private createSlotRequest(request: types.RoutedRequest, excludedUpstreamIds: ReadonlySet<string>, progress: Pick<admission.SlotRequest, "isRetry" | "canRetry" | "mayHaveRun">): admission.SlotRequest {
        const { route } = request;
        return {
            service: route.service,
            route: route.name,
            rankIndex: route.rankIndex,
            feature: request.feature,
            workspace: request.workspace,
            keyDigest: request.keyDigest,
            bodyBytes: request.body.length,
            isRepeatable: route.repeatable,
            ...progress,
            deadlineAt: request.deadlineAt,
            targetLatencyMs: route.targetLatencyMs ?? route.deadlineMs,
            excludedUpstreamIds: new Set(excludedUpstreamIds),
            signal: request.signal,
            getAbortError: () => errors.createError("callerGone"),
            getMedianLatencyMs: () => this.latencies.getQuantile(route.service, route.name, 0.5),
        };
    }

    /**
     * Creates the `x-agatebend-` headers of a response; names and values alternate.
     * @param outcome - Whether the request has run.
     * @param attempts - The number of attempts that were made.
     */
    createResponseHeaders(outcome: errors.Outcome, attempts: number): readonly string[] {
        return [
            headers.fleetHeaders.outcome,
            outcome,
            headers.fleetHeaders.instance,
            this.context.identity.instanceId,
            headers.fleetHeaders.attempts,
            String(attempts),
        ];
    }
}
