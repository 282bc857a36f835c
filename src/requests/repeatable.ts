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

/** The most attempts that may have run, for one request. */
const maximumSent = 3;
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
export async function runRepeatable(shared: executorContext.ExecutorContext, request: types.FleetRequest, caller: http.ServerResponse): Promise<ExecutionSummary> {
    const progress: Progress = { excluded: new Set(), attempts: 0, sent: 0 };
    shared.getBudget(request.route.service).addRequest();
    const result = await openAnswer(shared, request, progress, []);
    if (result.kind === "error") {
        return { outcome: errors.getAnswer(result.error).outcome, status: errors.getAnswer(result.error).status, attempts: progress.attempts, error: result.error, body: "none" };
    }
    return writeAnswer(shared, request, progress, result.opened, caller);
}

/** Tries upstreams until one answers; the answer's body is still to come. */
async function openAnswer(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, extraHeaders: readonly string[]): Promise<OpenResult> {
    const service = request.route.service;
    while (true) {
        const slot = await shared.acquireSlot(request, progress.excluded, progress.attempts > 0);
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
            onDraining: () => shared.marks.addMark(target),
            getPatience: ageMs => getPatience(shared, request, progress, target, ageMs),
        });
        const next = match(result)
            .with({ kind: "answered" }, ({ response }): OpenResult | "again" => receiveAnswer(shared, request, progress, slot.value, response))
            .with({ kind: "shed" }, () => retryUnsent(progress, slot.value, "shed"))
            .with({ kind: "unreachable" }, () => retryUnsent(progress, slot.value, "unreachable"))
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
function getPatience(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, target: pool.Upstream, ageMs: number): number | "over" {
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
    const mayRetry = progress.sent + 1 < maximumSent && remainingMs > patienceMs && shared.getBudget(request.route.service).acquireRetry();
    return mayRetry ? "over" : remainingMs;
}

function receiveAnswer(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, slot: admission.Slot, response: http.IncomingMessage): OpenResult | "again" {
    const status = response.statusCode ?? 0;
    progress.sent += 1;
    if (status < 500) {
        return { kind: "opened", opened: { slot, response } };
    }
    const mayRetry = progress.sent < maximumSent && !request.signal.aborted && shared.getBudget(request.route.service).acquireRetry();
    if (!mayRetry) {
        return { kind: "opened", opened: { slot, response } };
    }
    response.on("error", () => {});
    response.destroy();
    progress.excluded.add(slot.upstream.getId());
    slot.release("failed");
    return "again";
}

/** The upstream has not run the request, so another one may, without touching the budget. */
function retryUnsent(progress: Progress, slot: admission.Slot, outcome: pool.AttemptOutcome): "again" {
    slot.release(outcome);
    progress.excluded.add(slot.upstream.getId());
    return "again";
}

function retrySent(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, slot: admission.Slot, outcome: pool.AttemptOutcome, error: errors.FleetError): OpenResult | "again" {
    slot.release(outcome);
    progress.sent += 1;
    progress.excluded.add(slot.upstream.getId());
    const mayRetry = progress.sent < maximumSent && !request.signal.aborted && shared.getBudget(request.route.service).acquireRetry();
    return mayRetry ? "again" : { kind: "error", error };
}

/** The retry of an overdue attempt was taken from the budget when it was given up. */
function retryOverdue(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, slot: admission.Slot): OpenResult | "again" {
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

async function writeAnswer(shared: executorContext.ExecutorContext, request: types.FleetRequest, progress: Progress, opened: Opened, caller: http.ServerResponse): Promise<ExecutionSummary> {
    const { response } = opened;
    const status = response.statusCode ?? 502;
    const isBodyMeasured = hasMeasuredBody(request.method, response);
    if (!isBodyMeasured) {
        response.on("error", () => {});
        response.destroy();
        opened.slot.release("failed");
        const error = errors.createError("answerLost", "the upstream's answer has neither a length nor chunks, so its end cannot be told from a break");
        return { outcome: "unknown", status: 502, attempts: progress.attempts, error, body: "none" };
    }
    const outcome: errors.Outcome = status < 500 ? "executed" : "unknown";
    caller.writeHead(status, [
        ...headers.removeFleetHeaders(headers.listEndToEndHeaders(response.rawHeaders)),
        ...shared.createAnswerHeaders(outcome, progress.attempts),
    ]);
    let current = opened.slot;
    let continuations = 0;
    const result = await relayBody.relayBody({
        context: shared.context,
        response,
        caller,
        resumable: rangeResume.getResumableBody(request.method, response),
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
    current.release(getFinalOutcome(result.kind, status));
    return { outcome, status, attempts: progress.attempts, body: result.kind };
}

function getFinalOutcome(kind: relayBody.RelayResult["kind"], status: number): pool.AttemptOutcome {
    return match(kind)
        .with("whole", (): pool.AttemptOutcome => status < 500 ? "answered" : "failed")
        .with("broken", (): pool.AttemptOutcome => "failed")
        .with("callerGone", (): pool.AttemptOutcome => "cancelled")
        .exhaustive();
}

/** Opens the rest of a body elsewhere; an answer that is not exactly the rest is given up. */
async function openRest(shared: executorContext.ExecutorContext, request: types.FleetRequest, resumable: rangeResume.ResumableBody, offset: number, broken: string): Promise<Opened | undefined> {
    const headersWithoutRange = headers.listEndToEndHeaders(request.rawHeaders, ["range", "if-range", "if-none-match", "if-modified-since", "if-match", "if-unmodified-since"]);
    const resumed = { ...request, rawHeaders: headersWithoutRange, deadlineAt: Math.max(request.deadlineAt, shared.context.clock.getNow() + request.route.deadlineMs) };
    const progress: Progress = { excluded: new Set([broken]), attempts: 1, sent: 0 };
    const result = await openAnswer(shared, resumed, progress, rangeResume.createResumeHeaders(resumable, offset));
    if (result.kind === "error") {
        return undefined;
    }
    if (!rangeResume.isRestOf(resumable, offset, result.opened.response)) {
        result.opened.response.on("error", () => {});
        result.opened.response.destroy();
        result.opened.slot.release("cancelled");
        return undefined;
    }
    return result.opened;
}

/** Returns whether the end of the answer's body can be told from a break. */
function hasMeasuredBody(method: string, response: http.IncomingMessage): boolean {
    const status = response.statusCode ?? 0;
    if (method === "HEAD" || status === 204 || status === 304) {
        return true;
    }
    return response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] === "chunked";
}
