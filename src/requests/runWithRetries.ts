/** Runs a repeatable request: retries failed attempts at other upstreams within the retry budget and relays exactly one response. */

import type * as http from "node:http";
import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import * as errors from "../kernel/errors.js";
import * as pool from "../pool/index.js";
import type * as executorContext from "./executorContext.js";
import * as headers from "./headers.js";
import * as hedgedAttempt from "./hedgedAttempt.js";
import * as rangeResume from "./rangeResume.js";
import * as relayBody from "./relayBody.js";
import type * as types from "./types.js";

/** Bytes of a response body that are buffered before relaying starts; a response that breaks within them can be requested again. */
const bufferLimitBytes = 1_048_576;
/** The time until the retry budget is asked again for an overdue attempt. */
const overdueCheckIntervalMs = 100;
/** The maximum number of range requests that continue one broken body. */
const maximumContinuations = 8;

/** The final result of a request, for logs and metrics. */
export interface ExecutionSummary {
    readonly outcome: errors.Outcome;
    readonly status: number;
    readonly attempts: number;
    readonly error?: errors.FleetError;
    /** How the response body ended; `none` if no response was relayed, as for errors and orders. */
    readonly body: relayBody.RelayResult["kind"] | "none";
}

interface OpenedResponse {
    readonly slot: admission.Slot;
    readonly response: http.IncomingMessage;
}

interface Progress {
    /** Identifiers of the upstreams that were already tried. */
    readonly excludedUpstreamIds: Set<string>;
    /** Attempts that got a slot, whether or not the request was sent. */
    attempts: number;
    /** Attempts that the upstream may have run. */
    sentAttempts: number;
    /** Whether the caller has received a part of the response, so that the request can no longer be refused. */
    readonly isContinuation: boolean;
}

/** The result of waiting for the response headers. */
type OpenResult =
    | { readonly kind: "opened"; readonly opened: OpenedResponse; }
    | { readonly kind: "error"; readonly error: errors.FleetError; };

/**
 * Runs a request and relays the response to the caller. If the summary has an error, nothing was written to the caller.
 * @param executor - Provides slots, connections and the retry budget.
 * @param request - The request.
 * @param caller - The response object of the caller's connection.
 */
export async function runWithRetries(executor: executorContext.ExecutorContext, request: types.RoutedRequest, caller: http.ServerResponse): Promise<ExecutionSummary> {
    const progress: Progress = { excludedUpstreamIds: new Set(), attempts: 0, sentAttempts: 0, isContinuation: false };
    executor.getRetryBudget(request.route.service).recordRequest();
    while (true) {
        const result = await openResponse(executor, request, progress, []);
        const summary = result.kind === "error" ? createErrorSummary(result.error, progress) : await relayResponse(executor, request, progress, result.opened, caller);
        if (summary !== "retry") {
            return summary;
        }
    }
}

/** Returns whether an upstream may have run the request or the caller has a part of the response, so that it cannot be refused as not executed. */
function hasBegun({ isContinuation, sentAttempts }: Progress): boolean {
    return isContinuation || sentAttempts > 0;
}

function createErrorSummary(error: errors.FleetError, progress: Progress): ExecutionSummary {
    const { outcome, status } = errors.getErrorDefinition(error);
    return { outcome, status, attempts: progress.attempts, error, body: "none" };
}

/** Sends attempts until the headers of a response arrive or retrying is no longer possible. The body is not yet read. */
async function openResponse(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, extraHeaders: readonly string[]): Promise<OpenResult> {
    const service = request.route.service;
    while (true) {
        const canRetry = progress.sentAttempts + 1 < request.route.maximumAttempts && executor.getRetryBudget(service).getRemainingRetries() >= 1;
        const slot = await executor.acquireSlot(request, progress.excludedUpstreamIds, { isRetry: progress.attempts > 0, canRetry, mayHaveRun: hasBegun(progress) });
        if (slot.isErr()) {
            return { kind: "error", error: createUnansweredError(slot.error, progress.sentAttempts) };
        }
        if (executor.context.clock.getNow() >= request.deadlineAt) {
            slot.value.release("cancelled");
            return { kind: "error", error: createUnansweredError(errors.createError("deadlineBeforeSend"), progress.sentAttempts) };
        }
        progress.attempts += 1;
        const definition = executor.getServiceDefinition(service);
        if (definition === undefined) {
            slot.value.release("cancelled");
            return { kind: "error", error: createUnansweredError(errors.createError("overloaded", `the service ${service} is no longer configured`), progress.sentAttempts) };
        }
        const { slot: endedSlot, result } = await hedgedAttempt.sendAttempt(executor, {
            attempt: { context: executor.context, slot: slot.value, service: definition, request, agent: executor.agent, signal: request.signal, extraHeaders },
            progress,
            getWaitMs: (upstream, ageMs) => getWaitMs(executor, request, progress, upstream, ageMs),
        });
        const next = await match(result)
            .with({ kind: "answered" }, ({ response }): OpenResult | "retry" => handleResponse(executor, request, progress, endedSlot, response))
            .with({ kind: "shed" }, { kind: "unreachable" }, notExecuted => retryNotExecuted(executor, request, progress, endedSlot, notExecuted))
            .with({ kind: "lost" }, ({ reason }) => retrySent(executor, request, progress, endedSlot, "failed", errors.createError("answerLost", `the response was lost: ${reason}`)))
            .with({ kind: "timedOut" }, () => retryTimedOut(executor, request, progress, endedSlot))
            .with({ kind: "cancelled" }, ({ wasSent }): OpenResult => {
                endedSlot.release("cancelled");
                return { kind: "error", error: createUnansweredError(errors.createError("callerGone"), progress.sentAttempts + (wasSent ? 1 : 0)) };
            })
            .exhaustive();
        if (next !== "retry") {
            return next;
        }
    }
}

