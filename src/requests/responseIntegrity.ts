/** Detects truncated responses that Node's HTTP parser reports as complete. */

import type * as http from "node:http";
import type * as net from "node:net";

const brokenResponses = new WeakSet<http.IncomingMessage>();

/** The internal socket handle of Node, which shows whether the kernel still has the connection. */
interface SocketWithHandle {
    readonly _handle?: Readonly<Record<string, ((out: object) => number) | undefined>>;
}

/**
 * Watches for a connection reset if a response has neither a Content-Length nor a Transfer-Encoding header. Such a
 * response ends when its connection closes.
 * @param sent - The request.
 * @param response - Its response.
 * @remarks Node's parser treats a reset as the end of such a response. If the reset arrives together with the last
 * bytes, libuv even reports a normal end, so `getpeername` is called after each chunk to check the connection.
 */
export function watchResponse(sent: http.ClientRequest, response: http.IncomingMessage): void {
    const isDelimited = response.headers["content-length"] !== undefined || response.headers["transfer-encoding"] !== undefined;
    if (isDelimited) {
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
 * Returns whether a response was received completely.
 * @param response - A response that has ended, and that was passed to `watchResponse` when its headers arrived.
 */
export function isComplete(response: http.IncomingMessage): boolean {
    return response.complete && !brokenResponses.has(response);
}

function isConnectionReset(socket: net.Socket): boolean {
    const status = (socket as unknown as SocketWithHandle)._handle?.getpeername?.({});
    return status !== undefined && status !== 0;
}
