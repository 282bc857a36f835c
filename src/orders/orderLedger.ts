/** The order keys that this instance owns, each with its one outcome. */

import * as errors from "../kernel/errors.js";
import type * as requests from "../requests/index.js";

/** The memory that a key takes besides its answer, in bytes; an estimate for the dump. */
const overheadBytesPerKey = 400;

/** The outcome of an order as kept for repeats. */
export type OrderResult =
    | { readonly kind: "answer"; readonly outcome: errors.Outcome; readonly response: requests.BufferedResponse; readonly attempts: number; }
    | { readonly kind: "error"; readonly error: errors.FleetError; readonly attempts: number; };

/** What to do with a request that brings a key. */
export type KeyDecision =
    /** The key is new: run the order and then call `finishKey`. */
    | { readonly kind: "run"; }
    /** The order is under way: its outcome will come. */
    | { readonly kind: "join"; readonly outcome: Promise<OrderResult>; }
    | { readonly kind: "replay"; readonly outcome: OrderResult; }
    | { readonly kind: "refuse"; readonly error: errors.FleetError; };

interface Entry {
    /** Undefined for a key that was refused before its request was looked at. */
    readonly fingerprint: string | undefined;
    readonly expiresAt: number;
    outcome?: OrderResult;
    bytes: number;
    readonly waiters: ((outcome: OrderResult) => void)[];
}

/** Options of a ledger. */
export interface CreateOrderLedgerOptions {
    /** The most keys held. */
    readonly maximumKeys: number;
    /** The most bytes of answers held, in all and for one key. */
    readonly maximumBytes: number;
    readonly maximumAnswerBytes: number;
}

/** Holds keys until they expire; it is told the time, in monotonic milliseconds. */
export class OrderLedger {
    private readonly entries = new Map<string, Entry>();
    private bytes = 0;

    constructor(private readonly options: CreateOrderLedgerOptions) {}

    /**
     * Begins the handling of a request that brings a key.
     * @param key - The key.
     * @param fingerprint - Tells one request from another, since a key serves one request; undefined matches any.
     * @param expiresAt - When the key may be forgotten.
     * @param now - The time.
     */
    admitKey(key: string, fingerprint: string | undefined, expiresAt: number, now: number): KeyDecision {
        const known = this.entries.get(key);
        if (known !== undefined) {
            return this.decideKnownKey(known, fingerprint);
        }
        if (now >= expiresAt) {
            return { kind: "refuse", error: errors.createError("orderKeyExpired") };
        }
        if (this.entries.size >= this.options.maximumKeys) {
            return { kind: "refuse", error: errors.createError("orderLedgerFull", `the instance holds ${this.entries.size} order keys`) };
        }
        this.entries.set(key, { fingerprint, expiresAt, bytes: 0, waiters: [] });
        return { kind: "run" };
    }

    /**
     * Sets the one outcome of a key that `admitKey` let run; a second call changes nothing.
     * @param key - The key.
     * @param outcome - The outcome.
     */
    recordOutcome(key: string, outcome: OrderResult): void {
        const entry = this.entries.get(key);
        if (entry === undefined || entry.outcome !== undefined) {
            return;
        }
        entry.waiters.splice(0).forEach(resolve => resolve(outcome));
        entry.outcome = this.createStoredResult(outcome);
        entry.bytes = entry.outcome.kind === "answer" ? entry.outcome.response.body.length : 0;
        this.bytes += entry.bytes;
    }

    /**
     * Returns whether a key is held.
     * @param key - The key.
     */
    hasKey(key: string): boolean {
        return this.entries.has(key);
    }

    /**
     * Forgets the finished keys that have expired.
     * @param now - The time.
     */
    removeExpired(now: number): void {
        for (const [key, entry] of this.entries) {
            if (entry.outcome !== undefined && now >= entry.expiresAt) {
                this.entries.delete(key);
                this.bytes -= entry.bytes;
            }
        }
    }

    /** Returns the number of keys under way. */
    countRunning(): number {
        return [...this.entries.values()].filter(entry => entry.outcome === undefined).length;
    }

    /** Returns the ledger's state for the dump. */
    getDump(): unknown {
        return { keys: this.entries.size, running: this.countRunning(), answerBytes: this.bytes, estimatedBytes: this.bytes + this.entries.size * overheadBytesPerKey };
    }

    private decideKnownKey(entry: Entry, fingerprint: string | undefined): KeyDecision {
        const isComparable = entry.fingerprint !== undefined && fingerprint !== undefined;
        if (isComparable && entry.fingerprint !== fingerprint) {
            return { kind: "refuse", error: errors.createError("orderKeyReused") };
        }
        if (entry.outcome !== undefined) {
            return { kind: "replay", outcome: entry.outcome };
        }
        return { kind: "join", outcome: new Promise(resolve => entry.waiters.push(resolve)) };
    }

    /** An answer that is too large is forgotten, its outcome is not. */
    private createStoredResult(outcome: OrderResult): OrderResult {
        if (outcome.kind === "error") {
            return outcome;
        }
        const size = outcome.response.body.length;
        const { maximumAnswerBytes, maximumBytes } = this.options;
        if (size <= maximumAnswerBytes && this.bytes + size <= maximumBytes) {
            return outcome;
        }
        const kind = outcome.outcome === "executed" ? "orderAnswerNotKept" : "answerLost";
        return { kind: "error", error: errors.createError(kind, `the answer of ${size} bytes was not kept`), attempts: outcome.attempts };
    }
}
