/** Passes an answer's body to the caller, whole or visibly broken. */

import type * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as rangeResume from "./rangeResume.js";

/** A pause in a body that can be continued elsewhere, after which it is, in milliseconds. */
const resumableIdleMs = 3_000;

/** How a body ended. */
export type RelayResult =
    | { readonly kind: "whole"; readonly bytes: number; }
    /** The upstream's side broke and could not be continued. */
    | { readonly kind: "broken"; readonly bytes: number; }
    | { readonly kind: "callerGone"; readonly bytes: number; };

/** Options of a relay. */
export interface RelayBodyOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    readonly caller: http.ServerResponse;
    /** Where the body can be continued elsewhere: what is needed for it. */
    readonly resumable: rangeResume.ResumableBody | undefined;
    /** Opens the rest of a broken body at another upstream; undefined where that fails. */
    readonly openRest: (resumable: rangeResume.ResumableBody, offset: number) => Promise<http.IncomingMessage | undefined>;
}

type PartResult = "ended" | "broken" | "callerGone";

/**
 * Passes a body on until it is whole, the caller leaves, or it is broken beyond help.
 * @param options - The answer and the caller.
 * @remarks A broken body ends in a reset connection, never in a complete shorter one.
 */
export async function relayBody(options: RelayBodyOptions): Promise<RelayResult> {
    const { caller, resumable } = options;
    let bytes = 0;
    let part: http.IncomingMessage | undefined = options.response;
    while (part !== undefined) {
        const result = await relayPart(options, part, count => {
            bytes += count;
        });
        if (result === "callerGone") {
            return { kind: "callerGone", bytes };
        }
        const isWhole = resumable === undefined ? result === "ended" : bytes === resumable.length;
        if (isWhole) {
            caller.end();
            return { kind: "whole", bytes };
        }
        part = resumable === undefined || bytes > resumable.length ? undefined : await options.openRest(resumable, bytes);
    }
    caller.destroy();
    return { kind: "broken", bytes };
}

function relayPart(options: RelayBodyOptions, part: http.IncomingMessage, onBytes: (count: number) => void): Promise<PartResult> {
    const { caller, context: { loop, settings } } = options;
    const idleMs = options.resumable === undefined ? settings.bodyIdleTimeoutMs : Math.min(resumableIdleMs, settings.bodyIdleTimeoutMs);
    return new Promise(resolve => {
        let cancelIdle = () => {};
        const finish = (result: PartResult) => {
            cancelIdle();
            caller.off("drain", resume);
            caller.off("close", onCallerClose);
            part.off("data", onData);
            if (result !== "ended") {
                part.destroy();
            }
            resolve(result);
        };
        const startIdle = () => {
            cancelIdle();
            cancelIdle = loop.scheduleOnce(idleMs, () => finish("broken"));
        };
        // The pause of a slow reader is not the upstream's, so the idle time stands still meanwhile.
        const resume = () => {
            startIdle();
            part.resume();
        };
        const onCallerClose = () => finish("callerGone");
        const onData = (chunk: Buffer) => {
            onBytes(chunk.length);
            if (caller.write(chunk)) {
                startIdle();
                return;
            }
            cancelIdle();
            part.pause();
        };
        caller.on("drain", resume);
        caller.on("close", onCallerClose);
        part.on("error", () => finish("broken"));
        part.on("close", () => finish(part.complete ? "ended" : "broken"));
        part.on("end", () => finish(part.complete ? "ended" : "broken"));
        part.on("data", onData);
        startIdle();
        if (caller.destroyed) {
            finish("callerGone");
        }
    });
}
