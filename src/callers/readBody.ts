/** Reads a caller's request body within the limits. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";

/** Reads bodies and bounds the memory that they hold together. */
export class BodyReader {
    private heldBytes = 0;

    constructor(private readonly shared: context.Context) {}

    /** Returns the bytes held now. */
    getBufferedBytes(): number {
        return this.heldBytes;
    }

    /**
     * Reads a body whole.
     * @param request - The request.
     * @param limitBytes - The configuration's limit; the instance's own holds besides.
     * @returns The body and the function that gives its memory back.
     */
    readBody(request: http.IncomingMessage, limitBytes = Infinity): Promise<Result<{ readonly body: Buffer; readonly release: () => void; }, errors.FleetError>> {
        const { settings, loop } = this.shared;
        const maximumBytes = Math.min(limitBytes, settings.requestBodyBytes);
        const announced = Number(request.headers["content-length"] ?? 0);
        if (announced > maximumBytes) {
            return Promise.resolve(err(createTooLarge(maximumBytes)));
        }
        return new Promise(resolve => {
            const parts: Buffer[] = [];
            let bytes = 0;
            let cancelIdle = () => {};
            const startIdle = () => {
                cancelIdle();
                cancelIdle = loop.scheduleOnce(settings.bodyIdleTimeoutMs, () => fail(errors.createError("badRequest", `the body paused for more than ${settings.bodyIdleTimeoutMs} ms`)));
            };
            const stop = () => {
                cancelIdle();
                request.removeAllListeners("data");
            };
            const release = () => {
                this.heldBytes -= bytes;
                bytes = 0;
            };
            const fail = (error: errors.FleetError) => {
                stop();
                release();
                resolve(err(error));
            };
            request.on("error", () => fail(errors.createError("callerGone")));
            request.on("close", () => fail(errors.createError("callerGone")));
            request.on("data", (chunk: Buffer) => {
                startIdle();
                bytes += chunk.length;
                this.heldBytes += chunk.length;
                parts.push(chunk);
                if (bytes > maximumBytes) {
                    fail(createTooLarge(maximumBytes));
                }
                else if (this.heldBytes > settings.requestBytesHeld) {
                    fail(errors.createError("overloaded", `request bodies hold ${settings.requestBytesHeld} bytes already`));
                }
            });
            request.on("end", () => {
                stop();
                request.removeAllListeners("close");
                resolve(ok({ body: Buffer.concat(parts), release }));
            });
            startIdle();
        });
    }
}

function createTooLarge(limit: number): errors.FleetError {
    return errors.createError("bodyTooLarge", `the body is larger than ${limit} bytes`);
}
