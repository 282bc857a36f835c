/** Runs a request that may be repeated: tries again elsewhere within a budget and delivers exactly one answer. */

import type * as http from "node:http";
import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import * as errors from "../kernel/errors.js";
import * as pool from "../pool/index.js";
import type * as executorContext from "./executorContext.js";
import * as headers from "./headers.js";
import * as rangeResume from "./rangeResume.js";
import * as relayBody from "./relayBody.js";
import type * as types from "./types.js";

/** Bytes of an answer that are held back, so that one which breaks before can be fetched again. */
const heldBytes = 1_048_576;
/** The most continuations of one body. */
const maximumContinuations = 8;

/** How a request ended, for logs and metrics. */
export interface ExecutionSummary {
    readonly outcome: errors.Outcome;
    readonly status: number;
    readonly attempts: number;
    readonly error?: errors.FleetError;
    readonly body: relayBody.RelayResult["kind"] | "none";
}

interface Opened {
    readonly slot: admission.Slot;
    readonly response: http.IncomingMessage;
}

interface Progress {
    readonly excluded: Set<string>;
    attempts: number;
    sent: number;
}

/** A result of trying to get an answer's header. */
type OpenResult =
    | { readonly kind: "opened"; readonly opened: Opened; }
    | { readonly kind: "error"; readonly error: errors.FleetError; };

/**
 * Runs a request and writes its answer to the caller.
 * @param shared - The services that attempts use.
 * @param request - The request.
 * @param caller - Where the answer goes.
 */
export async function runWithRetries(shared: executorContext.ExecutorContext, request: types.RoutedRequest, caller: http.ServerResponse): Promise<ExecutionSummary> {
    const progress: Progress = { excluded: new Set(), attempts: 0, sent: 0 };
    shared.getBudget(request.route.service).addRequest();
    while (true) {
        const result = await openAnswer(shared, request, progress, []);
        const summary = result.kind === "error" ? createErrorSummary(result.error, progress) : await writeAnswer(shared, request, progress, result.opened, caller);
        if (summary !== "again") {
            return summary;
        }
    }
}

function createErrorSummary(error: errors.FleetError, progress: Progress): ExecutionSummary {
    const { outcome, status } = errors.getAnswer(error);
    return { outcome, status, attempts: progress.attempts, error, body: "none" };
}

/** Tries upstreams until one answers; the answer's body is still to come. */
async function openAnswer(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, extraHeaders: readonly string[]): Promise<OpenResult> {
    const service = request.route.service;
    while (true) {
        const canRepeat = progress.sent + 1 < request.route.maximumAttempts && shared.getBudget(service).getRemaining() >= 1;
        const slot = await shared.acquireSlot(request, progress.excluded, { isRetry: progress.attempts > 0, canRepeat });
        if (slot.isErr()) {
            return { kind: "error", error: createSlotError(slot.error, progress.sent) };
        }
        progress.attempts += 1;
        const target = slot.value.upstream;
        const definition = shared.getServiceDefinition(service);
        if (definition === undefined) {
            slot.value.release("cancelled");
            return { kind: "error", error: errors.createError("routeNotFound", `the service ${service} is no longer configured`) };
        }
        const result = await shared.sendAttempt({
            context: shared.context,
            slot: slot.value,
            service: definition,
            request,
            agent: shared.agent,
            signal: request.signal,
            extraHeaders,
            onLeaving: reason => shared.marks.addMark(target, reason),
            getPatience: ageMs => getPatience(shared, request, progress, target, ageMs),
        });
        const next = await match(result)
            .with({ kind: "answered" }, ({ response }): OpenResult | "again" => receiveAnswer(shared, request, progress, slot.value, response))
            .with({ kind: "shed" }, { kind: "unreachable" }, unsent => retryUnsent(shared, request, progress, slot.value, unsent))
            .with({ kind: "lost" }, ({ reason }) => retrySent(shared, request, progress, slot.value, "failed", errors.createError("answerLost", `the answer was lost: ${reason}`)))
            .with({ kind: "timedOut" }, () => retryOverdue(shared, request, progress, slot.value))
            .with({ kind: "cancelled" }, (): OpenResult => {
                slot.value.release("cancelled");
                return { kind: "error", error: errors.createError("callerGone") };
            })
            .exhaustive();
        if (next !== "again") {
            return next;
        }
    }
}

