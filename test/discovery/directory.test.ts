/** Guards against a burst of peer requests or pool updates when many directory entries change at once. */

import { err, ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as translate from "../../platform/translate.js";
import * as directory from "../../src/discovery/directory.js";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";
import * as serviceRegistry from "../../src/kernel/serviceRegistry.js";
import type * as store from "../../src/store/index.js";

const entryCount = 30;

function createEntry(index: number): store.Entry {
    const definition = { id: `u${index}`, address: `127.0.0.1:${1_000 + index}`, failureDomain: "north" };
    return { key: `servers/u${index}`, value: JSON.stringify({ service: "desk", definition }), revision: index + 1 };
}

/** Runs the pending promise callbacks without advancing the clock. */
async function runPending(): Promise<void> {
    for (let turn = 0; turn < 20; turn += 1) {
        await Promise.resolve();
    }
}

/** Creates a directory with a fake store and a fake peer; the test decides when timers run and when the peer replies. */
function createFixture(listings: unknown[], parseEntry?: directory.ParseEntry) {
    const tasks: (() => void)[] = [];
    const replies: (() => void)[] = [];
    const discovered: number[] = [];
    const states: string[] = [];
    let watch: store.WatchRequest | undefined;
    const fake = {
        context: {
            settings: { upstreamDirectory: "servers/" },
            clock: clock.createVirtualClock(),
            metrics: new promClient.Registry(),
            services: new serviceRegistry.ServiceRegistry(),
            randomness: { getFraction: () => 0, getIdentifier: () => "epoch" },
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
        pool: {
            setDiscoveredUpstreams: (found: readonly directory.DiscoveredUpstream[]) => {
                discovered.push(found.length);
                states.push(found.map(({ definition }) => definition.state).join(" "));
            },
        },
        mesh: {
            setHandler: () => {},
            setNoticeHandler: () => {},
            addDisconnectListener: () => {},
            listLinkedPeers: () => ["peer"],
            sendRequest: () => new Promise(resolve => replies.push(() => resolve(ok({ steadyMs: 60_000, entries: [] })))),
        },
    };
    if (parseEntry !== undefined) {
        fake.context.services.setService(directory.parseEntryKey, parseEntry);
    }
    const created = new directory.UpstreamDirectory(fake as unknown as directory.CreateUpstreamDirectoryOptions);
    created.start();
    return { tasks, replies, discovered, states, getWatch: () => watch! };
}

const allEntries = Array.from({ length: entryCount }, (_, index) => createEntry(index));

void tap.test("entries that are missing after an outage", async t => {
    const { tasks, replies, discovered, getWatch } = createFixture([
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
    allEntries.forEach(({ key }) => getWatch().onEvent({ kind: "removed", key, revision: 102 }));
    await runPending();
    t.equal(discovered.at(-1), entryCount, "the entries are kept, because they may return");
    t.equal(replies.length, 1, "one request to the peer for all missing entries");
    replies.shift()!();
    await runPending();
    t.equal(discovered.at(-1), 0, "entries that are missing at the peer with an uninterrupted watch are removed");
    t.ok(replies.length <= 1, "at most one more request for entries that went missing meanwhile");
});

void tap.test("directory events", async t => {
    const { discovered, getWatch } = createFixture([ok({ entries: allEntries, revision: 100 })]);
    await runPending();
    t.strictSame(discovered, [entryCount]);
    allEntries.forEach(entry => getWatch().onEvent({ kind: "put", entry: { ...entry, value: `${entry.value} `, revision: entry.revision + 100 } }));
    await runPending();
    t.strictSame(discovered, [entryCount], "renewals without a changed upstream do not update the pool");
    getWatch().onEvent({ kind: "removed", key: "servers/u1", revision: 201 });
    getWatch().onEvent({ kind: "removed", key: "servers/u2", revision: 202 });
    getWatch().onEvent({ kind: "put", entry: { ...createEntry(3), value: createEntry(3).value.replace("north", "south") } });
    await runPending();
    t.strictSame(discovered, [entryCount, entryCount - 2], "events that arrive together cause one pool update");
    getWatch().onEvent({ kind: "put", entry: createEntry(1) });
    await runPending();
    t.strictSame(discovered, [entryCount, entryCount - 2, entryCount - 1], "an entry that returns is added again");
    getWatch().onEvent({ kind: "put", entry: { ...createEntry(1), value: "not JSON" } });
    await runPending();
    t.equal(discovered.at(-1), entryCount - 2, "a malformed entry provides no upstream");
});

// Guards against an upstream that reported draining and gets requests again because a report from before arrived late.
void tap.test("a late entry of the same process is ignored, and one of a new process is not", async t => {
    const createWorkerEntry = (state: string, seq: number, born: number, revision: number): store.Entry => ({
        key: "servers/u1",
        value: JSON.stringify({ service: "desk", address: "127.0.0.1:1000", failureDomain: "north", slots: 3, state, seq, born }),
        revision,
    });
    const { states, getWatch } = createFixture([ok({ entries: [createWorkerEntry("ready", 4, 1_000, 1)], revision: 1 })], translate.parseWorkerEntry);
    const put = async (entry: store.Entry) => {
        getWatch().onEvent({ kind: "put", entry });
        await runPending();
    };
    await runPending();
    await put(createWorkerEntry("draining", 6, 1_000, 2));
    t.strictSame(states, ["live", "leaving"]);
    await put(createWorkerEntry("ready", 5, 1_000, 3));
    t.strictSame(states, ["live", "leaving"], "a late entry");
    await put(createWorkerEntry("ready", 6, 1_000, 4));
    await put(createWorkerEntry("ready", 5, 1_000, 5));
    t.strictSame(states, ["live", "leaving", "live"], "a current one, then a late one");
    await put(createWorkerEntry("draining", 7, 1_000, 6));
    await put(createWorkerEntry("ready", 1, 2_000, 7));
    t.strictSame(states, ["live", "leaving", "live", "leaving", "live"], "another process under the same identifier");
});
