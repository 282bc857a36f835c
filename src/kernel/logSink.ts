/** Writes log lines to standard output without blocking the process when the reader is slow or has stopped. */

import * as fs from "node:fs";
import type * as clock from "./clock.js";

const standardOutput = 1;
/** Limit on bytes that are queued or being written; further lines are dropped and counted. */
const maximumPendingBytes = 1_048_576;
/** Limits on the bytes logged per second: lines below `warn` are dropped at the first limit, all lines at the second. */
const lowSeverityBytesPerSecond = 65_536;
const bytesPerSecond = 262_144;
const rateWindowMs = 1_000;
/** Delay before a write that would have blocked is tried again. */
const retryDelayMs = 20;
const lineFeed = 10;

/** Options of a log sink. */
export interface CreateLogSinkOptions {
    readonly clock: clock.Clock;
    /** Writes bytes and reports how many were written; defaults to `fs.write` on standard output. */
    readonly writeBytes?: (bytes: Buffer, onDone: (error: Error | null | undefined, written: number) => void) => void;
}

/** Queues log lines and has at most one write in progress. */
export class LogSink {
    private pendingLines: Buffer[] = [];
    private pendingBytes = 0;
    private isWriting = false;
    private windowStartedAt = -Infinity;
    private windowBytes = 0;
    private droppedLines = 0;
    private reportedDroppedLines = 0;
    private lowSeverityLimit = lowSeverityBytesPerSecond;
    private readonly flushListeners: (() => void)[] = [];

    constructor(private readonly options: CreateLogSinkOptions) {}

    /** Returns the number of lines dropped since the process started. */
    countDroppedLines(): number {
        return this.droppedLines;
    }

    /**
     * Queues a line, or drops it if a limit is exceeded.
     * @param line - The line without a line break.
     * @param isLowSeverity - Whether the line is below `warn`; such lines have a lower rate limit.
     */
    writeLine(line: string, isLowSeverity: boolean): void {
        const bytes = Buffer.from(`${line}\n`);
        if (!this.isWithinLimits(bytes.length, isLowSeverity)) {
            this.droppedLines += 1;
            return;
        }
        this.pendingLines.push(bytes);
        this.pendingBytes += bytes.length;
        this.writePending();
    }

    /** Gives lines below `warn` the limit of all lines, so that the last ones of the process are not dropped after many others. */
    removeLowSeverityLimit(): void {
        this.lowSeverityLimit = bytesPerSecond;
    }

    /**
     * Waits until every queued line is written.
     * @param timeoutMs - Maximum wait in milliseconds, in case the reader has stopped.
     */
    waitUntilWritten(timeoutMs: number): Promise<void> {
        if (!this.isWriting) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const timer = setTimeout(resolve, timeoutMs);
            this.flushListeners.push(() => {
                clearTimeout(timer);
                resolve();
            });
        });
    }

    private isWithinLimits(length: number, isLowSeverity: boolean): boolean {
        const now = this.options.clock.getNow();
        if (now - this.windowStartedAt >= rateWindowMs) {
            this.windowStartedAt = now;
            this.windowBytes = 0;
            this.addDropReport();
        }
        const limit = isLowSeverity ? this.lowSeverityLimit : bytesPerSecond;
        if (this.windowBytes + length > limit || this.pendingBytes + length > maximumPendingBytes) {
            return false;
        }
        this.windowBytes += length;
        return true;
    }

    private addDropReport(): void {
        if (this.droppedLines === this.reportedDroppedLines) {
            return;
        }
        const report = {
            context: { event: "log-lines-dropped", dropped: this.droppedLines - this.reportedDroppedLines, droppedSinceStart: this.droppedLines },
            message: "log lines were dropped because a limit was exceeded",
            time: this.options.clock.getWallTime(),
        };
        this.reportedDroppedLines = this.droppedLines;
        const bytes = Buffer.from(`${JSON.stringify(report)}\n`);
        this.pendingLines.push(bytes);
        this.pendingBytes += bytes.length;
    }

    private writePending(): void {
        if (this.isWriting) {
            return;
        }
        if (this.pendingLines.length === 0) {
            this.flushListeners.splice(0).forEach(listener => listener());
            return;
        }
        this.isWriting = true;
        const bytes = Buffer.concat(this.pendingLines);
        this.pendingLines = [];
        this.writeRemaining(bytes);
    }

    private writeRemaining(bytes: Buffer): void {
        const write = this.options.writeBytes ?? ((remaining, onDone) => fs.write(standardOutput, remaining, onDone));
        write(bytes, (error, written) => {
            // Standard output is non-blocking if it is a pipe or a socket, so a reader that has stopped shows as this error.
            if (error && "code" in error && error.code === "EAGAIN") {
                setTimeout(() => this.writeRemaining(bytes), retryDelayMs).unref();
                return;
            }
            if (error) {
                this.droppedLines += bytes.filter(byte => byte === lineFeed).length;
            }
            const completedBytes = error ? bytes.length : written;
            this.pendingBytes -= completedBytes;
            if (completedBytes < bytes.length) {
                this.writeRemaining(bytes.subarray(completedBytes));
                return;
            }
            this.isWriting = false;
            this.writePending();
        });
    }
}
