/** A connection to an upstream whose input is parsed in shares of limited time. */

import * as net from "node:net";
import * as readTurns from "./readTurns.js";

/** Options of a paced socket, in addition to those of Node. */
export interface CreatePacedSocketOptions extends net.SocketConstructorOpts {
    readonly readTurns: readTurns.ReadTurns;
}

/** A socket that passes a large read on in shares, and reads on only after that. */
export class PacedSocket extends net.Socket {
    private readonly turns: readTurns.ReadTurns;
    private readonly reader: readTurns.WaitingReader = { readShare: () => this.readShare(), onShareRead: nextBytes => this.onShareRead(nextBytes) };
    private shareBytes = readTurns.initialShareBytes;
    /** What has been read and not yet passed on. */
    private rest: Buffer | undefined;
    private isShareScheduled = false;
    /** Whether the listeners accept more of the rest. Otherwise Node calls `_read` when they do. */
    private isMoreWanted = true;

    constructor({ readTurns: turns, ...options }: CreatePacedSocketOptions) {
        super(options);
        this.turns = turns;
        this.once("close", () => {
            this.rest = undefined;
            turns.removeWaiting(this.reader);
        });
    }

    /** Returns whether input has been read and not yet taken by a listener. */
    hasUnreadInput(): boolean {
        return this.readableLength > 0 || this.rest !== undefined;
    }

    /** Called by Node with each read, and at the end of the input. Returns whether Node may read on at once. */
    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (!Buffer.isBuffer(chunk) || chunk.length <= readTurns.minimumShareBytes) {
            return super.push(chunk, encoding);
        }
        this.rest = chunk;
        this.isMoreWanted = true;
        this.scheduleShare();
        return this.isMoreWanted && !this.hasRest();
    }

    /** Called by Node when more input is wanted. */
    override _read(size: number): void {
        this.isMoreWanted = true;
        if (this.hasRest()) {
            this.scheduleShare();
            return;
        }
        super._read(size);
    }

    private hasRest(): boolean {
        return this.rest !== undefined;
    }

    private scheduleShare(): void {
        if (!this.isShareScheduled) {
            this.isShareScheduled = true;
            this.turns.scheduleShare(this.reader);
        }
    }

    private readShare(): number {
        const { rest, shareBytes } = this;
        if (rest === undefined || this.destroyed) {
            return 0;
        }
        const share = rest.subarray(0, shareBytes);
        this.rest = rest.length > shareBytes ? rest.subarray(shareBytes) : undefined;
        this.isMoreWanted = super.push(share);
        return share.length;
    }

    private onShareRead(nextBytes: number): void {
        this.isShareScheduled = false;
        this.shareBytes = nextBytes;
        if (this.hasRest() && this.isMoreWanted && !this.destroyed) {
            this.scheduleShare();
        }
    }
}
