/** Reads a complete response of an upstream or of another instance into memory. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as bodyBuffer from "../kernel/bodyBuffer.js";
import type * as context from "../kernel/context.js";
import * as framingCheck from "../kernel/framingCheck.js";
import type * as heldBytes from "../kernel/heldBytes.js";
import * as idleTimer from "../kernel/idleTimer.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as headers from "./headers.js";
import type * as types from "./types.js";

/** Why a response could not be read: it was truncated or stalled, its body exceeds the limit or the memory that is left, or it did not end in time. */
export type ReadFailure = "broken" | "tooLarge" | "late";

/** Options of reading a response. */
export interface ReadResponseOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    /** The size limit of the body. */
    readonly maximumBytes: number;
    /** Accounts for the memory of the body. */
    readonly reservation: heldBytes.Reservation;
    /** When the body must have ended, in monotonic milliseconds. */
    readonly readUntil: number;
}

/** Reads a response body until its end. A pause longer than the setting `bodyIdleTimeoutMs` counts as broken. */
export function readResponse(options: ReadResponseOptions): Promise<Result<types.BufferedResponse, ReadFailure>> {
    const { response, maximumBytes, reservation, readUntil, context: { clock, loop, settings } } = options;
    return new Promise(resolve => {
        const body = new bodyBuffer.BodyBuffer({ maximumBytes, reservation, kind: "response" });
        const isFramingInProportion = framingCheck.createFramingCheck(response.socket);
        const finish = (result: Result<types.BufferedResponse, ReadFailure>) => {
            timer.stop();
            cancelTimeLimit();
            response.off("data", onData);
            if (result.isErr()) {
                body.removeAll();
                response.destroy();
            }
            resolve(result);
        };
        const timer = new idleTimer.IdleTimer({ clock, loop, getLimitMs: () => settings.bodyIdleTimeoutMs, onIdle: () => finish(err("broken")) });
        const onData = (piece: Buffer) => {
            timer.restart();
            if (body.add(piece) !== undefined) {
                finish(err("tooLarge"));
            }
            else if (!isFramingInProportion(body.getLength())) {
                finish(err("broken"));
            }
        };
        const cancelTimeLimit = loop.scheduleOnce(Math.max(0, readUntil - clock.getNow()), () => finish(err("late")));
        response.on("error", () => finish(err("broken")));
        response.on("close", () => finish(err("broken")));
        response.on("data", onData);
        response.on("end", () => {
            finish(
                responseIntegrity.isComplete(response)
                    ? ok({
                        status: response.statusCode ?? 502,
                        rawHeaders: headers.listEndToEndHeaders(response.rawHeaders, ["content-length"]),
                        body: body.takeBody(),
                    })
                    : err("broken"),
            );
        });
        timer.restart();
    });
}
