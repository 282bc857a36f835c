/** Relays a response body to the caller, either completely or with a visible break. */

import type * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as framingCheck from "../kernel/framingCheck.js";
import type * as heldBytes from "../kernel/heldBytes.js";
import * as idleTimer from "../kernel/idleTimer.js";
import * as bodyWriter from "./bodyWriter.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as rangeResume from "./rangeResume.js";

/** Idle timeout of a body that another upstream can continue. */
const resumableIdleTimeoutMs = 3_000;

/** Idle timeout of a buffered body that can be requested again. It can be short because upstreams send data as soon as they have produced it. */
const bufferingIdleTimeoutMs = 1_000;

/** How a body ended; `bytes` counts the bytes received from the upstreams. */
export type RelayResult =
    | { readonly kind: "whole"; readonly bytes: number; }
    /** It broke before the response headers were written to the caller, so the request can still be retried. */
    | { readonly kind: "unstarted"; }
    /** The upstream's response broke off and could not be continued. */
    | { readonly kind: "broken"; readonly bytes: number; }
    /** A body of undeclared length exceeded the setting `unsizedBodyBytes`. */
    | { readonly kind: "tooLarge"; readonly bytes: number; }
    /** The request's time was over after a part had been relayed. `isCallerSlow`: the caller did not take what was there. */
    | { readonly kind: "deadline"; readonly bytes: number; readonly isCallerSlow: boolean; }
    /** The caller closed its connection. */
    | { readonly kind: "callerGone"; readonly bytes: number; };

/** Options of a relay. */
export interface RelayBodyOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    readonly caller: http.ServerResponse;
    /** Accounts for the memory of the part of the body that is buffered. */
    readonly reservation: heldBytes.Reservation;
    /** Writes the response headers to the caller; called once, before the first byte of the body. */
    readonly writeHeader: () => void;
    /** A body is buffered until it is complete or exceeds this size, so that the request can be retried if it breaks before. 0 disables buffering. */
    readonly bufferLimitBytes: number;
    /** What a continuation by range request needs; undefined if the body cannot be continued. */
    readonly resumable: rangeResume.ResumableBody | undefined;
    /** Requests the remainder of a broken body from another upstream; undefined if that fails. */
    readonly openContinuation: (resumable: rangeResume.ResumableBody, offset: number) => Promise<http.IncomingMessage | undefined>;
    /** Returns whether a request whose body is still buffered can be retried. */
    readonly hasRetryLeft: () => boolean;
    /** Returns the milliseconds until the request's deadline, which ends the relaying. */
    readonly getRemainingMs: () => number;
}

/** How the body of one upstream response ended. */
type PartResult = "ended" | "broken" | "tooLarge" | "deadline" | "deadlineOfSlowCaller" | "callerGone";

/**
 * Relays a body until it is complete, the caller disconnects, or it breaks and cannot be continued.
 * @param options - The response, the caller and the limits.
 * @remarks A broken body ends with the caller's connection destroyed, so that the caller cannot take it for complete.
 */
export async function relayBody(options: RelayBodyOptions): Promise<RelayResult> {
    const { caller, resumable, context: { settings } } = options;
    const writer = new bodyWriter.BodyWriter(options);
    const maximumBytes = options.response.headers["content-length"] === undefined ? settings.unsizedBodyBytes : Infinity;
    let bytes = 0;
    let part: http.IncomingMessage | undefined = options.response;
    while (part !== undefined) {
        const result = await relayPart(options, writer, part, count => {
            bytes += count;
            return bytes <= maximumBytes;
        });
        if (result === "callerGone") {
            return { kind: "callerGone", bytes };
        }
        if (result === "tooLarge" && !writer.isHoldingBack()) {
            caller.destroy();
            return { kind: "tooLarge", bytes };
        }
        if ((result === "deadline" || result === "deadlineOfSlowCaller") && !writer.isHoldingBack()) {
            caller.destroy();
            return { kind: "deadline", bytes, isCallerSlow: result === "deadlineOfSlowCaller" };
        }
        const isComplete = resumable === undefined ? result === "ended" : bytes === resumable.length;
        if (isComplete) {
            writer.writeHeldBack();
            caller.end();
            return { kind: "whole", bytes };
        }
        part = resumable === undefined || bytes > resumable.length ? undefined : await options.openContinuation(resumable, bytes);
    }
    if (writer.isHoldingBack()) {
        writer.removeHeldBack();
        return { kind: "unstarted" };
    }
    caller.destroy();
    return { kind: "broken", bytes };
}

/** Relays the body of one upstream response: the original one or a continuation. `onBytes` returns whether the body may go on. */
function relayPart(options: RelayBodyOptions, writer: bodyWriter.BodyWriter, part: http.IncomingMessage, onBytes: (count: number) => boolean): Promise<PartResult> {
    const { caller, context: { clock, loop, settings } } = options;
    const idleMs = options.resumable === undefined ? settings.bodyIdleTimeoutMs : Math.min(resumableIdleTimeoutMs, settings.bodyIdleTimeoutMs);
    return new Promise(resolve => {
        const isFramingInProportion = framingCheck.createFramingCheck(part.socket);
        let partBytes = 0;
        const finish = (result: PartResult) => {
            timer.stop();
            cancelDeadline();
            writer.setBackpressureListener(() => {});
            caller.off("drain", resume);
            caller.off("close", onCallerClose);
            part.off("data", onData);
            if (result !== "ended") {
                part.destroy();
            }
            resolve(result);
        };
        const timer = new idleTimer.IdleTimer({
            clock,
            loop,
            getLimitMs: () => writer.isHoldingBack() && options.hasRetryLeft() ? Math.min(bufferingIdleTimeoutMs, idleMs) : idleMs,
            onIdle: () => finish("broken"),
        });
        const cancelDeadline = loop.scheduleOnce(Math.max(0, options.getRemainingMs()), () => finish(caller.writableNeedDrain ? "deadlineOfSlowCaller" : "deadline"));
        // The idle timer is stopped while a slow caller applies backpressure, because the upstream does not cause that pause.
        const resume = () => {
            timer.restart();
            part.resume();
        };
        const onCallerClose = () => finish("callerGone");
        const onData = (chunk: Buffer) => {
            partBytes += chunk.length;
            if (!onBytes(chunk.length)) {
                finish("tooLarge");
                return;
            }
            if (!isFramingInProportion(partBytes)) {
                finish("broken");
                return;
            }
            timer.restart();
            writer.write(chunk);
        };
        const onBackpressure = () => {
            timer.stop();
            part.pause();
        };
        const finishPart = () => finish(responseIntegrity.isComplete(part) ? "ended" : "broken");
        writer.setBackpressureListener(onBackpressure);
        caller.on("drain", resume);
        caller.on("close", onCallerClose);
        part.on("error", () => finish("broken"));
        part.on("close", finishPart);
        part.on("end", finishPart);
        part.on("data", onData);
        timer.restart();
        if (caller.destroyed) {
            finish("callerGone");
        }
    });
}
