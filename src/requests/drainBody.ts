/** Reads the response body of a rejected attempt, which nobody needs. */

import type * as http from "node:http";
import type * as loop from "../kernel/loop.js";

/** A body beyond these limits costs more than a new connection. */
const maximumBytes = 65_536;
const maximumMs = 1_000;

/** Reads a body to its end, so that its connection can be reused. If the body is long, slow or endless, closes the connection. */
export function drainBody(response: http.IncomingMessage, timers: loop.Loop): void {
    let bytes = 0;
    const cancel = timers.scheduleOnce(maximumMs, () => response.destroy());
    response.on("error", () => {});
    response.once("close", cancel);
    response.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maximumBytes) {
            response.destroy();
        }
    });
}
