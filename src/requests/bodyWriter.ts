/** Writes a response body to the caller: holds its beginning back, then passes it on as it arrives. */

import type * as http from "node:http";
import * as bodyBuffer from "../kernel/bodyBuffer.js";
import type * as heldBytes from "../kernel/heldBytes.js";

/** A piece of at least this size is passed on as it is; smaller ones are merged, because each write costs several hundred bytes. */
const minimumUnmergedBytes = 16_384;

/** Options of a body writer. */
export interface CreateBodyWriterOptions {
    readonly caller: http.ServerResponse;
    readonly reservation: heldBytes.Reservation;
    /** Writes the response headers to the caller; called once, before the first byte of the body. */
    readonly writeHeader: () => void;
    /** A body is held back until it is complete or exceeds this size. 0 passes it on at once. */
    readonly bufferLimitBytes: number;
}

/** Holds back the beginning of a body, and merges small pieces of the rest. */
export class BodyWriter {
    private heldBack: bodyBuffer.BodyBuffer | undefined;
    private merged: bodyBuffer.BodyBuffer | undefined;
    /** Called when the caller's socket applies backpressure; it emits `drain` when it accepts more. */
    private onBackpressure = () => {};

    constructor(private readonly options: CreateBodyWriterOptions) {
        const { bufferLimitBytes, reservation } = options;
        this.heldBack = new bodyBuffer.BodyBuffer({ maximumBytes: bufferLimitBytes, reservation, kind: "response" });
        if (bufferLimitBytes === 0) {
            this.writeHeldBack();
        }
    }

    /** Returns whether nothing of the response has been written to the caller. */
    isHoldingBack(): boolean {
        return this.heldBack !== undefined;
    }

    /** Sets the callback for backpressure of the caller's socket. */
    setBackpressureListener(onBackpressure: () => void): void {
        this.onBackpressure = onBackpressure;
    }

    /** Holds a piece back, or writes it at the end of the current task at the latest. Body and memory limits end the holding back. */
    write(piece: Buffer): void {
        if (this.heldBack !== undefined) {
            if (this.heldBack.add(piece) === undefined) {
                return;
            }
            this.writeHeldBack();
        }
        if (piece.length >= minimumUnmergedBytes) {
            this.writeMerged();
            this.writeParts([piece]);
            return;
        }
        this.addMerged(piece);
    }

    /** Writes the response headers and all that was held back. */
    writeHeldBack(): void {
        const { heldBack } = this;
        if (heldBack !== undefined) {
            const { caller, reservation, writeHeader } = this.options;
            const heldBytes = heldBack.getAllocatedBytes();
            this.heldBack = undefined;
            writeHeader();
            if (this.writeParts(heldBack.takeParts())) {
                reservation.release(heldBytes);
            }
            else {
                caller.once("drain", () => reservation.release(heldBytes));
            }
        }
        this.writeMerged();
    }

    /** Discards what is held back, so that the request can be sent again. */
    removeHeldBack(): void {
        this.heldBack?.removeAll();
    }

    private addMerged(piece: Buffer): void {
        if (this.merged === undefined) {
            this.merged = new bodyBuffer.BodyBuffer({ maximumBytes: Infinity, kind: "response" });
            // All pieces of one read of the socket arrive in the same task.
            process.nextTick(() => this.writeMerged());
        }
        this.merged.add(piece);
    }

    private writeMerged(): void {
        const { merged } = this;
        this.merged = undefined;
        this.writeParts(merged?.takeParts() ?? []);
    }

    /** Returns whether the caller's socket accepts more. */
    private writeParts(parts: readonly Buffer[]): boolean {
        if (this.options.caller.destroyed) {
            return true;
        }
        const isAccepting = parts.map(part => this.options.caller.write(part)).at(-1) ?? true;
        if (!isAccepting) {
            this.onBackpressure();
        }
        return isAccepting;
    }
}
