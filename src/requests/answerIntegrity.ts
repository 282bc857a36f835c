/** Tells a whole answer from one that was cut, where Node's parser alone does not. */

import type * as http from "node:http";

const broken = new WeakSet<http.IncomingMessage>();

/**
 * Watches the connection of an answer for a failure.
 * @param sent - The request.
 * @param response - Its answer.
 * @remarks An answer without a length ends with its connection, and Node's parser takes a reset for that end.
 */
export function watchAnswer(sent: http.ClientRequest, response: http.IncomingMessage): void {
    sent.on("error", () => {
        if (!response.complete) {
            broken.add(response);
        }
    });
}

/**
 * Returns whether an answer has come whole.
 * @param response - The answer, after its end.
 */
export function isWhole(response: http.IncomingMessage): boolean {
    return response.complete && !broken.has(response);
}
