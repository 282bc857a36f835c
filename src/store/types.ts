/** The interface to the key-value store of the platform. */

import type { Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as storeGeneration from "./storeGeneration.js";

/** A key and its stored value. */
export interface Entry {
    readonly key: string;
    readonly value: string;
    /** The revision of the store at the last write to the key; 0 if that was before the store returned with an older copy. */
    readonly revision: number;
}

/** A compare-and-swap request. */
export interface SwapRequest {
    readonly key: string;
    /** The revision that the key must have; 0 if the key must not exist. */
    readonly expectedRevision: number;
    readonly value: string;
    /** The lease that the key is bound to; the key is removed when the lease ends. */
    readonly leaseId?: string;
}

/** The result of a compare-and-swap. A conflict carries the entry that the key has instead, if any. */
export type SwapResult =
    | { readonly kind: "swapped"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly current?: Entry; };

/** A change reported by a watch. */
export type WatchEvent =
    | { readonly kind: "put"; readonly entry: Entry; }
    /** `revision` is that of the removal. */
    | { readonly kind: "removed"; readonly key: string; readonly revision: number; };

/** The parameters of a watch. */
export interface WatchRequest {
    readonly prefix: string;
    /** The first revision to report. */
    readonly fromRevision: number;
    readonly onEvent: (event: WatchEvent) => void;
    /**
     * Called once when the watch ends without being closed: `wasUnreachable` is true if the store was unreachable, and
     * false if it no longer has the requested revisions.
     */
    readonly onBroken: (wasUnreachable: boolean) => void;
    /** Returns the longest time without an answer of the store that suits the watcher, in milliseconds; infinite if any does. */
    readonly getMaximumWaitMs?: () => number;
    /** Called whenever the store has answered, after the events of the answer, with the time until its next answer is due; not all stores do. */
    readonly onProgress?: (dueMs: number) => void;
    /** Called when a call has failed. The watch goes on by itself. */
    readonly onInterrupted?: () => void;
    /** Called when the watch continues without a lost event after the store was unreachable. */
    readonly onResumed?: () => void;
}

/** The result of a read of several keys. */
export interface ListResult {
    readonly entries: readonly Entry[];
    /** The revision of the store at the time of the read. */
    readonly revision: number;
    /** The generation of the store's contents; undefined if the store does not tell it. */
    readonly generation?: number;
}

/** Where a peer's entries come from, which tells whether they are newer than those in use. */
export interface PeerPosition {
    /** The generation of the store; undefined if the peer does not know it. */
    readonly generation?: number;
    /** The revision up to which the peer has all changes; undefined if it does not know it. */
    readonly revision?: number;
}

/** All entries of a peer. */
export interface PeerEntries extends PeerPosition {
    readonly entries: readonly Entry[];
}

/** The changes of a peer's entries, with its position after them. */
export interface PeerChanges extends PeerPosition {
    readonly changed: readonly Entry[];
    readonly removedKeys: readonly string[];
}

/** The result of a call. An error is always `storeUnavailable`; a write that failed may still have taken effect. */
export type StoreResult<T> = Promise<Result<T, errors.FleetError>>;

/** A key-value store with revisions, leases and watches. */
export interface Store {
    readonly listEntries: (prefix: string) => StoreResult<ListResult>;
    readonly getEntry: (key: string) => StoreResult<Entry | undefined>;
    readonly swapEntry: (request: SwapRequest) => StoreResult<SwapResult>;
    readonly createLease: (ttlMs: number) => StoreResult<string>;
    readonly sendKeepAlive: (leaseId: string) => StoreResult<void>;
    readonly removeLease: (leaseId: string) => StoreResult<void>;
    /** Watches a prefix; the returned function closes the watch. */
    readonly watchPrefix: (request: WatchRequest) => () => void;
    readonly close: () => void;
    /** Whether watches report the store's answers by `onProgress`; an instance follows peers only if they do. */
    readonly reportsProgress?: boolean;
    /** The generation of the contents, learned from all responses; not all stores tell it. */
    readonly generation?: storeGeneration.StoreGeneration;
}

/** The store service that plug-ins use. */
export interface StoreService extends Store {
    /** Returns the prefix of every key in the store. */
    readonly getPrefix: () => string;
    /** Returns the milliseconds since a call last succeeded; Infinity before the first success. */
    readonly getTimeSinceSuccessMs: () => number;
}

/** Creates stores for one URL scheme. */
export interface StoreAdapter {
    /** The beginning of the URLs that the adapter handles, such as `memory:`. */
    readonly scheme: string;
    readonly create: (url: string, context: context.Context) => Store;
}

/** The registry key of the store service. */
export const storeKey = serviceRegistry.createServiceKey<StoreService>("store");
