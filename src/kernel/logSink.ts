/** Writes log lines to standard output without ever making the process wait for their reader. */

import * as fs from "node:fs";
import type * as clock from "./clock.js";

const standardOutput = 1;
/** The most bytes that wait for the reader; further lines are dropped and counted. */
const maximumWaitingBytes = 1_048_576;
/** The most bytes of lines below `warn` in a second, and of all lines. */
const quietBytesPerSecond = 65_536;
const bytesPerSecond = 262_144;
const windowMs = 1_000;

/** Options of a sink. */
export interface CreateLogSinkOptions {
    readonly clock: clock.Clock;
    /** Writes bytes and calls back when they are written; `fs.write` on standard output where omitted. */
    readonly writeBytes?: (bytes: Buffer, onDone: (error: Error | null | undefined, written: number) => void) => void;
}

/** Queues lines and keeps one write under way. */
export class LogSink {
    private waiting: Buffer[] = [];
    private waitingBytes = 0;
    private isWriting = false;
    private windowStartedAt = -Infinity;
    private windowBytes = 0;
    private dropped = 0;
    private reported = 0;
    private readonly writtenListeners: (() => void)[] = [];

    constructor(private readonly options: CreateLogSinkOptions) {}

    /** Returns how many lines were dropped since the start. */
    countDroppedLines(): number {
        return this.dropped;
    }

    /**
     * Takes a line.
     * @param line - The line without its end.
     * @param isQuiet - Whether it is the first kind to be dropped under load.
     */
    writeLine(line: string, isQuiet: boolean): void {
        const bytes = Buffer.from(`${line}\n`);
        if (!this.isAdmitted(bytes.length, isQuiet)) {
            this.dropped += 1;
            return;
        }
        this.waiting.push(bytes);
        this.waitingBytes += bytes.length;
        this.writeWaiting();
    }

    /**
     * Waits until the reader has every line, as before the process ends.
     * @param limitMs - The longest wait for a reader that has stopped, in milliseconds.
     */
    waitUntilWritten(limitMs: number): Promise<void> {
        if (!this.isWriting) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(resolve, limitMs);
            this.writtenListeners.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private isAdmitted(length: number, isQuiet: boolean): boolean {
        const now = this.options.clock.getNow();
        if (now - this.windowStartedAt >= windowMs) {
            this.windowStartedAt = now;
            this.windowBytes = 0;
            this.addDropReport();
        }
        const limit = isQuiet ? quietBytesPerSecond : bytesPerSecond;
        if (this.windowBytes + length > limit || this.waitingBytes + length > maximumWaitingBytes) {
            return false;
        }
        this.windowBytes += length;
        return true;
    }

    private addDropReport(): void {
        if (this.dropped === this.reported) {
            return;
        }
        const report = { context: { event: "log-lines-dropped", dropped: this.dropped - this.reported, droppedSinceStart: this.dropped }, message: "log lines were dropped over the limit", time: this.options.clock.getWallTime() };
        this.reported = this.dropped;
        const bytes = Buffer.from(`${JSON.stringify(report)}\n`);
        this.waiting.push(bytes);
        this.waitingBytes += bytes.length;
    }

    private writeWaiting(): void {
        if (this.isWriting) {
            return;
        }
        if (this.waiting.length === 0) {
            this.writtenListeners.splice(0).forEach(listener => listener());
            return;
        }
        this.isWriting = true;
        const bytes = Buffer.concat(this.waiting);
        this.waiting = [];
        this.writeRest(bytes);
    }

    private writeRest(bytes: Buffer): void {
        const write = this.options.writeBytes ?? ((rest, onDone) => fs.write(standardOutput, rest, onDone));
        write(bytes, (error, written) => {
            const done = error ? bytes.length : written;
            this.waitingBytes -= done;
            if (done < bytes.length) {
                this.writeRest(bytes.subarray(done));
                return;
            }
            this.isWriting = false;
            this.writeWaiting();
        });
    }
}
