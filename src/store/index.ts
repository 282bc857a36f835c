/** The plug-in that opens the platform's store by the adapter of its URL. */

import type { Result } from "neverthrow";
import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import * as plugins from "../kernel/plugins.js";
import * as adapters from "./adapters.js";
import "./etcdStore.js";
import "./memoryStore.js";
import * as types from "./types.js";

export { storeKey, type StoreService } from "./types.js";
export type { Entry, Listing, Store, StoreResult, SwapAnswer, SwapRequest, WatchEvent, WatchRequest } from "./types.js";

function createStoreService(shared: context.Context): types.StoreService & { readonly getDump: () => unknown; } {
    const { settings, clock, metrics, logger } = shared;
    const adapter = adapters.getAdapter(settings.store);
    if (adapter === undefined) {
        throw new Error(`no store adapter for ${settings.store}`);
    }
    const store = adapter.create(settings.store, shared);
    const calls = new promClient.Counter({ name: "agatebend_store_calls_total", help: "Calls to the store.", labelNames: ["call", "result"], registers: [metrics] });
    let lastSuccessAt = -Infinity;
    let isReachable = true;
    const count = <Parameters extends unknown[], T, E>(call: string, send: (...parameters: Parameters) => Promise<Result<T, E>>) => async (...parameters: Parameters) => {
        const result = await send(...parameters);
        calls.inc({ call, result: result.isOk() ? "ok" : "failed" });
        if (result.isOk()) {
            lastSuccessAt = clock.getNow();
        }
        if (result.isOk() !== isReachable) {
            isReachable = result.isOk();
            const write = isReachable ? logger.writeInfo : logger.writeWarning;
            write(isReachable ? "store-reachable" : "store-unreachable", isReachable ? "the store answers again" : "a call to the store failed", { call, error: result.isErr() ? JSON.stringify(result.error) : undefined });
        }
        return result;
    };
    const getSilenceMs = () => clock.getNow() - lastSuccessAt;
    return {
        listEntries: count("list", store.listEntries),
        getEntry: count("get", store.getEntry),
        swapEntry: count("swap", store.swapEntry),
        createLease: count("lease", store.createLease),
        sendKeepAlive: count("keepAlive", store.sendKeepAlive),
        removeLease: count("removeLease", store.removeLease),
        watchPrefix: request => {
            calls.inc({ call: "watch", result: "ok" });
            return store.watchPrefix(request);
        },
        close: store.close,
        getPrefix: () => settings.storePrefix,
        getSilenceMs,
        getDump: () => ({ url: settings.store, isReachable, silenceMs: Number.isFinite(getSilenceMs()) ? Math.round(getSilenceMs()) : "never reached" }),
    };
}

plugins.registerPlugin({
    name: "store",
    dependsOn: [],
    create: shared => {
        const service = createStoreService(shared);
        shared.services.setService(types.storeKey, service);
        return { getDump: service.getDump, stop: async () => service.close() };
    },
});
