/** One log line for a request that was answered, with what decided its end. */

import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import type * as requests from "../requests/index.js";

/** One of so many requests that ended well is logged. */
const successSample = 16;

/** How a request ended. */
export interface CompletedRequest {
    readonly requestId: string;
    readonly route: string;
    readonly service: string;
    readonly rank: string;
    readonly status: number;
    readonly outcome: errors.Outcome;
    readonly attempts: number;
    /** Where each attempt went and how it ended. */
    readonly trail: readonly string[];
    readonly latencyMs: number;
    readonly deadlineMs: number;
    readonly configurationVersion: number;
    readonly error: errors.FleetError | undefined;
    /** How the answer's body ended; `none` where it was not passed on as it came. */
    readonly body: requests.ExecutionSummary["body"];
}

/** Writes the lines; those that ended well are sampled. */
export class RequestLog {
    private successes = 0;

    constructor(private readonly shared: context.Context) {}

    /**
     * Writes the line of a request.
     * @param end - How it ended.
     */
    writeCompletedRequest(end: CompletedRequest): void {
        const { logger } = this.shared;
        const isBodyGood = end.body === "whole" || end.body === "none";
        const isGood = end.error === undefined && end.status < 500 && isBodyGood;
        if (isGood) {
            this.successes += 1;
            if (this.successes % successSample !== 0) {
                return;
            }
        }
        const { error, trail, latencyMs, deadlineMs, ...rest } = end;
        const values = { ...rest, trail: trail.join(" "), latencyMs: Math.round(latencyMs), deadlineMs: Math.round(deadlineMs), kind: error?.kind, reason: error?.message };
        if (isGood) {
            logger.writeInfo("request-answered", `the request was answered ${end.status}`, values);
            return;
        }
        if (!isBodyGood) {
            logger.writeWarning("answer-cut", end.body === "callerGone" ? "the caller left before the answer was whole" : "the upstream's answer broke off, and so did the caller's", values);
            return;
        }
        logger.writeWarning(error === undefined ? "request-failed-upstream" : "request-refused", `the request was answered ${end.status}`, values);
    }

    /**
     * Writes the line of a request that was refused before it had a route.
     * @param requestId - Its identifier.
     * @param error - The refusal.
     * @param configurationVersion - The version in force.
     */
    writeRefusedRequest(requestId: string, error: errors.FleetError, configurationVersion: number): void {
        this.shared.logger.writeWarning("request-refused", "the request was refused before it had a route", { requestId, kind: error.kind, reason: error.message, configurationVersion });
    }
}
