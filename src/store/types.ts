/** The platform port: what the fleet needs of the platform's key-value service. */

import type { Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";

/** A stored value. */
export interface Entry {
    readonly key: string;
    readonly value: string;
    /** The store's revision of the last write to the key. */
    readonly revision: number;
}

/** A compare-and-swap. */
export interface SwapRequest {
    readonly key: string;
    /** The revision the key must have; 0 for a key that must not exist. */
    readonly expectedRevision: number;
    readonly value: string;
    /** The lease whose end removes the key. */
    readonly leaseId?: string;
}

/** The answer to a compare-and-swap. */
export type SwapResult =
    | { readonly kind: "swapped"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly current?: Entry; };

/** A change seen by a watch. */
export type WatchEvent =
    | { readonly kind: "put"; readonly entry: Entry; }
    | { readonly kind: "removed"; readonly key: string; };

/** A watch's parameters. */
export interface WatchRequest {
    readonly prefix: string;
    /** The first revision to report. */
    readonly fromRevision: number;
    readonly onEvent: (event: WatchEvent) => void;
    /** Called once when the watch ends without being closed; tells whether the store was away, rather than its history gone. */
    readonly onBroken: (wasAway: boolean) => void;
    /** Called when the watch goes on, with no event lost, after the store was away. */
    readonly onResumed?: () => void;
}

/** What a read of several keys returns. */
export interface ListResult {
    readonly entries: readonly Entry[];
    /** The store's revision at the read. */
    readonly revision: number;
}

/** The answer to a call: an error is always `storeUnavailable`, and a failed write may have taken effect. */
export type StoreResult<T> = Promise<Result<T, errors.FleetError>>;

/** The platform's key-value service. */
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
}

/** The store as plug-ins use it. */
export interface StoreService extends Store {
    /** Returns the prefix of every key. */
    readonly getPrefix: () => string;
    /** Returns milliseconds since a call last succeeded; Infinity before the first. */
    readonly getTimeSinceSuccessMs: () => number;
}

/** Makes a store for one URL scheme. */
export interface StoreAdapter {
    /** The scheme, such as `memory:`. */
    readonly scheme: string;
    readonly create: (url: string, context: context.Context) => Store;
}

/** The key of the store service. */
export const storeKey = serviceRegistry.createServiceKey<StoreService>("store");
