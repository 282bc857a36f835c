/** Writes answers to callers. */

import type * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as orders from "../orders/index.js";
import * as requests from "../requests/index.js";

const { fleetHeaders } = requests;
/** When a refused request may be repeated where nothing better is known, in milliseconds. */
const retryAfterMs = 200;

/**
 * Writes an error as JSON; nothing where an answer has begun.
 * @param response - Where to write.
 * @param error - The error.
 * @param shared - The process's objects.
 * @param attempts - How many attempts were made.
 */
export function writeErrorResponse(response: http.ServerResponse, error: errors.FleetError, shared: context.Context, attempts = 0): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const answer = errors.getErrorDefinition(error);
    const isPromise = answer.status === 503 || answer.status === 429;
    const retryAfter = isPromise && answer.retry !== "no" ? { "retry-after": ((error.retryAfterMs ?? retryAfterMs) / 1_000).toString() } : {};
    const body = `${JSON.stringify({ error: error.kind, message: error.message, outcome: answer.outcome, retry: answer.retry })}\n`;
    response.writeHead(answer.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...retryAfter,
        [fleetHeaders.outcome]: answer.outcome,
        [fleetHeaders.error]: error.kind,
        [fleetHeaders.retry]: answer.retry,
        [fleetHeaders.instance]: shared.identity.instanceId,
        [fleetHeaders.attempts]: attempts,
    });
    response.end(body);
}

/**
 * Writes JSON.
 * @param response - Where to write.
 * @param value - Plain data.
 * @param status - The HTTP status.
 */
export function writeJsonResponse(response: http.ServerResponse, value: unknown, status = 200): void {
    const body = `${JSON.stringify(value)}\n`;
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body), "cache-control": "no-store" });
    response.end(body);
}

/**
 * Writes an order's outcome.
 * @param response - Where to write.
 * @param kept - The outcome.
 * @param shared - The process's objects.
 */
export function writeOrderResult(response: http.ServerResponse, kept: orders.OrderResult, shared: context.Context): void {
    if (kept.kind === "error") {
        writeErrorResponse(response, kept.error, shared, kept.attempts);
        return;
    }
    if (response.headersSent || response.destroyed) {
        return;
    }
    const { response: answer } = kept;
    response.writeHead(answer.status, [
        ...requests.removeFleetHeaders(answer.rawHeaders),
        "Content-Length",
        String(answer.body.length),
        fleetHeaders.outcome,
        kept.outcome,
        fleetHeaders.instance,
        shared.identity.instanceId,
        fleetHeaders.attempts,
        String(kept.attempts),
    ]);
    response.end(answer.body);
}
