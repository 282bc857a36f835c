/**
 * Guards against a client that uses revisions and leases of contents which the store no longer has. The store gives both out
 * again after it returned with an older copy.
 */

import * as promClient from "prom-client";
import tap from "tap";
import * as kvStore from "../../platform/kvStore.js";
import type * as context from "../../src/kernel/context.js";
import type * as store from "../../src/store/index.js";
import * as processes from "../harness/processes.js";
import * as standIn from "../standins/kvStore.js";

async function startFixture(t: Pick<typeof tap, "teardown">) {
    const { port, controlPort } = await standIn.startKvStore();
    const setBehaviour = (change: object) => processes.sendRequest(`http://127.0.0.1:${controlPort}/`, { method: "POST", body: JSON.stringify(change) });
    const restore = async (options: object = {}) => {
        await setBehaviour({ restoreCopy: options });
        // The client notices the end of its connections.
        await new Promise(resolve => setTimeout(resolve, 50));
    };
    const createClient = () => {
        const client = new kvStore.KvStore({
            host: "127.0.0.1",
            port,
            timeoutMs: 2_000,
            context: { clock: { getNow: () => performance.now() }, loop: { scheduleOnce: (delayMs: number, task: () => void) => setTimeout(task, delayMs) }, logger: {}, metrics: new promClient.Registry() } as unknown as context.Context,
        });
        t.teardown(() => client.close());
        return client;
    };
    return { setBehaviour, restore, createClient };
}

void tap.test("the store's generation", async t => {
    t.teardown(() => setTimeout(() => process.exit(), 200).unref());
    const { setBehaviour, restore, createClient } = await startFixture(t);
    const client = createClient();
    const learned: (readonly [number, number | undefined])[] = [];
    client.generation.addListener((generation, previous) => learned.push([generation, previous]));

    await t.test("is learned from any response, also from one that refuses", async t => {
        t.equal(client.generation.getCurrent(), undefined);
        t.equal((await client.getEntry("k/none"))._unsafeUnwrap(), undefined);
        t.strictSame(learned, [[1, undefined]]);
        await setBehaviour({ takeCopy: true, put: { "k/a": "1" } });
        await restore();
        await setBehaviour({ failure: "busy" });
        t.ok((await client.getEntry("k/a")).isErr());
        await setBehaviour({ failure: "none" });
        t.strictSame(learned, [[1, undefined], [2, 1]]);
    });

    await t.test("makes a write uncertain whose expected revision is of contents that are gone", async t => {
        await setBehaviour({ takeCopy: true });
        const lease = (await client.createLease(60_000))._unsafeUnwrap();
        t.equal((await client.swapEntry({ key: "k/own", value: "1", expectedRevision: 0, leaseId: lease }))._unsafeUnwrap().kind, "swapped");
        await restore();
        const crossing = await client.swapEntry({ key: "k/b", value: "1", expectedRevision: 0 });
        t.match(crossing._unsafeUnwrapErr().message, /may have taken effect/);
        t.equal((await client.swapEntry({ key: "k/c", value: "1", expectedRevision: 0 }))._unsafeUnwrap().kind, "swapped");

        const other = createClient();
        const otherLease = (await other.createLease(60_000))._unsafeUnwrap();
        t.equal((await other.swapEntry({ key: "k/other", value: "1", expectedRevision: 0, leaseId: otherLease }))._unsafeUnwrap().kind, "swapped");
        t.ok((await client.swapEntry({ key: "k/d", value: "1", expectedRevision: 0, leaseId: lease })).isErr(), "a lease of the earlier generation");
        t.ok((await client.removeLease(lease)).isErr());
        t.ok((await client.sendKeepAlive(lease)).isErr());
        t.ok((await other.getEntry("k/other"))._unsafeUnwrap() !== undefined, "the other's lease is not ended");
    });

    await t.test("ends watches, and later ones report events whose revisions were known before", async t => {
        const events: store.WatchEvent[] = [];
        let endings = 0;
        const listing = (await client.listEntries("w/"))._unsafeUnwrap();
        await setBehaviour({ takeCopy: true });
        const request = (fromRevision: number): store.WatchRequest => ({ prefix: "w/", fromRevision, onEvent: event => events.push(event), onBroken: () => endings += 1 });
        client.watchPrefix(request(listing.revision + 1));
        await setBehaviour({ put: { "w/a": "1", "w/b": "1" } });
        await processes.waitFor("the first events", () => events.length === 2);
        const before = events.map(event => event.kind === "put" ? event.entry.revision : 0);
        await restore({ rewriteAfterMs: 100_000 });
        await processes.waitFor("the end of the watch", () => endings === 1);
        const restored = (await client.listEntries("w/"))._unsafeUnwrap();
        t.equal(restored.generation, client.generation.getCurrent());
        t.ok(restored.revision < Math.max(...before));
        const close = client.watchPrefix(request(restored.revision + 1));
        await setBehaviour({ put: { "w/c": "1" } });
        await processes.waitFor("an event with a revision that was given out before", () => events.length === 3);
        const last = events.at(-1)!;
        t.ok(last.kind === "put" && last.entry.key === "w/c" && last.entry.revision <= Math.max(...before));
        close();
    });
});
