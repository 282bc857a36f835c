/** Divides the time that the parsing of input from upstreams takes: each turn of the event loop parses for a limited time. */

import type * as clock from "../kernel/clock.js";

/** Time for parsing in one turn, in milliseconds. Timers and other connections wait for as long. */
const turnMs = 20;
/** Time that one share of a connection's input is to take, in milliseconds. */
const shareMs = 4;
/** Shorter times are not measured. */
const shortestMs = 0.01;
/** A read of at most this many bytes is parsed at once, whatever else waits. */
export const minimumShareBytes = 4_096;
/** The size of Node's read buffer, in bytes. */
const maximumShareBytes = 65_536;
/** The first share of a connection, which has not been timed yet, in bytes. */
export const initialShareBytes = 16_384;

/** A connection with input that has been read and not yet parsed. */
export interface WaitingReader {
    /** Parses a share of the input. Returns its size in bytes. */
    readonly readShare: () => number;
    /**
     * Called when the share is parsed and its listeners have run.
     * @param nextBytes - The size of the next share.
     */
    readonly onShareRead: (nextBytes: number) => void;
}

/**
 * Gives connections with much input their shares, one turn after another.
 * @remarks Node reads a connection that has much input up to 32 times, 64 KiB each, before any timer or other connection
 * gets its turn. If the input consists of chunks of one byte, that takes seconds.
 */
export class ReadTurns {
    private readonly waiting = new Set<WaitingReader>();
    private isScheduled = false;
    /** The time spent in the present turn. */
    private usedMs = 0;

    constructor(private readonly time: Pick<clock.Clock, "getNow">) {}

    /** Lets a connection parse a share now if the present turn has time left, otherwise in a later turn. */
    scheduleShare(reader: WaitingReader): void {
        if (this.hasTimeLeft() && this.waiting.size === 0) {
            this.runShare(reader);
            return;
        }
        this.waiting.add(reader);
        this.scheduleTurn();
    }

    /** Removes a connection that is closed. */
    removeWaiting(reader: WaitingReader): void {
        this.waiting.delete(reader);
    }

    private hasTimeLeft(): boolean {
        return this.usedMs < turnMs;
    }

    private runShare(reader: WaitingReader): void {
        const startedAt = this.time.getNow();
        const bytes = reader.readShare();
        // Streams may call their listeners after the parsing, in the ticks that precede this one.
        process.nextTick(() => {
            const tookMs = Math.max(shortestMs, this.time.getNow() - startedAt);
            this.usedMs += tookMs;
            this.scheduleTurn();
            reader.onShareRead(Math.floor(Math.max(minimumShareBytes, Math.min(maximumShareBytes, bytes * shareMs / tookMs))));
            this.runNextShare();
        });
    }

    private runNextShare(): void {
        const [reader] = this.waiting;
        if (reader !== undefined && this.hasTimeLeft()) {
            this.waiting.delete(reader);
            this.runShare(reader);
        }
    }

    private scheduleTurn(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.startTurn());
        }
    }

    private startTurn(): void {
        this.isScheduled = false;
        this.usedMs = 0;
        this.runNextShare();
        if (this.waiting.size > 0) {
            this.scheduleTurn();
        }
    }
}
