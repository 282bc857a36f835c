/** The store service for plug-ins. It counts the calls and logs when the store becomes unreachable or reachable again. */

import type { Result } from "neverthrow";
import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import type * as storeGeneration from "./storeGeneration.js";
import type * as types from "./types.js";

/** Counts the calls to a store and records when one last succeeded. */
export class InstrumentedStore implements types.StoreService {
    private readonly callCounter: promClient.Counter<"call" | "result">;
    private readonly byteCounter: promClient.Counter<"direction" | "call">;
    private lastSuccessAt = -Infinity;
    private isReachable = true;

    constructor(private readonly context: context.Context, private readonly store: types.Store) {
        this.callCounter = new promClient.Counter({ name: "agatebend_store_calls_total", help: "Calls to the store.", labelNames: ["call", "result"], registers: [context.metrics] });
        this.byteCounter = new promClient.Counter({
            name: "agatebend_store_bytes_total",
            help: "Bytes of keys and values sent to the store and received from it, without what the protocol adds.",
            labelNames: ["direction", "call"],
            registers: [context.metrics],
        });
        const gauge: promClient.Gauge = new promClient.Gauge({
            name: "agatebend_store_reachable",
            help: "1 while the last call to the store succeeded.",
            registers: [context.metrics],
            collect: () => gauge.set(this.isReachable ? 1 : 0),
        });
        const restoreCounter = new promClient.Counter({ name: "agatebend_store_restores_total", help: "How often the store was seen to return with an older copy of its contents.", registers: [context.metrics] });
        store.generation?.addListener((generation, previous) => {
            if (previous === undefined) {
                return;
            }
            restoreCounter.inc();
            context.logger.writeWarning("store-restored", `the store returned with an older copy of its contents: generation ${generation} replaces ${previous}`, { generation, previous });
        });
    }

    readonly listEntries = async (prefix: string) => {
        const result = await this.recordCall("list", this.store.listEntries(prefix));
        return result.map(list => {
            list.entries.forEach(entry => this.recordBytes("received", "list", entry));
            return list;
        });
    };

    readonly getEntry = async (key: string) => {
        const result = await this.recordCall("get", this.store.getEntry(key));
        return result.map(entry => {
            this.recordBytes("received", "get", entry ?? { key: "", value: "" });
            return entry;
        });
    };

    readonly swapEntry = (request: types.SwapRequest) => {
        this.recordBytes("sent", "swap", request);
        return this.recordCall("swap", this.store.swapEntry(request));
    };

    readonly createLease = (ttlMs: number) => this.recordCall("lease", this.store.createLease(ttlMs));

    readonly sendKeepAlive = (leaseId: string) => this.recordCall("keepAlive", this.store.sendKeepAlive(leaseId));

    readonly removeLease = (leaseId: string) => this.recordCall("removeLease", this.store.removeLease(leaseId));

    readonly watchPrefix = (request: types.WatchRequest) => {
        this.callCounter.inc({ call: "watch", result: "ok" });
        return this.store.watchPrefix({
            ...request,
            onEvent: event => {
                this.recordBytes("received", "watch", event.kind === "put" ? event.entry : { key: event.key, value: "" });
                request.onEvent(event);
            },
        });
    };

    readonly close = () => this.store.close();

    /** Whether watches report the store's answers. */
    get reportsProgress(): boolean {
        return this.store.reportsProgress === true;
    }

    /** The generation of the store's contents; undefined if the store does not tell it. */
    get generation(): storeGeneration.StoreGeneration | undefined {
        return this.store.generation;
    }

    /** Returns the prefix of every key in the store. */
    readonly getPrefix = () => this.context.settings.storePrefix;

    /** Returns the milliseconds since a call last succeeded; Infinity before the first success. */
    readonly getTimeSinceSuccessMs = () => this.context.clock.getNow() - this.lastSuccessAt;

    /** Returns the state of the store for the diagnostic dump. */
    getDump(): unknown {
        const timeSinceSuccessMs = this.getTimeSinceSuccessMs();
        return { url: this.context.settings.store, isReachable: this.isReachable, generation: this.generation?.getCurrent(), silenceMs: Number.isFinite(timeSinceSuccessMs) ? Math.round(timeSinceSuccessMs) : "never reached" };
    }

    private recordBytes(direction: "sent" | "received", call: string, { key, value }: { readonly key: string; readonly value: string; }): void {
        this.byteCounter.inc({ direction, call }, Buffer.byteLength(key) + Buffer.byteLength(value));
    }

    private async recordCall<T>(call: string, pending: Promise<Result<T, errors.FleetError>>): Promise<Result<T, errors.FleetError>> {
        const result = await pending;
        this.callCounter.inc({ call, result: result.isOk() ? "ok" : "failed" });
        if (result.isOk()) {
            this.recordSuccess();
            return result;
        }
        this.recordFailure(call, result.error);
        return result;
    }

    private recordSuccess(): void {
        this.lastSuccessAt = this.context.clock.getNow();
        if (!this.isReachable) {
            this.isReachable = true;
            this.context.logger.writeInfo("store-reachable", "the store is reachable again");
        }
    }

    private recordFailure(call: string, error: errors.FleetError): void {
        if (this.isReachable) {
            this.isReachable = false;
            this.context.logger.writeWarning("store-unreachable", `a call to the store failed: ${error.message}`, { call });
        }
    }
}
