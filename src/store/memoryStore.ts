/** An in-memory store for a single instance. Its contents are lost when the process ends. */

import { ok } from "neverthrow";
import * as adapterRegistry from "./adapterRegistry.js";
import type * as types from "./types.js";

/** A store in the memory of the process. */
export class MemoryStore implements types.Store {
    private readonly entries = new Map<string, types.Entry>();
    private readonly watches = new Set<types.WatchRequest>();
    private revision = 0;
    private leaseCount = 0;

    /** Lists the entries whose keys begin with a prefix. */
    readonly listEntries = async (prefix: string) => ok({ entries: [...this.entries.values()].filter(entry => entry.key.startsWith(prefix)), revision: this.revision });

    /** Returns the entry of a key; undefined if there is none. */
    readonly getEntry = async (key: string) => ok(this.entries.get(key));

    /** Writes a key if its revision is the expected one; 0 stands for a key that does not exist. */
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

    /** Creates a lease, which never expires: the entries live as long as the process. */
    readonly createLease = async () => {
        this.leaseCount += 1;
        return ok(String(this.leaseCount));
    };

    readonly sendKeepAlive = async () => ok(undefined);

    readonly removeLease = async () => ok(undefined);

    /** Watches a prefix; the returned function closes the watch. */
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
