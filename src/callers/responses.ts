/** Writes HTTP responses to callers. */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as orders from "../orders/index.js";
import * as requests from "../requests/index.js";

const { fleetHeaders } = requests;
/** The Retry-After delay of errors that give none, in milliseconds. */
const defaultRetryAfterMs = 200;

/**
 * Writes an error as a JSON response. Does nothing if the response has already started or its connection is closed.
 * @param response - The response to the caller.
 * @param error - The error; its kind determines the status and the headers.
 * @param context - Supplies the instance's identifier.
 * @param attempts - The number of attempts made at upstreams.
 */
export function writeErrorResponse(response: http.ServerResponse, error: errors.FleetError, context: context.Context, attempts = 0): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const errorDefinition = errors.getErrorDefinition(error);
    const hasRetryAfterStatus = errorDefinition.status === 503 || errorDefinition.status === 429;
    const retryAfter = hasRetryAfterStatus && errorDefinition.retry !== "no" ? { "retry-after": ((error.retryAfterMs ?? defaultRetryAfterMs) / 1_000).toString() } : {};
    const body = `${JSON.stringify({ error: error.kind, message: error.message, outcome: errorDefinition.outcome, retry: errorDefinition.retry })}\n`;
    response.writeHead(errorDefinition.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...retryAfter,
        ...(errorDefinition.status === 401 ? { "www-authenticate": "Bearer" } : {}),
        [fleetHeaders.outcome]: errorDefinition.outcome,
        [fleetHeaders.error]: error.kind,
        [fleetHeaders.retry]: errorDefinition.retry,
        [fleetHeaders.instance]: context.identity.instanceId,
        [fleetHeaders.attempts]: attempts,
    });
    response.end(body);
}

/**
 * Writes a JSON response that caches must not store.
 * @param response - The response to the caller.
 * @param value - A value that can be represented as JSON.
 * @param status - The HTTP status.
 */
export function writeJsonResponse(response: http.ServerResponse, value: unknown, status = 200): void {
    const body = `${JSON.stringify(value)}\n`;
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body), "cache-control": "no-store" });
    response.end(body);
}

/**
 * Writes the result of an order: the upstream's buffered response or an error.
 * @param response - The response to the caller.
 * @param result - The order's result.
 * @param context - Supplies the instance's identifier.
 */
export function writeOrderResult(response: http.ServerResponse, result: orders.OrderResult, context: context.Context): void {
    if (result.kind === "error") {
        writeErrorResponse(response, result.error, context, result.attempts);
        return;
    }
    if (response.headersSent || response.destroyed) {
        return;
    }
    const { response: upstreamResponse } = result;
    response.writeHead(upstreamResponse.status, [
        ...requests.removeFleetHeaders(upstreamResponse.rawHeaders),
        "Content-Length",
        String(upstreamResponse.body.length),
        fleetHeaders.outcome,
        result.outcome,
        fleetHeaders.instance,
        context.identity.instanceId,
        fleetHeaders.attempts,
        String(result.attempts),
    ]);
    response.end(upstreamResponse.body);
}

/**
 * Writes an error as the last response of a connection. If a response has already started, only closes the connection.
 * @param response - The response to the caller.
 * @param error - The error.
 * @param context - Supplies the instance's identifier.
 */
export function writeFinalError(response: http.ServerResponse, error: errors.FleetError, context: context.Context): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    response.setHeader("connection", "close");
    writeErrorResponse(response, error, context);
}

/**
 * Waits until a response was passed to the operating system completely, or its connection closed.
 * @param socket - The caller's connection.
 * @param response - The response to the caller.
 */
export function waitUntilWritten(socket: net.Socket, response: http.ServerResponse): Promise<void> {
    if (response.closed || socket.destroyed) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const finish = () => {
            response.off("close", finish);
            socket.off("close", finish);
            resolve();
        };
        response.once("close", finish);
        socket.once("close", finish);
    });
}

/**
 * Creates a signal that aborts when the caller's connection closes before the response is complete.
 * @param socket - The caller's connection.
 * @param response - The response to the caller.
 */
export function createDisconnectSignal(socket: net.Socket, response: http.ServerResponse): AbortSignal {
    const controller = new AbortController();
    // A response that waits for an earlier one of its connection has no close event of its own.
    void waitUntilWritten(socket, response).then(() => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