/** Returns the time until the next timeout check. An overdue attempt times out before the deadline only if a retry can replace it. */
function getWaitMs(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, upstream: pool.Upstream, ageMs: number): number | "timedOut" {
    const remainingMs = request.deadlineAt - executor.context.clock.getNow();
    if (remainingMs <= 0) {
        return "timedOut";
    }
    // Failure detection uses the same threshold. An attempt that is given up earlier would not count as evidence.
    const overdueAgeMs = pool.computeOverdueAgeMs({
        medianMs: executor.latencies.getQuantile(request.route.service, request.route.name, 0.5),
        minimumStallMs: executor.getServiceDefinition(request.route.service)?.minimumStallMs ?? 0,
        routability: upstream.routability.kind,
    });
    if (ageMs < overdueAgeMs) {
        return Math.min(remainingMs, overdueAgeMs - ageMs);
    }
    if (progress.sentAttempts + 1 >= request.route.maximumAttempts || remainingMs <= overdueAgeMs) {
        return remainingMs;
    }
    // A budget that has no retry now may have one soon; the attempt of a crashed upstream would otherwise last until the deadline.
    return executor.getRetryBudget(request.route.service).acquireRetry() ? "timedOut" : Math.min(remainingMs, overdueCheckIntervalMs);
}

function handleResponse(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot, response: http.IncomingMessage): OpenResult | "retry" {
    const status = response.statusCode ?? 0;
    progress.sentAttempts += 1;
    if (status < 500) {
        return { kind: "opened", opened: { slot, response } };
    }
    if (!acquireRetry(executor, request, progress)) {
        return { kind: "opened", opened: { slot, response } };
    }
    response.on("error", () => {});
    response.destroy();
    progress.excludedUpstreamIds.add(slot.upstream.getId());
    slot.release("failed");
    return "retry";
}

/** Takes a retry from the budget, unless the caller has disconnected or the route's maximum of attempts is reached. */
function acquireRetry(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress): boolean {
    return progress.sentAttempts < request.route.maximumAttempts && !request.signal.aborted && executor.getRetryBudget(request.route.service).acquireRetry();
}

/** Handles an attempt that the upstream did not run. The next attempt counts as a retry only if the request had reached the upstream. */
async function retryNotExecuted(
    executor: executorContext.ExecutorContext,
    request: types.RoutedRequest,
    progress: Progress,
    slot: admission.Slot,
    { kind, reason }: { readonly kind: "shed" | "unreachable"; readonly reason: string; },
): Promise<OpenResult | "retry"> {
    slot.release(kind);
    progress.excludedUpstreamIds.add(slot.upstream.getId());
    if (await executor.waitForRetry(request, kind, executor.context.clock.getNow() - slot.attempt.startedAt, hasBegun(progress))) {
        return "retry";
    }
    const message = `the upstream did not accept the request: ${reason}`;
    if (progress.sentAttempts > 0) {
        return { kind: "error", error: errors.createError("answerLost", `an earlier attempt was sent and failed; after that, ${message}`) };
    }
    return { kind: "error", error: kind === "shed" ? executor.createShedError(request, message) : errors.createError("upstreamUnavailable", message) };
}

/** Handles an attempt whose response was lost. The upstream may have run the request. */
function retrySent(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot, outcome: pool.AttemptOutcome, error: errors.FleetError): OpenResult | "retry" {
    slot.release(outcome);
    progress.sentAttempts += 1;
    progress.excludedUpstreamIds.add(slot.upstream.getId());
    return acquireRetry(executor, request, progress) ? "retry" : { kind: "error", error };
}

/** Handles an attempt that timed out. If it timed out before the deadline, `getWaitMs` has already taken the retry from the budget. */
function retryTimedOut(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot): OpenResult | "retry" {
    slot.release("timedOut");
    progress.sentAttempts += 1;
    progress.excludedUpstreamIds.add(slot.upstream.getId());
    const isDeadlinePassed = request.deadlineAt <= executor.context.clock.getNow();
    return isDeadlinePassed ? { kind: "error", error: errors.createError("deadlineAfterSend") } : "retry";
}

