/** The registry of store adapters. Each adapter registers itself when its module is imported. */

import type * as types from "./types.js";

const adapters = new Map<string, types.StoreAdapter>();

/** Registers an adapter; replaces an earlier one for the same scheme. */
export function registerAdapter(adapter: types.StoreAdapter): void {
    adapters.set(adapter.scheme, adapter);
}

/** Returns the adapter for the scheme of a store URL; undefined if there is none. */
export function findAdapter(url: string): types.StoreAdapter | undefined {
    return [...adapters.values()].find(adapter => url.startsWith(adapter.scheme));
}
