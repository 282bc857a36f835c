/** Guards against store traffic that is missing from the metrics. */

import { ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import type * as context from "../../src/kernel/context.js";
import * as instrumentedStore from "../../src/store/instrumentedStore.js";
import type * as store from "../../src/store/index.js";

void tap.test("the bytes of store calls", async t => {
    const registry = new promClient.Registry();
    const entry = { key: "k/1", value: "größer", revision: 1 };
    let sendEvent: (event: store.WatchEvent) => void = () => {};
    const wrapped = {
        listEntries: () => Promise.resolve(ok({ entries: [entry, entry], revision: 1 })),
        getEntry: (key: string) => Promise.resolve(ok(key === entry.key ? entry : undefined)),
        swapEntry: () => Promise.resolve(ok({ kind: "swapped", revision: 2 })),
        watchPrefix: (request: store.WatchRequest) => {
            sendEvent = request.onEvent;
            return () => {};
        },
    } as unknown as store.Store;
    const instrumented = new instrumentedStore.InstrumentedStore({ clock: clock.createVirtualClock(), metrics: registry } as unknown as context.Context, wrapped);
    t.strictSame((await instrumented.listEntries("k/"))._unsafeUnwrap().entries, [entry, entry]);
    t.strictSame((await instrumented.getEntry(entry.key))._unsafeUnwrap(), entry);
    t.equal((await instrumented.getEntry("k/2"))._unsafeUnwrap(), undefined);
    await instrumented.swapEntry({ key: "k/1", value: "four", expectedRevision: 1 });
    const events: store.WatchEvent[] = [];
    instrumented.watchPrefix({ prefix: "k/", fromRevision: 1, onEvent: event => events.push(event), onBroken: () => {} });
    sendEvent({ kind: "put", entry });
    sendEvent({ kind: "removed", key: "k/1", revision: 2 });
    t.equal(events.length, 2);
    const metrics = await registry.metrics();
    for (const [labels, bytes] of [["received\",call=\"list", 22], ["received\",call=\"get", 11], ["sent\",call=\"swap", 7], ["received\",call=\"watch", 14]] as const) {
        t.match(metrics, `agatebend_store_bytes_total{direction="${labels}"} ${bytes}\n`);
    }
});
