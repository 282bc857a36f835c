/** Reads request bodies within limits on size, time and memory. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as bodyBuffer from "../kernel/bodyBuffer.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as framingCheck from "../kernel/framingCheck.js";
import type * as heldBytes from "../kernel/heldBytes.js";
import * as idleTimer from "../kernel/idleTimer.js";

/** Options of reading a request body. */
export interface ReadBodyOptions {
    readonly context: context.Context;
    readonly request: http.IncomingMessage;
    /** The size limit of the configuration, in bytes; the limit of the settings also applies. */
    readonly limitBytes?: number;
    /** Accounts for the memory of the body. */
    readonly reservation: heldBytes.Reservation;
}

/** Reads a complete request body. */
export function readBody({ context, request, limitBytes = Infinity, reservation }: ReadBodyOptions): Promise<Result<Buffer, errors.FleetError>> {
    const { settings, loop, clock } = context;
    const maximumBytes = Math.min(limitBytes, settings.requestBodyBytes);
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maximumBytes) {
        return Promise.resolve(err(createBodyTooLargeError(maximumBytes)));
    }
    return new Promise(resolve => {
        const body = new bodyBuffer.BodyBuffer({ maximumBytes, expectedBytes: declaredBytes, reservation, kind: "request" });
        const isFramingInProportion = framingCheck.createFramingCheck(request.socket);
        const timer = new idleTimer.IdleTimer({
            clock,
            loop,
            getLimitMs: () => settings.bodyIdleTimeoutMs,
            onIdle: () => fail(errors.createError("badRequest", `received no body data for ${settings.bodyIdleTimeoutMs} ms`)),
        });
        const stop = () => {
            timer.stop();
            request.off("data", onData);
        };
        const fail = (error: errors.FleetError) => {
            stop();
            body.removeAll();
            resolve(err(error));
        };
        const onData = (piece: Buffer) => {
            timer.restart();
            const failure = body.add(piece);
            if (failure !== undefined) {
                fail(failure === "tooLarge" ? createBodyTooLargeError(maximumBytes) : createMemoryFullError());
            }
            else if (!isFramingInProportion(body.getLength())) {
                fail(errors.createError("badRequest", "the chunk extensions of the body are out of proportion to its bytes"));
            }
        };
        request.on("error", () => fail(errors.createError("callerGone")));
        request.on("close", () => fail(errors.createError("callerGone")));
        request.on("data", onData);
        request.on("end", () => {
            stop();
            request.removeAllListeners("close");
            resolve(ok(body.takeBody()));
        });
        timer.restart();
    });
}

/** Creates the error of a request for whose body the process has no memory left. */
export function createMemoryFullError(): errors.FleetError {
    return errors.createError("overloaded", "the request and response bodies in this process occupy the memory that they may");
}

function createBodyTooLargeError(limitBytes: number): errors.FleetError {
    return errors.createError("bodyTooLarge", `the body is larger than ${limitBytes} bytes`);
}
