/** Many entries that go missing at once cost few questions to peers. */

import { err, ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as directory from "../../src/discovery/directory.js";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";
import * as services from "../../src/kernel/services.js";
import type * as store from "../../src/store/index.js";

const entryCount = 30;

function createEntry(index: number): store.Entry {
    const definition = { id: `u${index}`, address: `127.0.0.1:${1_000 + index}`, failureDomain: "north" };
    return { key: `servers/u${index}`, value: JSON.stringify({ service: "desk", definition }), revision: index + 1 };
}

/** Runs what waits for promises, without time passing. */
async function runPending(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
        await Promise.resolve();
    }
}

/** A directory before a store and a peer that answer when they are told to. */
function createSite(listings: unknown[]) {
    const tasks: (() => void)[] = [];
    const answers: (() => void)[] = [];
    const discovered: number[] = [];
    let watch: store.WatchRequest | undefined;
    const fake = {
        context: {
            settings: { upstreamDirectory: "servers/" },
            clock: clock.createVirtualClock(),
            metrics: new promClient.Registry(),
            services: new services.Services(),
            randomness: { getFraction: () => 0 },
            logger: { writeInfo: () => {}, writeWarning: () => {} },
            loop: { scheduleOnce: (_delayMs: number, task: () => void) => void tasks.push(task), scheduleRepeatedly: () => () => {} },
        },
        store: {
            listEntries: async () => listings.shift(),
            watchPrefix: (request: store.WatchRequest) => {
                watch = request;
                return () => {};
            },
        },
        pool: { setDiscovered: (found: readonly unknown[]) => discovered.push(found.length) },
        mesh: {
            setHandler: () => {},
            listLinkedPeers: () => ["peer"],
            sendRequest: () => new Promise(resolve => answers.push(() => resolve(ok({ steadyMs: 60_000, entries: [] })))),
        },
    };
    const created = new directory.UpstreamDirectory(fake as unknown as directory.CreateUpstreamDirectoryOptions);
    created.start();
    return { tasks, answers, discovered, getWatch: () => watch! };
}

const allEntries = Array.from({ length: entryCount }, (_, index) => createEntry(index));

void tap.test("entries that are missing after an outage", async t => {
    const { tasks, answers, discovered, getWatch } = createSite([
        ok({ entries: allEntries, revision: 100 }),
        err(errors.createError("internal")),
        ok({ entries: allEntries, revision: 101 }),
    ]);
    await runPending();
    t.equal(discovered.at(-1), entryCount);
    getWatch().onBroken(true);
    tasks.shift()!();
    await runPending();
    tasks.shift()!();
    await runPending();
    allEntries.forEach(({ key }) => getWatch().onEvent({ kind: "removed", key }));
    await runPending();
    t.equal(discovered.at(-1), entryCount, "they may return");
    t.equal(answers.length, 1, "one question for all of them");
    answers.shift()!();
    await runPending();
    t.equal(discovered.at(-1), 0, "the peer that followed the store all the while lacks them");
    t.ok(answers.length <= 1, "and one more for what came meanwhile");
});

void tap.test("events of the directory", async t => {
    const { discovered, getWatch } = createSite([ok({ entries: allEntries, revision: 100 })]);
    await runPending();
    t.strictSame(discovered, [entryCount]);
    allEntries.forEach(entry => getWatch().onEvent({ kind: "put", entry: { ...entry, value: `${entry.value} `, revision: entry.revision + 100 } }));
    await runPending();
    t.strictSame(discovered, [entryCount], "signs of life trouble the pools with nothing");
    getWatch().onEvent({ kind: "removed", key: "servers/u1" });
    getWatch().onEvent({ kind: "removed", key: "servers/u2" });
    getWatch().onEvent({ kind: "put", entry: { ...createEntry(3), value: createEntry(3).value.replace("north", "south") } });
    await runPending();
    t.strictSame(discovered, [entryCount, entryCount - 2], "what arrives together is taken over at once");
    getWatch().onEvent({ kind: "put", entry: createEntry(1) });
    await runPending();
    t.strictSame(discovered, [entryCount, entryCount - 2, entryCount - 1], "an entry that returns is found again");
    getWatch().onEvent({ kind: "put", entry: { ...createEntry(1), value: "not JSON" } });
    await runPending();
    t.equal(discovered.at(-1), entryCount - 2, "one that can't be read names no upstream");
});