/** Creates the error of a request that ended before an upstream answered it. If an attempt was sent, the upstream may have run the request. */
function createUnansweredError(error: errors.FleetError, sentAttempts: number): errors.FleetError {
    if (sentAttempts === 0) {
        return error;
    }
    return error.kind === "callerGone" ? errors.createError("callerGoneAfterSend") : errors.createError("deadlineAfterSend", `an earlier attempt was sent and failed; after that: ${error.message}`);
}

async function relayResponse(executor: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, opened: OpenedResponse, caller: http.ServerResponse): Promise<ExecutionSummary | "retry"> {
    const { response } = opened;
    const status = response.statusCode ?? 502;
    const outcome: errors.Outcome = status < 500 ? "executed" : "unknown";
    const resumable = rangeResume.getResumableBody(request.method, response);
    let current = opened.slot;
    let continuations = 0;
    const relayed = relayBody.relayBody({
        context: executor.context,
        response,
        caller,
        reservation: request.reservation,
        writeHeader: () => {
            caller.writeHead(status, [
                ...headers.removeFleetHeaders(headers.listEndToEndHeaders(response.rawHeaders)),
                ...executor.createResponseHeaders(outcome, progress.attempts),
            ]);
        },
        bufferLimitBytes: resumable === undefined ? bufferLimitBytes : 0,
        hasRetryLeft: () => progress.sentAttempts < request.route.maximumAttempts && executor.getRetryBudget(request.route.service).getRemainingRetries() >= 1,
        getRemainingMs: () => request.deadlineAt - executor.context.clock.getNow(),
        resumable,
        openContinuation: async (resumable, offset) => {
            current.release("failed");
            continuations += 1;
            if (continuations > maximumContinuations) {
                return undefined;
            }
            const continuation = await openContinuation(executor, request, resumable, offset, current.upstream.getId());
            if (continuation === undefined) {
                return undefined;
            }
            current = continuation.slot;
            progress.attempts += 1;
            executor.context.logger.writeInfo("body-continued", "a broken response body is continued from another upstream", { service: request.route.service, upstream: current.upstream.getId(), offset });
            return continuation.response;
        },
    });
    const result = await relayed.catch((thrown: unknown) => {
        current.release("failed");
        throw thrown;
    });
    if (result.kind === "unstarted") {
        const isDeadlinePassed = request.deadlineAt <= executor.context.clock.getNow();
        const error = isDeadlinePassed ? errors.createError("deadlineAfterSend") : errors.createError("answerLost", "the response body broke off before any of it was relayed");
        current.release(isDeadlinePassed ? "timedOut" : "failed");
        progress.excludedUpstreamIds.add(current.upstream.getId());
        return !isDeadlinePassed && acquireRetry(executor, request, progress) ? "retry" : createErrorSummary(error, progress);
    }
    current.release(getFinalOutcome(result, status));
    if (result.kind !== "whole") {
        request.trail.push(`[${current.upstream.getId()} (its body ended as ${result.kind} after ${result.bytes} bytes)]`);
    }
    return { outcome, status, attempts: progress.attempts, body: result.kind };
}

function getFinalOutcome(result: relayBody.RelayResult, status: number): pool.AttemptOutcome {
    return match(result)
        .with({ kind: "whole" }, (): pool.AttemptOutcome => status < 500 ? "answered" : "failed")
        .with({ kind: "broken" }, { kind: "tooLarge" }, { kind: "unstarted" }, (): pool.AttemptOutcome => "failed")
        .with({ kind: "deadline" }, ({ isCallerSlow }): pool.AttemptOutcome => isCallerSlow ? "cancelled" : "timedOut")
        .with({ kind: "callerGone" }, (): pool.AttemptOutcome => "cancelled")
        .exhaustive();
}

/** Requests the remainder of a broken body from another upstream. Returns undefined if there is none or its response is not exactly the remainder. */
async function openContinuation(executor: executorContext.ExecutorContext, request: types.RoutedRequest, resumable: rangeResume.ResumableBody, offset: number, brokenUpstream: string): Promise<OpenedResponse | undefined> {
    const headersWithoutRange = headers.listEndToEndHeaders(request.rawHeaders, ["range", "if-range", "if-none-match", "if-modified-since", "if-match", "if-unmodified-since"]);
    const resumed = { ...request, rawHeaders: headersWithoutRange };
    const progress: Progress = { excludedUpstreamIds: new Set([brokenUpstream]), attempts: 1, sentAttempts: 0, isContinuation: true };
    const result = await openResponse(executor, resumed, progress, rangeResume.createResumeHeaders(resumable, offset));
    if (result.kind === "error") {
        return undefined;
    }
    if (!rangeResume.isContinuationOf(resumable, offset, result.opened.response)) {
        result.opened.response.on("error", () => {});
        result.opened.response.destroy();
        result.opened.slot.release("cancelled");
        return undefined;
    }
    return result.opened;
}
