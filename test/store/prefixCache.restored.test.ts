/**
 * Guards against a cache that reverts to what a restored store returned with: such a store lists entries that were replaced
 * or removed since its copy was taken, and gives their revisions out again.
 */

import { err, ok } from "neverthrow";
import tap from "tap";
import type * as context from "../../src/kernel/context.js";
import * as errors from "../../src/kernel/errors.js";
import * as prefixCache from "../../src/store/prefixCache.js";
import type * as restoredEntries from "../../src/store/restoredEntries.js";
import type * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";

async function runPending(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
        await Promise.resolve();
    }
}

/** Orders values of the form NUMBER:TEXT by their number; others have no order. */
const decideOrder: restoredEntries.DecideOrder = (entry, known) => {
    const [number, knownNumber] = [entry, known].map(({ value }) => Number(value.split(":")[0]));
    if (Number.isNaN(number) || Number.isNaN(knownNumber)) {
        return "unknown";
    }
    return number === knownNumber ? "same" : number! < knownNumber! ? "older" : "newer";
};

function createFixture(isOrdered: boolean) {
    const time = new virtualTime.VirtualTime();
    let listing: unknown = err(errors.createError("storeUnavailable"));
    let watch: store.WatchRequest | undefined;
    let seen = "";
    let reads = 0;
    const cache = new prefixCache.PrefixCache({
        context: {
            clock: { getNow: () => time.now },
            loop: { scheduleOnce: time.scheduleOnce, scheduleRepeatedly: () => () => {} },
            logger: { writeInfo: () => {}, writeWarning: () => {}, writeError: () => {} },
        } as unknown as context.Context,
        store: {
            listEntries: async () => {
                reads += 1;
                return listing;
            },
            watchPrefix: (request: store.WatchRequest) => {
                watch = request;
                return () => {};
            },
        } as unknown as store.StoreService,
        prefix: "k/",
        onChange: entries => {
            seen = [...entries.values()].map(({ key, value }) => `${key.slice(2)}=${value}`).sort().join(" ");
        },
        ...(isOrdered ? { decideOrder } : {}),
    });
    const setListing = (generation: number, revision: number, ...entries: readonly (readonly [key: string, value: string, revision: number])[]) => {
        listing = ok({ entries: entries.map(([key, value, at]) => ({ key: `k/${key}`, value, revision: at })), revision, generation });
    };
    return {
        cache,
        setListing,
        getSeen: () => seen,
        countReads: () => reads,
        put: async (key: string, value: string, revision: number) => {
            watch!.onEvent({ kind: "put", entry: { key: `k/${key}`, value, revision } });
            await runPending();
        },
        remove: async (key: string, revision: number) => {
            watch!.onEvent({ kind: "removed", key: `k/${key}`, revision });
            await runPending();
        },
        /** Ends the watch, as a new generation of the store does. */
        restart: async () => {
            watch!.onBroken(true);
            time.addTime(0);
            await runPending();
        },
        wait: async (durationMs: number) => {
            time.addTime(durationMs);
            await runPending();
        },
        start: async () => {
            cache.start();
            await runPending();
        },
    };
}

void tap.test("entries whose contents tell their order", async t => {
    const fixture = createFixture(true);
    fixture.setListing(1, 100, ["a", "1:ready", 90], ["b", "1:ready", 91], ["c", "1:ready", 92]);
    await fixture.start();
    await fixture.put("a", "2:draining", 110);
    await fixture.put("d", "1:ready", 111);
    await fixture.remove("b", 112);
    t.equal(fixture.getSeen(), "a=2:draining c=1:ready d=1:ready");

    fixture.setListing(2, 101, ["a", "1:ready", 90], ["b", "1:ready", 91], ["c", "2:ready", 101]);
    await fixture.restart();
    t.equal(fixture.getSeen(), "a=2:draining c=2:ready d=1:ready", "replaced and removed entries do not come back, missing ones stay, newer ones are used");
    t.strictSame([...fixture.cache.listEntries()].sort((x, y) => x.key < y.key ? -1 : 1).map(({ revision }) => revision), [0, 101, 0], "revisions of the earlier generation are not kept");

    await fixture.put("d", "2:draining", 102);
    t.equal(fixture.getSeen(), "a=2:draining c=2:ready d=2:draining", "an event with a lower revision than the known one is used");
    fixture.setListing(2, 103, ["a", "1:ready", 90], ["b", "1:ready", 91], ["c", "2:ready", 101], ["d", "2:draining", 102]);
    await fixture.restart();
    t.equal(fixture.getSeen(), "a=2:draining c=2:ready d=2:draining", "a later read of the same generation");

    fixture.setListing(2, 110, ["a", "3:ready", 104], ["b", "2:ready", 105], ["c", "2:ready", 101], ["d", "2:draining", 102]);
    await fixture.restart();
    t.equal(fixture.getSeen(), "a=3:ready b=2:ready c=2:ready d=2:draining", "entries that were written again");
});

