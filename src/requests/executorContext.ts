/** The services that running a request needs. */

import type * as http from "node:http";
import type { Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";
import * as attempt from "./attempt.js";
import * as attemptMetrics from "./attemptMetrics.js";
import * as headers from "./headers.js";
import * as retryBudget from "./retryBudget.js";
import type * as types from "./types.js";

/** Milliseconds between two looks at whether the budget allows a repeat. */
const retryCheckIntervalMs = 25;

/** Options of the executors' context. */
export interface CreateExecutorContextOptions {
    readonly context: context.Context;
    readonly admission: admission.Admission;
    readonly pool: pool.Pool;
    readonly leavingUpstreams: pool.LeavingUpstreams;
    readonly agent: http.Agent;
    /** Returns how many instances the fleet has. */
    readonly countInstances: () => number;
    /** Sends an attempt; another function stands in for the network in tests. */
    readonly sendAttempt?: typeof attempt.sendAttempt;
}

function formatResult(result: attempt.AttemptResult): string {
    return match(result)
        .with({ kind: "answered" }, ({ response }) => `answered ${response.statusCode}`)
        .with({ kind: "shed" }, { kind: "lost" }, { kind: "unreachable" }, ({ kind, reason }) => `${kind}: ${reason}`)
        .with({ kind: "timedOut" }, { kind: "cancelled" }, ({ kind }) => kind)
        .exhaustive();
}

/** Hands out what attempts share. */
export class ExecutorContext {
    private readonly budgets = new Map<string, retryBudget.RetryBudget>();
    private readonly startedAt: number;
    private readonly metrics: attemptMetrics.AttemptMetrics;

    constructor(private readonly options: CreateExecutorContextOptions) {
        this.metrics = new attemptMetrics.AttemptMetrics({
            registry: options.context.metrics,
            getRemainingRetries: () => new Map([...this.budgets].map(([service, budget]) => [service, budget.getRemainingRetries()])),
        });
        this.startedAt = options.context.clock.getNow();
    }

    /**
     * Sends an attempt and notes in the request's trail what became of it.
     * @param sent - The attempt.
     */
    async sendAttempt(sent: attempt.SendAttemptOptions): Promise<attempt.AttemptResult> {
        const { slot, request } = sent;
        const result = await (this.options.sendAttempt ?? attempt.sendAttempt)(sent);
        const ageMs = Math.round(this.context.clock.getNow() - slot.attempt.startedAt);
        this.metrics.recordAttempt(request.route.service, result);
        request.trail.push(`[${slot.upstream.getId()} (${slot.grounds}) queued ${Math.round(slot.queuedMs)} ms, after ${ageMs} ms ${formatResult(result)}]`);
        return result;
    }

    /** The shared objects of the process. */
    get context(): context.Context {
        return this.options.context;
    }

    /** How long requests usually take. */
    get latencies(): pool.Pool["latencies"] {
        return this.options.pool.latencies;
    }

    /** The marks of leaving upstreams. */
    get leavingUpstreams(): pool.LeavingUpstreams {
        return this.options.leavingUpstreams;
    }

    /** The connections kept for requests that may be repeated. */
    get agent(): http.Agent {
        return this.options.agent;
    }

    /**
     * Returns a service's retry budget.
     * @param service - The service.
     */
    getRetryBudget(service: string): retryBudget.RetryBudget {
        const { clock, settings } = this.context;
        const known = this.budgets.get(service)
            ?? new retryBudget.RetryBudget({ clock, ratio: settings.retryRatio, slack: settings.retrySlack, windowMs: settings.retryWindowS * 1_000, countInstances: this.options.countInstances, startedAt: this.startedAt });
        this.budgets.set(service, known);
        return known;
    }

    /**
     * Waits until an attempt that was not run may be followed by another; returns false where it may not be in time.
     * @param request - The request.
     * @param kind - Whether the upstream refused it, or was not reached: what never arrived there is no repeat.
     */
    async waitForRetry(request: types.RoutedRequest, kind: "shed" | "unreachable"): Promise<boolean> {
        const { route, deadlineAt, signal } = request;
        const { clock, loop } = this.context;
        const budget = this.getRetryBudget(route.service);
        const usualMs = this.latencies.getQuantile(route.service, route.name, 0.5) ?? 0;
        if (kind === "unreachable") {
            return !signal.aborted && deadlineAt - clock.getNow() >= usualMs + retryCheckIntervalMs;
        }
        while (!budget.acquireRetry()) {
            if (signal.aborted || deadlineAt - clock.getNow() < usualMs + retryCheckIntervalMs) {
                return false;
            }
            await new Promise<void>(resolve => loop.scheduleOnce(retryCheckIntervalMs, resolve));
        }
        return true;
    }

    /**
     * Returns a service's definition in force.
     * @param service - The service.
     */
    getServiceDefinition(service: string): configuration.ServiceDefinition | undefined {
        return this.options.pool.getServicePool(service)?.definition;
    }

    /**
     * Waits for a slot for a request.
     * @param request - The request.
     * @param excluded - Identifiers of upstreams it has been at; where they are all of them, they are allowed again.
     * @param progress - Whether it held a slot before, and whether it may be sent once more if this attempt fails.
     */
    acquireSlot(request: types.RoutedRequest, excluded: Set<string>, progress: { readonly isRetry: boolean; readonly canRepeat: boolean; }): Promise<Result<admission.Slot, errors.FleetError>> {
        const { route } = request;
        const now = this.context.clock.getNow();
        const upstreams = this.options.pool.getServicePool(route.service)?.upstreams ?? [];
        const untried = upstreams.filter(candidate => !excluded.has(candidate.getId()) && !candidate.isLeaving(now) && candidate.routability.kind === "routable");
        if (untried.length === 0) {
            excluded.clear();
        }
        return this.options.admission.acquireSlot({
            service: route.service,
            route: route.name,
            rankIndex: route.rankIndex,
            feature: request.feature,
            isRepeatable: route.repeatable,
            ...progress,
            deadlineAt: request.deadlineAt,
            targetMs: route.targetLatencyMs ?? route.deadlineMs,
            excluded: new Set(excluded),
            signal: request.signal,
            getAbortError: () => errors.createError("callerGone"),
            getUsualLatencyMs: () => this.latencies.getQuantile(route.service, route.name, 0.5),
        });
    }

    /**
     * Returns the fleet's headers of an answer, as name and value in turn.
     * @param outcome - Whether the request has run.
     * @param attempts - How many attempts were made.
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
