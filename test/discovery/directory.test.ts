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

void tap.test("entries that are missing after an outage", async t => {
    const time = clock.createVirtualClock();
    const tasks: (() => void)[] = [];
    const listings = [
        ok({ entries: Array.from({ length: entryCount }, (_, index) => createEntry(index)), revision: 100 }),
        err(errors.createError("internal")),
        ok({ entries: Array.from({ length: entryCount }, (_, index) => createEntry(index)), revision: 101 }),
    ];
    let watch: store.WatchRequest | undefined;
    const answers: (() => void)[] = [];
    let discovered = 0;
    const fake = {
        context: {
            settings: { upstreamDirectory: "servers/" },
            clock: time,
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
        pool: {
            setDiscovered: (found: readonly unknown[]) => {
                discovered = found.length;
            },
        },
        mesh: {
            setHandler: () => {},
            listLinkedPeers: () => ["peer"],
            sendRequest: () => new Promise(resolve => answers.push(() => resolve(ok({ steadyMs: 60_000, entries: [] })))),
        },
    };
    const created = new directory.Directory(fake as unknown as directory.CreateDirectoryOptions);
    created.start();
    await runPending();
    t.equal(discovered, entryCount);
    watch!.onBroken(true);
    tasks.shift()!();
    await runPending();
    tasks.shift()!();
    await runPending();
    for (let index = 0; index < entryCount; index += 1) {
        watch!.onEvent({ kind: "removed", key: `servers/u${index}` });
    }
    t.equal(discovered, entryCount, "they may return");
    await runPending();
    t.equal(answers.length, 1, "one question for all of them");
    answers.shift()!();
    await runPending();
    t.equal(discovered, 0, "the peer that followed the store all the while lacks them");
    t.ok(answers.length <= 1, "and one more for what came meanwhile");
});
