/** Runs a request that may not be repeated: it is sent once, or again only after proof that it was not run. */

import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";
import type * as executorContext from "./executorContext.js";
import * as headers from "./headers.js";
import * as readResponse from "./readResponse.js";
import type * as types from "./types.js";

/** How long after its deadline a request with an order key is still waited for, so that a repeat can be told its outcome, in milliseconds. */
const keptGraceMs = 30_000;

/** The final result of a request that runs at most once. */
export type AtMostOnceResult =
    | { readonly kind: "answer"; readonly outcome: errors.Outcome; readonly response: types.BufferedResponse; readonly attempts: number; }
    | { readonly kind: "error"; readonly error: errors.FleetError; readonly attempts: number; };

type StepResult = AtMostOnceResult | "again";

/**
 * Runs a request at most once.
 * @param shared - The services that attempts use.
 * @param request - The request; its signal is not heeded once it is sent.
 * @remarks A second attempt follows only where no connection was made or the upstream's shed answer says that it did
 * not run the request.
 */
export async function runAtMostOnce(shared: executorContext.ExecutorContext, request: types.RoutedRequest): Promise<AtMostOnceResult> {
    const excluded = new Set<string>();
    shared.getBudget(request.route.service).addRequest();
    for (let attempts = 1;; attempts += 1) {
        const slot = await shared.acquireSlot(request, excluded, { isRetry: attempts > 1, canRepeat: false });
        if (slot.isErr()) {
            return { kind: "error", error: slot.error, attempts: attempts - 1 };
        }
        const step = await sendOnce(shared, request, slot.value, attempts);
        if (step !== "again") {
            return step;
        }
        excluded.add(slot.value.upstream.getId());
    }
}

async function sendOnce(shared: executorContext.ExecutorContext, request: types.RoutedRequest, slot: admission.Slot, attempts: number): Promise<StepResult> {
    const { clock } = shared.context;
    const definition = shared.getServiceDefinition(request.route.service);
    // The process may have been stopped while the request waited, so the deadline is looked at again right before sending.
    if (definition === undefined || clock.getNow() >= request.deadlineAt) {
        slot.release("cancelled");
        return { kind: "error", error: errors.createError("deadlineBeforeSend"), attempts };
    }
    const result = await shared.sendAttempt({
        context: shared.context,
        slot,
        service: definition,
        request,
        agent: undefined,
        signal: new AbortController().signal,
        onLeaving: reason => shared.marks.addMark(slot.upstream, reason),
        getPatience: () => {
            const remainingMs = request.deadlineAt + (request.isOutcomeKept ? keptGraceMs : 0) - clock.getNow();
            return remainingMs <= 0 ? "over" : remainingMs;
        },
    });
    const release = (outcome: pool.AttemptOutcome) => slot.release(outcome);
    return match(result)
        .with({ kind: "shed" }, async ({ reason }): Promise<StepResult> => {
            release("shed");
            return await shared.waitForRetry(request, "shed") ? "again" : { kind: "error", error: errors.createError("overloaded", `the upstream refused the request: ${reason}`), attempts };
        })
        .with({ kind: "unreachable" }, async ({ reason }): Promise<StepResult> => {
            release("unreachable");
            return await shared.waitForRetry(request, "unreachable") ? "again" : { kind: "error", error: errors.createError("upstreamUnavailable", `the upstream could not be reached: ${reason}`), attempts };
        })
        .with({ kind: "lost" }, ({ reason }): StepResult => {
            release("failed");
            return { kind: "error", error: errors.createError("answerLost", `the answer was lost: ${reason}`), attempts };
        })
        .with({ kind: "timedOut" }, { kind: "cancelled" }, (): StepResult => {
            release("timedOut");
            return { kind: "error", error: errors.createError("deadlineAfterSend"), attempts };
        })
        .with({ kind: "answered" }, async ({ response }): Promise<StepResult> => {
            const read = await readResponse.readResponse({ context: shared.context, response, maximumBytes: shared.context.settings.requestBodyBytes });
            if (read.isErr()) {
                release("failed");
                return { kind: "error", error: createReadError(read.error), attempts };
            }
            const isServerError = read.value.status >= 500;
            release(isServerError ? "failed" : "answered");
            const answer = { ...read.value, rawHeaders: headers.removeFleetHeaders(read.value.rawHeaders) };
            return { kind: "answer", outcome: isServerError ? "unknown" : "executed", response: answer, attempts };
        })
        .exhaustive();
}

function createReadError(failure: readResponse.ReadFailure): errors.FleetError {
    return match(failure)
        .with("broken", () => errors.createError("answerLost", "the upstream answered, but its answer broke off"))
        .with("tooLarge", () => errors.createError("orderAnswerNotKept", "the upstream answered, but its answer is larger than an instance holds"))
        .exhaustive();
}
