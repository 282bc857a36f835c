/**
 * Guards against changes that a watch drops because an earlier one has the same revision. A transaction that removed several
 * workers' entries was noticed for the first one alone, and orders went on to the others until these exited.
 */

import { ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import type * as context from "../../src/kernel/context.js";
import * as sharedWatch from "../../platform/sharedWatch.js";
import type * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";

type Reply = { readonly events: readonly { readonly key: string; readonly revision: number; readonly deleted?: true; }[]; readonly asOf: number; };

/** Runs a watch over replies of the store, and lists the keys of the reported events by subscriber. */
async function listReported(replies: readonly Reply[], subscribers: readonly { readonly prefix: string; readonly fromRevision: number; }[]) {
    const time = new virtualTime.VirtualTime();
    const remaining = [...replies];
    const requested: number[] = [];
    const reported = subscribers.map((): string[] => []);
    const watch = new sharedWatch.SharedWatch({
        context: { clock: { getNow: () => time.now }, loop: time, logger: {}, metrics: new promClient.Registry() } as unknown as context.Context,
        readEvents: async ({ after, signal }) => {
            await new Promise(resolve => setImmediate(resolve));
            if (signal.aborted) {
                return ok({ kind: "historyGone" });
            }
            requested.push(after);
            const next = remaining.shift();
            return next === undefined ? new Promise(() => {}) : Promise.resolve(ok({ kind: "events", events: next as never }));
        },
        decodeItem: item => ({ key: item.key, value: "", revision: item.revision }),
    });
    subscribers.forEach(({ prefix, fromRevision }, index) =>
        watch.addWatch({ prefix, fromRevision, onEvent: (event: store.WatchEvent) => reported[index]!.push(event.kind === "removed" ? `-${event.key}` : `+${event.entry.key}`), onBroken: () => {} })
    );
    for (let round = 0; round < replies.length * 4 + 4; round += 1) {
        await new Promise(resolve => setImmediate(resolve));
        time.addTime(400);
    }
    return { reported, requested };
}

const removals = (revision: number, ...keys: readonly string[]) => keys.map(key => ({ key, revision, deleted: true as const }));

void tap.test("a watch reports", async t => {
    await t.test("every change of a transaction, of which all have one revision", async t => {
        const { reported } = await listReported([{ events: removals(8, "servers/a", "servers/b", "servers/c"), asOf: 8 }], [{ prefix: "servers/", fromRevision: 8 }]);
        t.strictSame(reported, [["-servers/a", "-servers/b", "-servers/c"]]);
    });

    await t.test("additions and removals of one transaction to each subscriber whose prefix they have", async t => {
        const events = [{ key: "op/config", revision: 9 }, { key: "servers/b", revision: 9 }, ...removals(9, "servers/a")];
        const { reported } = await listReported([{ events, asOf: 9 }], [{ prefix: "servers/", fromRevision: 5 }, { prefix: "op/", fromRevision: 5 }]);
        t.strictSame(reported, [["+servers/b", "-servers/a"], ["+op/config"]]);
    });

    await t.test("the rest of a transaction that a reply contains in part", async t => {
        const replies = [{ events: removals(8, "servers/a"), asOf: 7 }, { events: removals(8, "servers/a", "servers/b"), asOf: 8 }];
        const { reported, requested } = await listReported(replies, [{ prefix: "servers/", fromRevision: 7 }]);
        t.strictSame(reported[0]!.at(-1), "-servers/b");
        t.strictSame(requested.slice(0, 3), [6, 7, 8]);
    });

    await t.test("nothing twice to a subscriber that is further than another", async t => {
        const { reported } = await listReported([{ events: removals(8, "servers/a"), asOf: 8 }], [{ prefix: "servers/", fromRevision: 9 }, { prefix: "servers/", fromRevision: 5 }]);
        t.strictSame(reported, [[], ["-servers/a"]]);
    });
});
