/** Runs a non-repeatable request at most once: it is sent again only if the previous attempt provably did not run. */

import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";
import type * as executorContext from "./executorContext.js";
import * as headers from "./headers.js";
import * as readResponse from "./readResponse.js";
import type * as types from "./types.js";

/** How long past its deadline an order is still awaited, so that a later request with the same order key can get the outcome. */
const outcomeGraceMs = 30_000;

/** How long the body of a response is awaited that begins at or past the deadline. */
const bodyGraceMs = 1_000;

/** The final result of a request; `attempts` counts the attempts that got a slot. */
export type AtMostOnceResult =
    | { readonly kind: "answer"; readonly outcome: errors.Outcome; readonly response: types.BufferedResponse; readonly attempts: number; }
    | { readonly kind: "error"; readonly error: errors.FleetError; readonly attempts: number; };

type StepResult = AtMostOnceResult | "retry";

/**
 * Runs a request at most once.
 * @param executor - Provides slots, connections and the retry budget.
 * @param request - The request; its signal has no effect once the request is sent.
 * @remarks The request is retried only if no connection was established, or if the upstream's response states that it
 * did not run the request.
 */
export async function runAtMostOnce(executor: executorContext.ExecutorContext, request: types.RoutedRequest): Promise<AtMostOnceResult> {
    const excludedUpstreamIds = new Set<string>();
    executor.getRetryBudget(request.route.service).recordRequest();
    for (let attempts = 1;; attempts += 1) {
        const slot = await executor.acquireSlot(request, excludedUpstreamIds, { isRetry: attempts > 1, canRetry: false, mayHaveRun: false });
        if (slot.isErr()) {
            return { kind: "error", error: slot.error, attempts: attempts - 1 };
        }
        const step = await runAttempt(executor, request, slot.value, attempts);
        if (step !== "retry") {
            return step;
        }
        excludedUpstreamIds.add(slot.value.upstream.getId());
    }
}

async function runAttempt(executor: executorContext.ExecutorContext, request: types.RoutedRequest, slot: admission.Slot, attempts: number): Promise<StepResult> {
    const { clock } = executor.context;
    const definition = executor.getServiceDefinition(request.route.service);
    // The process may have been suspended while the request was queued, so the deadline is checked again right before sending.
    if (definition === undefined || clock.getNow() >= request.deadlineAt) {
        slot.release("cancelled");
        return { kind: "error", error: errors.createError("deadlineBeforeSend"), attempts };
    }
    const waitUntil = request.deadlineAt + (request.isOutcomeKept ? outcomeGraceMs : 0);
    const result = await executor.sendAttempt({
        context: executor.context,
        slot,
        service: definition,
        request,
        agent: undefined,
        signal: new AbortController().signal,
        getWaitMs: () => {
            const remainingMs = waitUntil - clock.getNow();
            return remainingMs <= 0 ? "timedOut" : remainingMs;
        },
    });
    const release = (outcome: pool.AttemptOutcome) => slot.release(outcome);
    return match(result)
        .with({ kind: "shed" }, async ({ reason }): Promise<StepResult> => {
            release("shed");
            return await executor.waitForRetry(request, "shed", clock.getNow() - slot.attempt.startedAt) ? "retry" : { kind: "error", error: executor.createShedError(request, `the upstream rejected the request: ${reason}`), attempts };
        })
        .with({ kind: "unreachable" }, async ({ reason }): Promise<StepResult> => {
            release("unreachable");
            return await executor.waitForRetry(request, "unreachable", clock.getNow() - slot.attempt.startedAt)
                ? "retry"
                : { kind: "error", error: errors.createError("upstreamUnavailable", `the upstream could not be reached: ${reason}`), attempts };
        })
        .with({ kind: "lost" }, ({ reason }): StepResult => {
            release("failed");
            return { kind: "error", error: errors.createError("answerLost", `the response was lost: ${reason}`), attempts };
        })
        .with({ kind: "timedOut" }, { kind: "cancelled" }, (): StepResult => {
            release("timedOut");
            return { kind: "error", error: errors.createError("deadlineAfterSend"), attempts };
        })
        .with({ kind: "answered" }, async ({ response }): Promise<StepResult> => {
            const readUntil = Math.min(waitUntil, Math.max(request.deadlineAt, clock.getNow() + bodyGraceMs));
            const read = await readResponse.readResponse({ context: executor.context, response, maximumBytes: executor.context.settings.requestBodyBytes, reservation: request.reservation, readUntil });
            if (read.isErr()) {
                release(read.error === "late" ? "timedOut" : "failed");
                return { kind: "error", error: createReadError(read.error, response.statusCode ?? 0), attempts };
            }
            const isServerError = read.value.status >= 500;
            release(isServerError ? "failed" : "answered");
            const sanitized = { ...read.value, rawHeaders: headers.removeFleetHeaders(read.value.rawHeaders) };
            return { kind: "answer", outcome: isServerError ? "unknown" : "executed", response: sanitized, attempts };
        })
        .exhaustive();
}

function createReadError(failure: readResponse.ReadFailure, status: number): errors.FleetError {
    // A server error does not say whether the order was executed, whatever the size of its body.
    return match(failure === "tooLarge" && status >= 500 ? "broken" : failure)
        .with("broken", () => errors.createError("answerLost", "the upstream responded, but the response body broke off"))
        .with("late", () => errors.createError("deadlineAfterSend", "the upstream responded, but the response body did not end before the deadline"))
        .with("tooLarge", () => errors.createError("orderAnswerNotKept", "the upstream responded, but the response body is larger than the instance may buffer"))
        .exhaustive();
}
