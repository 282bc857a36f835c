/** The plug-in that opens the store with the adapter for its URL. */

import type * as context from "../kernel/context.js";
import * as plugins from "../kernel/plugins.js";
import * as adapterRegistry from "./adapterRegistry.js";
import * as instrumentedStore from "./instrumentedStore.js";
import "./etcdStore.js";
import "./memoryStore.js";
import * as types from "./types.js";

export { registerAdapter } from "./adapterRegistry.js";
export { type CreatePrefixCacheOptions, PrefixCache } from "./prefixCache.js";
export { storeKey, type StoreService } from "./types.js";
export type { Entry, ListResult, Store, StoreAdapter, StoreResult, SwapRequest, SwapResult, WatchEvent, WatchRequest } from "./types.js";

function createStore(shared: context.Context): types.Store {
    const adapter = adapterRegistry.findAdapter(shared.settings.store);
    if (adapter === undefined) {
        throw new Error(`no store adapter is registered for ${shared.settings.store}`);
    }
    return adapter.create(shared.settings.store, shared);
}

plugins.registerPlugin({
    name: "store",
    dependsOn: [],
    create: shared => {
        const service = new instrumentedStore.InstrumentedStore(shared, createStore(shared));
        shared.services.setService(types.storeKey, service);
        return { getDump: () => service.getDump(), stop: async () => service.close() };
    },
});
