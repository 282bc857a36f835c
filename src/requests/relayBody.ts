/** Passes an answer's body to the caller, whole or visibly broken. */

import type * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as rangeResume from "./rangeResume.js";

/** A pause in a body that can be continued elsewhere, after which it is, in milliseconds. */
const resumableIdleTimeoutMs = 3_000;

/** A pause in a body that is held back and may be fetched again, after which it is, in milliseconds; upstreams send what they have made at once. */
const bufferingIdleTimeoutMs = 1_000;

/** How a body ended. */
export type RelayResult =
    | { readonly kind: "whole"; readonly bytes: number; }
    /** It broke before anything of the answer was written, so another answer may take its place. */
    | { readonly kind: "unstarted"; }
    /** The upstream's side broke and could not be continued. */
    | { readonly kind: "broken"; readonly bytes: number; }
    | { readonly kind: "callerGone"; readonly bytes: number; };

/** Options of a relay. */
export interface RelayBodyOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    readonly caller: http.ServerResponse;
    /** Writes the answer's header; called once, before the first byte. */
    readonly writeHeader: () => void;
    /** Bytes that are held back until the body is whole or longer than this, so that a break up to there can be mended. */
    readonly bufferLimitBytes: number;
    /** Where the body can be continued elsewhere: what is needed for it. */
    readonly resumable: rangeResume.ResumableBody | undefined;
    /** Opens the rest of a broken body at another upstream; undefined where that fails. */
    readonly openContinuation: (resumable: rangeResume.ResumableBody, offset: number) => Promise<http.IncomingMessage | undefined>;
    /** Returns whether a body that has not begun to be passed on may be fetched again. */
    readonly hasRetryLeft: () => boolean;
    /** Returns the milliseconds until the whole answer must have come. */
    readonly getRemainingMs: () => number;
}

type PartResult = "ended" | "broken" | "callerGone";

/** Writes to the caller, after holding back the first bytes. */
class BufferingWriter {
    private buffered: Buffer[] | undefined = [];
    private bufferedBytes = 0;

    constructor(private readonly options: RelayBodyOptions) {
        if (options.bufferLimitBytes === 0) {
            this.writeBuffered();
        }
    }

    /** Returns whether nothing of the answer has been written. */
    isBuffering(): boolean {
        return this.buffered !== undefined;
    }

    /** Takes a chunk; returns whether more may come at once. */
    write(chunk: Buffer): boolean {
        if (this.buffered === undefined) {
            return this.options.caller.write(chunk);
        }
        this.buffered.push(chunk);
        this.bufferedBytes += chunk.length;
        return this.bufferedBytes <= this.options.bufferLimitBytes ? true : this.writeBuffered();
    }

    /** Writes the header and what was held back. */
    writeBuffered(): boolean {
        const chunks = this.buffered ?? [];
        if (this.buffered !== undefined) {
            this.buffered = undefined;
            this.options.writeHeader();
        }
        return chunks.map(chunk => this.options.caller.write(chunk)).at(-1) ?? true;
    }
}

/**
 * Passes a body on until it is whole, the caller leaves, or it is broken beyond help.
 * @param options - The answer and the caller.
 * @remarks A broken body ends in a reset connection, never in a complete shorter one.
 */
export async function relayBody(options: RelayBodyOptions): Promise<RelayResult> {
    const { caller, resumable } = options;
    const writer = new BufferingWriter(options);
    let bytes = 0;
    let part: http.IncomingMessage | undefined = options.response;
    while (part !== undefined) {
        const result = await relayPart(options, writer, part, count => {
            bytes += count;
        });
        if (result === "callerGone") {
            return { kind: "callerGone", bytes };
        }
        const isWhole = resumable === undefined ? result === "ended" : bytes === resumable.length;
        if (isWhole) {
            writer.writeBuffered();
            caller.end();
            return { kind: "whole", bytes };
        }
        part = resumable === undefined || bytes > resumable.length ? undefined : await options.openContinuation(resumable, bytes);
    }
    if (writer.isBuffering()) {
        return { kind: "unstarted" };
    }
    caller.destroy();
    return { kind: "broken", bytes };
}

function relayPart(options: RelayBodyOptions, writer: BufferingWriter, part: http.IncomingMessage, onBytes: (count: number) => void): Promise<PartResult> {
    const { caller, context: { loop, settings } } = options;
    const idleMs = options.resumable === undefined ? settings.bodyIdleTimeoutMs : Math.min(resumableIdleTimeoutMs, settings.bodyIdleTimeoutMs);
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
            const pauseMs = writer.isBuffering() && options.hasRetryLeft() ? Math.min(bufferingIdleTimeoutMs, idleMs) : idleMs;
            const limitMs = writer.isBuffering() ? Math.min(pauseMs, options.getRemainingMs()) : idleMs;
            cancelIdle = loop.scheduleOnce(Math.max(0, limitMs), () => finish("broken"));
        };
        // The pause of a slow reader is not the upstream's, so the idle time stands still meanwhile.
        const resume = () => {
            startIdle();
            part.resume();
        };
        const onCallerClose = () => finish("callerGone");
        const onData = (chunk: Buffer) => {
            onBytes(chunk.length);
            if (writer.write(chunk)) {
                startIdle();
                return;
            }
            cancelIdle();
            part.pause();
        };
        const finishPart = () => finish(responseIntegrity.isComplete(part) ? "ended" : "broken");
        caller.on("drain", resume);
        caller.on("close", onCallerClose);
        part.on("error", () => finish("broken"));
        part.on("close", finishPart);
        part.on("end", finishPart);
        part.on("data", onData);
        startIdle();
        if (caller.destroyed) {
            finish("callerGone");
        }
    });
}
