/** A store inside the process, for one instance alone; what it holds is gone with the process. */

import { ok } from "neverthrow";
import * as adapterRegistry from "./adapterRegistry.js";
import type * as types from "./types.js";

/** The embedded store. */
export class MemoryStore implements types.Store {
    private readonly entries = new Map<string, types.Entry>();
    private readonly watches = new Set<types.WatchRequest>();
    private revision = 0;
    private leases = 0;

    /** Returns the entries whose keys begin with a prefix. */
    readonly listEntries = async (prefix: string) => ok({ entries: [...this.entries.values()].filter(entry => entry.key.startsWith(prefix)), revision: this.revision });

    /** Returns one entry. */
    readonly getEntry = async (key: string) => ok(this.entries.get(key));

    /** Writes a key if its revision is the expected one. */
    readonly swapEntry = async (request: types.SwapRequest) => {
        const current = this.entries.get(request.key);
        if ((current?.revision ?? 0) !== request.expectedRevision) {
            return ok<types.SwapResult>({ kind: "conflict", current });
        }
        this.revision += 1;
        const entry = { key: request.key, value: request.value, revision: this.revision };
        this.entries.set(request.key, entry);
        this.sendEvent({ kind: "put", entry });
        return ok<types.SwapResult>({ kind: "swapped", revision: this.revision });
    };

    /** Creates a lease; it lasts as long as the process, as everything here does. */
    readonly createLease = async () => {
        this.leases += 1;
        return ok(String(this.leases));
    };

    readonly sendKeepAlive = async () => ok(undefined);

    readonly removeLease = async () => ok(undefined);

    /** Watches a prefix. */
    readonly watchPrefix = (request: types.WatchRequest) => {
        this.watches.add(request);
        return () => {
            this.watches.delete(request);
        };
    };

    readonly close = () => {
        this.watches.clear();
    };

    private sendEvent(event: { readonly kind: "put"; readonly entry: types.Entry; }): void {
        [...this.watches]
            .filter(watch => event.entry.key.startsWith(watch.prefix))
            .forEach(watch => watch.onEvent(event));
    }
}

adapterRegistry.registerAdapter({ scheme: "memory:", create: () => new MemoryStore() });
