/** Stores the order keys that this instance owns, each with the result of its order. */

import * as errors from "../kernel/errors.js";
import type * as requests from "../requests/index.js";

/** Estimated memory that a key takes in addition to its response body, for the operators' dump. */
const overheadBytesPerKey = 400;

/** The result of an order, which repeated requests with the same key also receive. */
export type OrderResult =
    | { readonly kind: "answer"; readonly outcome: errors.Outcome; readonly response: requests.BufferedResponse; readonly attempts: number; }
    | { readonly kind: "error"; readonly error: errors.FleetError; readonly attempts: number; };

/** How to handle a request with an order key. */
export type KeyDecision =
    /** The key is new: run the order, then call `recordResult`. */
    | { readonly kind: "run"; }
    /** The order is running: wait for its result. */
    | { readonly kind: "join"; readonly result: Promise<OrderResult>; }
    /** The order has finished: return its result. */
    | { readonly kind: "replay"; readonly result: OrderResult; }
    | { readonly kind: "refuse"; readonly error: errors.FleetError; };

interface Entry {
    /** Undefined if the first request with the key was refused before its order started. */
    readonly fingerprint: string | undefined;
    /** In monotonic milliseconds. */
    readonly expiresAt: number;
    /** Undefined while the order is running. */
    result?: OrderResult;
    /** The size of the stored response body. */
    bytes: number;
    readonly waiters: ((result: OrderResult) => void)[];
}

/** Limits of an order ledger. */
export interface CreateOrderLedgerOptions {
    /** The maximum number of keys. */
    readonly maximumKeys: number;
    /** The maximum total size of the stored response bodies. */
    readonly maximumBytes: number;
    /** The maximum size of one stored response body. */
    readonly maximumResponseBytes: number;
}

/** Keeps order keys and their results until they expire. Times are passed in as arguments, in monotonic milliseconds. */
export class OrderLedger {
    private readonly entries = new Map<string, Entry>();
    private bytes = 0;

    constructor(private readonly options: CreateOrderLedgerOptions) {}

    /**
     * Decides how to handle a request with an order key, and adds the key if it is new.
     * @param key - The order key.
     * @param fingerprint - Identifies the request's content, because a key is valid for one request only; undefined matches any.
     * @param expiresAt - When the key expires.
     * @param now - The current time.
     */
    admitKey(key: string, fingerprint: string | undefined, expiresAt: number, now: number): KeyDecision {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            return this.decideExistingKey(entry, fingerprint);
        }
        if (now >= expiresAt) {
            return { kind: "refuse", error: errors.createError("orderKeyExpired") };
        }
        if (this.entries.size >= this.options.maximumKeys) {
            return { kind: "refuse", error: errors.createError("orderLedgerFull", `the instance already stores the maximum of ${this.entries.size} order keys`) };
        }
        this.entries.set(key, { fingerprint, expiresAt, bytes: 0, waiters: [] });
        return { kind: "run" };
    }

    /** Records the result of an order for which `admitKey` returned `run`; a second call for the key has no effect. */
    recordResult(key: string, result: OrderResult): void {
        const entry = this.entries.get(key);
        if (entry === undefined || entry.result !== undefined) {
            return;
        }
        entry.waiters.splice(0).forEach(resolve => resolve(result));
        entry.result = this.createStoredResult(result);
        entry.bytes = entry.result.kind === "answer" ? entry.result.response.body.length : 0;
        this.bytes += entry.bytes;
    }

    /** Returns whether the ledger contains a key. */
    hasKey(key: string): boolean {
        return this.entries.has(key);
    }

    /** Removes the expired keys whose order has finished. */
    removeExpired(now: number): void {
        for (const [key, entry] of this.entries) {
            if (entry.result !== undefined && now >= entry.expiresAt) {
                this.entries.delete(key);
                this.bytes -= entry.bytes;
            }
        }
    }

    /** Returns the number of keys whose order is running. */
    countRunning(): number {
        return [...this.entries.values()].filter(entry => entry.result === undefined).length;
    }

    /** Returns the ledger's state for the operators' dump. */
    getDump(): unknown {
        return { keys: this.entries.size, running: this.countRunning(), answerBytes: this.bytes, estimatedBytes: this.bytes + this.entries.size * overheadBytesPerKey };
    }

    private decideExistingKey(entry: Entry, fingerprint: string | undefined): KeyDecision {
        const isComparable = entry.fingerprint !== undefined && fingerprint !== undefined;
        if (isComparable && entry.fingerprint !== fingerprint) {
            return { kind: "refuse", error: errors.createError("orderKeyReused") };
        }
        if (entry.result !== undefined) {
            return { kind: "replay", result: entry.result };
        }
        return { kind: "join", result: new Promise(resolve => entry.waiters.push(resolve)) };
    }

    /** Creates the result to store. A response body that is too large is replaced by an error that keeps the outcome. */
    private createStoredResult(result: OrderResult): OrderResult {
        if (result.kind === "error") {
            return result;
        }
        const size = result.response.body.length;
        const { maximumResponseBytes: maximumAnswerBytes, maximumBytes } = this.options;
        if (size <= maximumAnswerBytes && this.bytes + size <= maximumBytes) {
            return result;
        }
        const kind = result.outcome === "executed" ? "orderAnswerNotKept" : "answerLost";
        return { kind: "error", error: errors.createError(kind, `the response body of ${size} bytes exceeds the limits and was not stored`), attempts: result.attempts };
    }
}
