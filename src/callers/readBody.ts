/** Reads request bodies within limits on size, time and memory. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";

/** Reads request bodies and limits the memory that they occupy together. */
export class BodyReader {
    private bufferedBytes = 0;

    constructor(private readonly context: context.Context) {}

    /** Returns the total size of the request bodies in memory, in bytes. */
    getBufferedBytes(): number {
        return this.bufferedBytes;
    }

    /**
     * Reads a complete body.
     * @param request - The request.
     * @param limitBytes - The size limit of the configuration; the limit of the settings also applies.
     * @returns The body, and a function that subtracts it from the memory in use. Call it when the body is no longer needed.
     */
    readBody(request: http.IncomingMessage, limitBytes = Infinity): Promise<Result<{ readonly body: Buffer; readonly release: () => void; }, errors.FleetError>> {
        const { settings, loop } = this.context;
        const maximumBytes = Math.min(limitBytes, settings.requestBodyBytes);
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        if (declaredBytes > maximumBytes) {
            return Promise.resolve(err(createBodyTooLargeError(maximumBytes)));
        }
        return new Promise(resolve => {
            const chunks: Buffer[] = [];
            let receivedBytes = 0;
            let cancelIdleTimer = () => {};
            const startIdleTimer = () => {
                cancelIdleTimer();
                cancelIdleTimer = loop.scheduleOnce(settings.bodyIdleTimeoutMs, () => fail(errors.createError("badRequest", `received no body data for ${settings.bodyIdleTimeoutMs} ms`)));
            };
            const stop = () => {
                cancelIdleTimer();
                request.removeAllListeners("data");
            };
            const release = () => {
                this.bufferedBytes -= receivedBytes;
                receivedBytes = 0;
            };
            const fail = (error: errors.FleetError) => {
                stop();
                release();
                resolve(err(error));
            };
            request.on("error", () => fail(errors.createError("callerGone")));
            request.on("close", () => fail(errors.createError("callerGone")));
            request.on("data", (chunk: Buffer) => {
                startIdleTimer();
                receivedBytes += chunk.length;
                this.bufferedBytes += chunk.length;
                chunks.push(chunk);
                if (receivedBytes > maximumBytes) {
                    fail(createBodyTooLargeError(maximumBytes));
                }
                else if (this.bufferedBytes > settings.requestBytesHeld) {
                    fail(errors.createError("overloaded", `the request bodies in memory exceed the limit of ${settings.requestBytesHeld} bytes`));
                }
            });
            request.on("end", () => {
                stop();
                request.removeAllListeners("close");
                resolve(ok({ body: Buffer.concat(chunks), release }));
            });
            startIdleTimer();
        });
    }
}

function createBodyTooLargeError(limitBytes: number): errors.FleetError {
    return errors.createError("bodyTooLarge", `the body is larger than ${limitBytes} bytes`);
}