/** Returns how long to wait on: an overdue attempt is given up only where a retry may replace it. */
function getPatience(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, target: pool.Upstream, ageMs: number): number | "over" {
    const remainingMs = request.deadlineAt - shared.context.clock.getNow();
    if (remainingMs <= 0) {
        return "over";
    }
    // The same age as detection's: given up earlier, the attempt would be no evidence.
    const patienceMs = pool.computeOverdueMs({
        medianMs: shared.latencies.getQuantile(request.route.service, request.route.name, 0.5),
        minimumStallMs: shared.getServiceDefinition(request.route.service)?.minimumStallMs ?? 0,
        routability: target.routability.kind,
    });
    if (ageMs < patienceMs) {
        return Math.min(remainingMs, patienceMs - ageMs);
    }
    const mayRetry = progress.sent + 1 < request.route.maximumAttempts && remainingMs > patienceMs && shared.getBudget(request.route.service).acquireRetry();
    return mayRetry ? "over" : remainingMs;
}

function receiveAnswer(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot, response: http.IncomingMessage): OpenResult | "again" {
    const status = response.statusCode ?? 0;
    progress.sent += 1;
    if (status < 500) {
        return { kind: "opened", opened: { slot, response } };
    }
    if (!isRetryAcquired(shared, request, progress)) {
        return { kind: "opened", opened: { slot, response } };
    }
    response.on("error", () => {});
    response.destroy();
    progress.excluded.add(slot.upstream.getId());
    slot.release("failed");
    return "again";
}

/** Takes a repeat from the budget where the request may be sent once more. */
function isRetryAcquired(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress): boolean {
    return progress.sent < request.route.maximumAttempts && !request.signal.aborted && shared.getBudget(request.route.service).acquireRetry();
}

/** The upstream has not run the request; where it was troubled with it, the next attempt is a repeat. */
async function retryUnsent(
    shared: executorContext.ExecutorContext,
    request: types.RoutedRequest,
    progress: Progress,
    slot: admission.Slot,
    { kind, reason }: { readonly kind: "shed" | "unreachable"; readonly reason: string; },
): Promise<OpenResult | "again"> {
    slot.release(kind);
    progress.excluded.add(slot.upstream.getId());
    if (await shared.waitForRetry(request, kind)) {
        return "again";
    }
    const message = `the upstream did not take the request: ${reason}`;
    return { kind: "error", error: progress.sent === 0 ? errors.createError(kind === "shed" ? "overloaded" : "upstreamUnavailable", message) : errors.createError("answerLost", `an attempt was sent and lost; then ${message}`) };
}

function retrySent(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot, outcome: pool.AttemptOutcome, error: errors.FleetError): OpenResult | "again" {
    slot.release(outcome);
    progress.sent += 1;
    progress.excluded.add(slot.upstream.getId());
    return isRetryAcquired(shared, request, progress) ? "again" : { kind: "error", error };
}

/** The retry of an overdue attempt was taken from the budget when it was given up. */
function retryOverdue(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, slot: admission.Slot): OpenResult | "again" {
    slot.release("timedOut");
    progress.sent += 1;
    progress.excluded.add(slot.upstream.getId());
    const isOver = request.deadlineAt <= shared.context.clock.getNow();
    return isOver ? { kind: "error", error: errors.createError("deadlineAfterSend") } : "again";
}

