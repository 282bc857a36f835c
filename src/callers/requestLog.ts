/** Writes log lines for finished and rejected requests, with the data that explains their outcome. */

import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import type * as requests from "../requests/index.js";

/** One of this many successful requests is logged. */
const successSamplingInterval = 16;

/** The data that is logged about a finished request. */
export interface CompletedRequest {
    readonly requestId: string;
    readonly route: string;
    readonly service: string;
    readonly rank: string;
    /** Undefined if the request has none. */
    readonly workspace: string | undefined;
    readonly status: number;
    readonly outcome: errors.Outcome;
    readonly attempts: number;
    /** The upstream and the result of each attempt, as text. */
    readonly trail: readonly string[];
    readonly latencyMs: number;
    readonly deadlineMs: number;
    /** What determines `deadlineMs`. */
    readonly timeLimit: requests.RoutedRequest["timeLimit"];
    readonly configurationVersion: number;
    readonly error: errors.FleetError | undefined;
    /** How streaming the response's body to the caller ended; `none` if the body was not streamed. */
    readonly body: requests.ExecutionSummary["body"];
}

/** Logs every failed request and a sample of the successful ones. */
export class RequestLog {
    private successCount = 0;

    constructor(private readonly context: context.Context) {}

    /**
     * Logs a request that reached admission.
     * @param request - The finished request.
     */
    writeCompletedRequest(request: CompletedRequest): void {
        const { logger } = this.context;
        const cutReason = getCutReason(request);
        const isSuccessful = request.error === undefined && request.status < 500 && cutReason === undefined;
        if (isSuccessful) {
            this.successCount += 1;
            if (this.successCount % successSamplingInterval !== 0) {
                return;
            }
        }
        const { error, trail, latencyMs, deadlineMs, ...rest } = request;
        const values = { ...rest, trail: trail.join(" "), latencyMs: Math.round(latencyMs), deadlineMs: Math.round(deadlineMs), kind: error?.kind, reason: error?.message };
        if (isSuccessful) {
            logger.writeInfo("request-answered", `the request was answered ${request.status}`, values);
            return;
        }
        if (cutReason !== undefined) {
            logger.writeWarning("answer-cut", `${cutReason}; the response to the caller is incomplete`, values);
            return;
        }
        logger.writeWarning(error === undefined ? "request-failed-upstream" : "request-refused", `the request was answered ${request.status}`, values);
    }

    /**
     * Logs a request that was rejected before admission.
     * @param requestId - The request's identifier; empty if it has none.
     * @param error - The reason for the rejection.
     * @param configurationVersion - The version of the active configuration.
     */
    writeRejectedRequest(requestId: string, error: errors.FleetError, configurationVersion: number): void {
        this.context.logger.writeWarning("request-refused", "the request was rejected before admission", { requestId, kind: error.kind, reason: error.message, configurationVersion });
    }
}

/** Returns why a response was not relayed completely; undefined if it was. */
function getCutReason({ body, timeLimit }: Pick<CompletedRequest, "body" | "timeLimit">): string | undefined {
    return match(body)
        .with("whole", "none", () => undefined)
        .with("callerGone", () => "the caller disconnected")
        .with("tooLarge", () => "the upstream's answer exceeded unsizedBodyBytes")
        .with("deadline", () => timeLimit === "routeTimeout" ? "the route's time-out passed" : "the deadline passed")
        .with("broken", "unstarted", () => "the upstream's answer broke off")
        .exhaustive();
}
