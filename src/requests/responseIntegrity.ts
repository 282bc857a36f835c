/** Tells a whole answer from one that was cut, where Node's parser alone does not. */

import type * as http from "node:http";
import type * as net from "node:net";

const brokenResponses = new WeakSet<http.IncomingMessage>();

/** The part of Node's socket that tells whether the kernel still knows the peer. */
interface SocketWithHandle {
    readonly _handle?: Readonly<Record<string, ((out: object) => number) | undefined>>;
}

/**
 * Watches the connection of an answer that has neither a length nor chunks, and so ends with its connection.
 * @param sent - The request.
 * @param response - Its answer.
 * @remarks Node's parser takes a reset for the end of such an answer. Where the reset comes together with the last
 * bytes, libuv even reports an orderly end, so the kernel is asked after each chunk whether it still has the connection.
 */
export function watchResponse(sent: http.ClientRequest, response: http.IncomingMessage): void {
    const isMeasured = response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined;
    if (isMeasured) {
        return;
    }
    sent.on("error", () => {
        if (!response.complete) {
            brokenResponses.add(response);
        }
    });
    const checkReset = () => {
        if (isConnectionReset(response.socket)) {
            brokenResponses.add(response);
        }
    };
    checkReset();
    response.socket.on("data", checkReset);
}

/**
 * Returns whether an answer has come whole.
 * @param response - The answer, after its end.
 */
export function isComplete(response: http.IncomingMessage): boolean {
    return response.complete && !brokenResponses.has(response);
}

function isConnectionReset(socket: net.Socket): boolean {
    const status = (socket as unknown as SocketWithHandle)._handle?.getpeername?.({});
    return status !== undefined && status !== 0;
}
