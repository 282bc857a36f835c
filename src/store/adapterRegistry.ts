/** The registry of store adapters; each adds itself when its module is imported. */

import type * as types from "./types.js";

const adapters = new Map<string, types.StoreAdapter>();

/**
 * Registers an adapter.
 * @param adapter - The adapter.
 */
export function registerAdapter(adapter: types.StoreAdapter): void {
    adapters.set(adapter.scheme, adapter);
}

/**
 * Returns the adapter of a URL.
 * @param url - The store's URL.
 */
export function findAdapter(url: string): types.StoreAdapter | undefined {
    return [...adapters.values()].find(adapter => url.startsWith(adapter.scheme));
}