void tap.test("entries without an order are held back until their writers have written them again", async t => {
    const fixture = createFixture(false);
    fixture.setListing(1, 100, ["a", "old", 90], ["b", "old", 91], ["c", "old", 92]);
    await fixture.start();
    await fixture.put("a", "new", 110);
    await fixture.put("c", "new", 111);
    await fixture.remove("b", 112);
    fixture.setListing(2, 112, ["a", "old", 90], ["b", "old", 91], ["c", "newest", 112]);
    await fixture.restart();
    t.equal(fixture.getSeen(), "a=new c=newest");
    const reads = fixture.countReads();
    await fixture.wait(1_400);
    t.equal(fixture.getSeen(), "a=new c=newest");
    await fixture.wait(200);
    t.equal(fixture.countReads(), reads + 1, "one more read");
    t.equal(fixture.getSeen(), "a=old b=old c=newest", "what nobody wrote again is the truth");
});

// An instance that starts while the store is away borrows a peer's entries.
void tap.test("borrowed entries are not replaced by older ones of the first read", async t => {
    const fixture = createFixture(true);
    await fixture.start();
    fixture.cache.setPeerEntries([{ key: "k/a", value: "2:draining", revision: 500 }, { key: "k/b", value: "1:ready", revision: 501 }]);
    fixture.setListing(2, 101, ["a", "1:ready", 90], ["b", "2:ready", 95], ["c", "1:ready", 96]);
    await fixture.wait(100);
    t.equal(fixture.getSeen(), "a=2:draining b=2:ready c=1:ready");
    await fixture.put("a", "3:ready", 102);
    t.equal(fixture.getSeen(), "a=3:ready b=2:ready c=1:ready");
});

void tap.test("a follower that never read the store takes the entries of each newer generation", async t => {
    const fixture = createFixture(true);
    fixture.cache.setEntries({ entries: [{ key: "k/a", value: "1:ready", revision: 500 }], generation: 1 });
    fixture.cache.setEntries({ entries: [{ key: "k/a", value: "2:ready", revision: 120 }], generation: 2 });
    t.equal(fixture.getSeen(), "a=2:ready");
});

void tap.test("a follower", async t => {
    const fixture = createFixture(true);
    fixture.setListing(1, 100, ["a", "1:ready", 90]);
    await fixture.start();
    await fixture.put("a", "2:draining", 500);
    const createEntry = (value: string, revision: number) => [{ key: "k/a", value, revision }];

    await t.test("keeps its newer entry over that of a peer in the same generation", async t => {
        fixture.cache.setEntries({ entries: createEntry("1:ready", 90), generation: 1 });
        t.equal(fixture.getSeen(), "a=2:draining");
    });

    await t.test("takes the entries of a peer in a newer generation, and their changes with lower revisions", async t => {
        fixture.cache.setEntries({ entries: createEntry("2:draining", 0), generation: 2 });
        fixture.cache.applyChanges({ changed: createEntry("3:ready", 120), removedKeys: [], generation: 2 });
        t.equal(fixture.getSeen(), "a=3:ready");
    });

    await t.test("keeps its newer entry over that of a peer that does not know the newer generation yet", async t => {
        fixture.cache.setEntries({ entries: createEntry("2:draining", 110), generation: 1 });
        t.equal(fixture.getSeen(), "a=3:ready");
    });

    await t.test("ignores the changes of such a peer, whose revisions are higher", async t => {
        fixture.cache.applyChanges({ changed: createEntry("2:draining", 510), removedKeys: [], generation: 1, revision: 510 });
        fixture.cache.applyChanges({ changed: [], removedKeys: ["k/a"], generation: 1, revision: 511 });
        t.equal(fixture.getSeen(), "a=3:ready");
    });
});
