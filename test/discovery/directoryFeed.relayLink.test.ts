/**
 * Guards against instances that go on with an old directory after a relay of their cell is lost: all of them ask the other
 * relay for the whole directory at the same moment, and its copies fill that relay's link for longer than a request may wait.
 */

import { ok, type Result } from "neverthrow";
import tap from "tap";
import * as directoryFeed from "../../src/discovery/directoryFeed.js";
import type * as errors from "../../src/kernel/errors.js";
import * as wire from "../../src/peers/wire.js";
import * as settings from "../../src/settings/index.js";
import type * as store from "../../src/store/index.js";

/** The size of the users' largest deployment with links of 20 Mbit/s. */
const workerCount = 719;
const followerCount = 22;
const linkBytesPerSecond = 2_500_000;

type Handler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;

function createEntries(): store.Entry[] {
    return Array.from({ length: workerCount }, (_, index) => {
        const id = `i-${(index * 2_654_435_761 % 4_294_967_296).toString(16).padStart(8, "0")}`;
        const address = `10.${index % 5}.${Math.floor(index / 200)}.${index % 200}:${8_000 + index * 7 % 2_000}`;
        const value = JSON.stringify({ service: "desk", address, zone: `zone-${index % 5}`, version: "1.4.2", capacity: 3, state: "ready", coldLeftS: 0, seq: index * 13, born: 1_779_497_987_000 + index * 7_919 });
        return { key: `servers/${id}`, value, revision: 1_000 + index };
    });
}

function startFeed(entries: readonly store.Entry[]) {
    const handlers = new Map<string, Handler>();
    const notices: { readonly peerId: string; readonly body: unknown; }[] = [];
    const created = new directoryFeed.DirectoryFeed({
        context: { randomness: { getIdentifier: () => "epoch" }, clock: { getNow: () => 0 } },
        mesh: {
            setHandler: (topic: string, handler: Handler) => handlers.set(topic, handler),
            setNoticeHandler: () => {},
            addDisconnectListener: () => {},
            sendNotices: (peerIds: readonly string[], _topic: string, body: unknown) => peerIds.forEach(peerId => notices.push({ peerId, body })),
        },
        listEntries: () => entries,
        getAgeMs: () => 100,
        getRevision: () => Math.max(...entries.map(({ revision }) => revision)),
    } as unknown as directoryFeed.CreateDirectoryFeedOptions);
    return {
        feed: created,
        notices,
        /** Sends a request to follow over the peers' wire; returns the reply and its size in bytes. */
        readSnapshot: async (body: unknown, peerId: string) => {
            const reply = (await handlers.get(directoryFeed.followTopic)!(body, peerId))._unsafeUnwrap();
            const frame = wire.encodeFrame({ type: "reply", id: 1, body: reply });
            const received = wire.decodeMessage(frame.subarray(wire.lengthPrefixBytes)).andThen(message => ok(message.type === "reply" ? message.body : undefined))._unsafeUnwrap();
            return { received, bytes: frame.length };
        },
    };
}

void tap.test("all instances of a cell ask one relay for its directory: the link carries the copies before the requests time out", async t => {
    const timeoutSeconds = settings.serveSettingsSchema.parse({}).peerTimeoutMs / 1_000;
    const entries = createEntries();
    const { readSnapshot } = startFeed(entries);
    let sentBytes = 0;
    for (let index = 0; index < followerCount; index += 1) {
        const { received, bytes } = await readSnapshot(directoryFeed.followRequest, `follower-${index}`);
        sentBytes += bytes;
        t.strictSame(directoryFeed.parseSnapshot(received)?.entries, entries);
    }
    t.ok(sentBytes / linkBytesPerSecond < timeoutSeconds, `the copies take ${(sentBytes / linkBytesPerSecond).toFixed(2)} s of the link`);
});

void tap.test("snapshots after a change, and for an earlier version", async t => {
    const entries = createEntries().slice(0, 3);
    const { feed, notices, readSnapshot } = startFeed(entries);
    const readEntries = async (body: unknown) => directoryFeed.parseSnapshot((await readSnapshot(body, "follower")).received)?.entries;
    t.strictSame(await readEntries(directoryFeed.followRequest), entries);
    entries.push({ key: "servers/new", value: "{}", revision: 9_000 });
    feed.recordChanges(entries.slice(-1), []);
    t.strictSame(await readEntries(directoryFeed.followRequest), entries, "the change is in the next snapshot");
    t.equal(directoryFeed.parseSnapshot((await readSnapshot(directoryFeed.followRequest, "follower")).received)?.revision, 9_000);
    entries[0] = { ...entries[0]!, revision: 9_001 };
    t.strictSame(await readEntries(directoryFeed.followRequest), entries, "an entry that was written again unchanged has its new revision");
    const earlier = (await readSnapshot({}, "earlier")).received as { readonly entries: unknown; readonly revision?: unknown; };
    t.strictSame(earlier.entries, entries, "an earlier version gets entries that are not compressed");
    t.notOk("revision" in earlier, "and no field that it does not know");
    feed.recordChanges([], ["servers/new"]);
    notices.length = 0;
    await readSnapshot({}, "earlier");
    t.strictSame(
        notices.map(({ peerId, body }) => [peerId, "revision" in (body as object), directoryFeed.updateSchema.safeParse(body).data?.removed]),
        [["follower", true, ["servers/new"]], ["earlier", false, ["servers/new"]]],
        "nor do updates have it",
    );
    t.equal(directoryFeed.parseSnapshot({ epoch: "e", sequence: 1, ageMs: 1, deflatedEntries: Buffer.from("no") }), undefined, "a damaged reply");
});