/** Without a slot the request was not sent, unless an earlier attempt was. */
function createSlotError(error: errors.FleetError, sent: number): errors.FleetError {
    if (error.kind === "callerGone" || sent === 0) {
        return error;
    }
    return errors.createError("deadlineAfterSend", `an attempt was sent; then: ${error.message}`);
}

async function writeAnswer(shared: executorContext.ExecutorContext, request: types.RoutedRequest, progress: Progress, opened: Opened, caller: http.ServerResponse): Promise<ExecutionSummary | "again"> {
    const { response } = opened;
    const status = response.statusCode ?? 502;
    const outcome: errors.Outcome = status < 500 ? "executed" : "unknown";
    const resumable = rangeResume.getResumableBody(request.method, response);
    let current = opened.slot;
    let continuations = 0;
    const result = await relayBody.relayBody({
        context: shared.context,
        response,
        caller,
        writeHeader: () => {
            caller.writeHead(status, [
                ...headers.removeFleetHeaders(headers.listEndToEndHeaders(response.rawHeaders)),
                ...shared.createAnswerHeaders(outcome, progress.attempts),
            ]);
        },
        heldBytes: resumable === undefined ? heldBytes : 0,
        isRepeatLeft: () => progress.sent < request.route.maximumAttempts && shared.getBudget(request.route.service).getRemaining() >= 1,
        getRemainingMs: () => request.deadlineAt - shared.context.clock.getNow(),
        resumable,
        openRest: async (resumable, offset) => {
            current.release("failed");
            continuations += 1;
            if (continuations > maximumContinuations) {
                return undefined;
            }
            const rest = await openRest(shared, request, resumable, offset, current.upstream.getId());
            if (rest === undefined) {
                return undefined;
            }
            current = rest.slot;
            progress.attempts += 1;
            shared.context.logger.writeInfo("body-continued", "a broken body goes on from another upstream", { service: request.route.service, upstream: current.upstream.getId(), offset });
            return rest.response;
        },
    });
    if (result.kind === "unstarted") {
        const isOver = request.deadlineAt <= shared.context.clock.getNow();
        const error = isOver ? errors.createError("deadlineAfterSend") : errors.createError("answerLost", "the answer broke off");
        current.release(isOver ? "timedOut" : "failed");
        progress.excluded.add(current.upstream.getId());
        return !isOver && isRetryAcquired(shared, request, progress) ? "again" : createErrorSummary(error, progress);
    }
    current.release(getFinalOutcome(result.kind, status));
    if (result.kind !== "whole") {
        request.trail.push(`[${current.upstream.getId()} (its body ended as ${result.kind} after ${result.bytes} bytes)]`);
    }
    return { outcome, status, attempts: progress.attempts, body: result.kind };
}

function getFinalOutcome(kind: relayBody.RelayResult["kind"], status: number): pool.AttemptOutcome {
    return match(kind)
        .with("whole", (): pool.AttemptOutcome => status < 500 ? "answered" : "failed")
        .with("broken", "unstarted", (): pool.AttemptOutcome => "failed")
        .with("callerGone", (): pool.AttemptOutcome => "cancelled")
        .exhaustive();
}

/** Opens the rest of a body elsewhere; an answer that is not exactly the rest is given up. */
async function openRest(shared: executorContext.ExecutorContext, request: types.RoutedRequest, resumable: rangeResume.ResumableBody, offset: number, broken: string): Promise<Opened | undefined> {
    const headersWithoutRange = headers.listEndToEndHeaders(request.rawHeaders, ["range", "if-range", "if-none-match", "if-modified-since", "if-match", "if-unmodified-since"]);
    const resumed = { ...request, rawHeaders: headersWithoutRange, deadlineAt: Math.max(request.deadlineAt, shared.context.clock.getNow() + request.route.deadlineMs) };
    const progress: Progress = { excluded: new Set([broken]), attempts: 1, sent: 0 };
    const result = await openAnswer(shared, resumed, progress, rangeResume.createResumeHeaders(resumable, offset));
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
