/** Accounts for the memory that bodies occupy in this process, and limits it. */

import * as promClient from "prom-client";
import type * as settings from "../settings/index.js";
import type * as logger from "./logger.js";

const bytesPerMebibyte = 1_048_576;
/** What a process needs besides bodies: the program, its heap, and data that awaits garbage collection. */
const baseMemoryBytes = 200 * bytesPerMebibyte;
/** The part of the remaining memory that bodies may occupy. Writing a body to a connection can copy it once. */
const bodyFraction = 0.5;
/** The limit never falls below this, so that ordinary requests are served in any process that can start. */
const minimumLimitBytes = 16 * bytesPerMebibyte;
/** Callers' bodies are refused above this part of the limit. The rest is for responses to requests that were sent. */
const requestFraction = 0.75;
/** New requests of the most urgent rank are refused above this part of the limit, those of the least urgent rank above half of it. */
const urgentFraction = 0.7;
const leastUrgentFraction = 0.5;
/** The memory counts as free again below this part of the limit. */
const freedFraction = 0.4;

/** Returns the limit on the memory of bodies, in bytes. */
export function computeLimitBytes({ memoryMb, bodyBytesHeld }: Pick<settings.ServeSettings, "memoryMb" | "bodyBytesHeld">): number {
    if (memoryMb === 0) {
        return bodyBytesHeld;
    }
    return Math.min(bodyBytesHeld, Math.max(minimumLimitBytes, Math.floor((memoryMb * bytesPerMebibyte - baseMemoryBytes) * bodyFraction)));
}

/** What holds memory: a body that a caller sends, or a response to a request that an upstream may have run. */
export type HolderKind = "request" | "response";

/** Options of the account. */
export interface CreateHeldBytesOptions {
    readonly limitBytes: number;
    readonly logger: logger.Logger;
    readonly registry: promClient.Registry;
}

/** The memory of all bodies in the process, counted by the size of the buffers that keep them. */
export class HeldBytes {
    private bytes = 0;
    private isFull = false;

    constructor(private readonly options: CreateHeldBytesOptions) {
        const gauge: promClient.Gauge = new promClient.Gauge({
            name: "agatebend_body_bytes_held",
            help: "Memory of the request and response bodies that the process keeps, in bytes.",
            registers: [options.registry],
            collect: () => gauge.set(this.bytes),
        });
    }

    /** Returns the memory of all bodies, in bytes. */
    getBytes(): number {
        return this.bytes;
    }

    /** Creates a reservation for the bodies of one request. */
    createReservation(): Reservation {
        return new Reservation(this);
    }

    /**
     * Returns whether a new request is admitted. Less urgent requests are refused first.
     * @param rankIndex - The position of the request's rank; 0 for the most urgent one.
     * @param rankCount - The number of ranks.
     */
    isAdmitted(rankIndex: number, rankCount: number): boolean {
        const urgency = rankCount <= 1 ? 1 : 1 - rankIndex / (rankCount - 1);
        const isAdmitted = this.bytes <= this.options.limitBytes * (leastUrgentFraction + (urgentFraction - leastUrgentFraction) * urgency);
        if (!isAdmitted) {
            this.recordFull();
        }
        return isAdmitted;
    }

    /**
     * Adds memory. Returns false, and adds nothing, if the limit would be exceeded.
     * @internal
     */
    acquireBytes(bytes: number, kind: HolderKind): boolean {
        if (this.bytes + bytes > this.options.limitBytes * (kind === "request" ? requestFraction : 1)) {
            this.recordFull();
            return false;
        }
        this.bytes += bytes;
        return true;
    }

    /**
     * Subtracts memory.
     * @internal
     */
    releaseBytes(bytes: number): void {
        this.bytes -= bytes;
        if (this.isFull && this.bytes < this.options.limitBytes * freedFraction) {
            this.isFull = false;
            this.options.logger.writeInfo("body-memory-freed", `bodies occupy ${this.bytes} bytes; requests are accepted again`, { bytes: this.bytes });
        }
    }

    private recordFull(): void {
        if (this.isFull) {
            return;
        }
        const { limitBytes, logger: log } = this.options;
        this.isFull = true;
        log.writeWarning("body-memory-full", `bodies occupy ${this.bytes} of ${limitBytes} bytes; requests are refused until the memory is free`, { bytes: this.bytes, limitBytes });
    }
}

/** The memory that the bodies of one request occupy. */
export class Reservation {
    private bytes = 0;
    private holders = 0;

    constructor(private readonly account: HeldBytes) {}

    /** Adds memory. Returns false, and adds nothing, if the process has none left for bodies. */
    acquire(bytes: number, kind: HolderKind): boolean {
        const isAcquired = this.account.acquireBytes(bytes, kind);
        this.bytes += isAcquired ? bytes : 0;
        return isAcquired;
    }

    /** Subtracts a part of the memory. */
    release(bytes: number): void {
        const released = Math.min(bytes, this.bytes);
        this.bytes -= released;
        this.account.releaseBytes(released);
    }

    /** Subtracts all memory once every promise that was passed to this method has settled. */
    releaseAfter(user: Promise<unknown>): void {
        this.holders += 1;
        const finish = () => {
            this.holders -= 1;
            if (this.holders === 0) {
                this.release(this.bytes);
            }
        };
        user.then(finish, finish);
    }
}
