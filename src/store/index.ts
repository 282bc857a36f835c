/** The plug-in that opens the store with the adapter for its URL. */

import type * as context from "../kernel/context.js";
import * as plugins from "../kernel/plugins.js";
import * as adapterRegistry from "./adapterRegistry.js";
import * as instrumentedStore from "./instrumentedStore.js";
import "./etcdStore.js";
import "./memoryStore.js";
import * as types from "./types.js";

export { registerAdapter } from "./adapterRegistry.js";
export { PrefixCache } from "./prefixCache.js";
export type { CreatePrefixCacheOptions } from "./prefixCacheOptions.js";
export type { DecideOrder, EntryOrder } from "./restoredEntries.js";
export { StoreGeneration } from "./storeGeneration.js";
export { storeKey, type StoreService } from "./types.js";
export type { Entry, ListResult, PeerChanges, PeerEntries, PeerPosition, Store, StoreAdapter, StoreResult, SwapRequest, SwapResult, WatchEvent, WatchRequest } from "./types.js";

function createStore(context: context.Context): types.Store {
    const adapter = adapterRegistry.findAdapter(context.settings.store);
    if (adapter === undefined) {
        throw new Error(`no store adapter is registered for ${context.settings.store}`);
    }
    return adapter.create(context.settings.store, context);
}

plugins.registerPlugin({
    name: "store",
    dependsOn: [],
    create: context => {
        const service = new instrumentedStore.InstrumentedStore(context, createStore(context));
        context.services.setService(types.storeKey, service);
        return { getDump: () => service.getDump(), stop: async () => service.close() };
    },
});
