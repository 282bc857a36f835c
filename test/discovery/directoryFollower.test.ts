/**
 * Guards against an instance that goes on with an old directory: because the peer that it follows is frozen, cut off from the
 * store or gone, because an update was lost, or because a snapshot is older than what it has.
 */

import { err, type Result } from "neverthrow";
import tap from "tap";
import * as directoryFeed from "../../src/discovery/directoryFeed.js";
import * as directoryFollower from "../../src/discovery/directoryFollower.js";
import type * as context from "../../src/kernel/context.js";
import * as errors from "../../src/kernel/errors.js";
import type * as peers from "../../src/peers/index.js";
import type * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";

/** The longest time between two answers of the store to a relay. */
const progressIntervalMs = 800;

type Handler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;

/** An instance that watches the store, and one that may follow it. */
class TestPeer {
    readonly handlers = new Map<string, Handler>();
    readonly noticeHandlers = new Map<string, (peerId: string, body: unknown) => void>();
    readonly disconnectListeners: ((peerId: string) => void)[] = [];
    readonly entries = new Map<string, store.Entry>();
    readonly logs: string[] = [];
    lastProgressAt = -Infinity;
    hearsFromStore = true;
    isFrozen = false;
    watchesStore = true;
    isRelay = true;
    feed!: directoryFeed.DirectoryFeed;
    follower!: directoryFollower.DirectoryFollower;
    constructor(readonly id: string) {}
}

/** Creates relays and one follower, and a store that the relays hear from three times a second. */
function createFleet(relayIds: readonly string[], hasCells = true) {
    const time = new virtualTime.VirtualTime();
    const all = new Map<string, TestPeer>();
    let lostNotices = 0;
    const deliver = (task: () => void) => time.scheduleOnce(1, task);
    const addPeer = (id: string, isRelay: boolean) => {
        const peer = new TestPeer(id);
        peer.isRelay = isRelay;
        all.set(id, peer);
        const log = (event: string) => void peer.logs.push(event);
        const fakeContext = {
            clock: { getNow: () => time.now },
            loop: time,
            randomness: { getIdentifier: () => `epoch-${id}` },
            logger: { writeInfo: log, writeWarning: log, writeDebug: log },
        } as unknown as context.Context;
        const mesh = {
            setHandler: (topic: string, handler: Handler) => peer.handlers.set(topic, handler),
            setNoticeHandler: (topic: string, handler: (peerId: string, body: unknown) => void) => peer.noticeHandlers.set(topic, handler),
            addDisconnectListener: (listener: (peerId: string) => void) => peer.disconnectListeners.push(listener),
            hasCells: () => hasCells,
            isCellRelay: () => peer.isRelay,
            listRelayPeers: () => relayIds.filter(relayId => relayId !== id && all.has(relayId)),
            sendNotices: (peerIds: readonly string[], topic: string, body: unknown) => {
                for (const peerId of peerIds) {
                    const hasChanges = ((body as { readonly changed?: readonly unknown[]; }).changed ?? []).length > 0;
                    if (lostNotices > 0 && hasChanges) {
                        lostNotices -= 1;
                        continue;
                    }
                    deliver(() => all.get(peerId)?.noticeHandlers.get(topic)?.(id, body));
                }
                return peerIds.length;
            },
            sendRequest: (peerId: string, topic: string, body: unknown) =>
                new Promise<Result<unknown, errors.FleetError>>(resolve =>
                    void deliver(() => {
                        const receiver = all.get(peerId);
                        if (receiver === undefined || receiver.isFrozen) {
                            time.scheduleOnce(1_000, () => resolve(err(errors.createError("peerUnreachable"))));
                            return;
                        }
                        void receiver.handlers.get(topic)!(body, id).then(resolve);
                    })
                ),
        } as unknown as peers.Mesh;
        const getAgeMs = () => time.now - peer.lastProgressAt;
        peer.feed = new directoryFeed.DirectoryFeed({ context: fakeContext, mesh, listEntries: () => [...peer.entries.values()], getAgeMs });
        peer.follower = new directoryFollower.DirectoryFollower({
            context: fakeContext,
            mesh,
            isOwnWatchProgressing: () => getAgeMs() <= progressIntervalMs + 500,
            setEntries: ({ entries }) => {
                peer.entries.clear();
                entries.forEach(entry => peer.entries.set(entry.key, entry));
                return false;
            },
            applyChanges: ({ changed, removedKeys }) => {
                changed.forEach(entry => peer.entries.set(entry.key, entry));
                removedKeys.forEach(key => peer.entries.delete(key));
                return false;
            },
            setOwnWatch: isNeeded => {
                peer.watchesStore = isNeeded;
                peer.lastProgressAt = -Infinity;
            },
        });
        peer.follower.start();
        return peer;
    };
    const stored = new Map<string, store.Entry>();
    time.scheduleRepeatedly(progressIntervalMs, () => {
        for (const peer of all.values()) {
            if (!peer.watchesStore || !peer.hearsFromStore || peer.isFrozen) {
                continue;
            }
            const changed = [...stored.values()].filter(entry => peer.entries.get(entry.key) !== entry);
            const removed = [...peer.entries.keys()].filter(key => !stored.has(key));
            changed.forEach(entry => peer.entries.set(entry.key, entry));
            removed.forEach(key => peer.entries.delete(key));
            peer.feed.recordChanges(changed, removed);
            peer.lastProgressAt = time.now;
            peer.feed.scheduleUpdate();
        }
    });
    const put = (key: string, value: string) => stored.set(key, { key, value, revision: Math.round(time.now) });
    /** Advances the clock in small steps, and lets promises resolve in between. */
    const advance = async (durationMs: number) => {
        for (let passed = 0; passed < durationMs; passed += 5) {
            time.addTime(5);
            for (let turn = 0; turn < 10; turn += 1) {
                await Promise.resolve();
            }
        }
    };
    const relays = relayIds.map(id => addPeer(id, true));
    return { time, relays, follower: addPeer("follower", !hasCells), put, remove: (key: string) => stored.delete(key), advance, loseNotices: (count: number) => lostNotices = count, removePeer: (id: string) => all.delete(id) };
}

void tap.test("an instance of a cell", async t => {
    await t.test("follows a relay and watches the store no more", async t => {
        const { follower, put, remove, advance } = createFleet(["r1", "r2"]);
        put("servers/a", "1");
        await advance(2_000);
        t.equal(follower.watchesStore, false);
        put("servers/b", "1");
        put("servers/a", "2");
        await advance(progressIntervalMs + 50);
        t.strictSame([...follower.entries].map(([key, { value }]) => [key, value]).sort(), [["servers/a", "2"], ["servers/b", "1"]]);
        remove("servers/a");
        await advance(progressIntervalMs + 50);
        t.strictSame([...follower.entries.keys()], ["servers/b"]);
    });

    await t.test("reads everything again after a lost update", async t => {
        const { follower, put, advance, loseNotices } = createFleet(["r1", "r2"]);
        await advance(2_000);
        loseNotices(1);
        put("servers/a", "1");
        // The store answers every 800 ms since the start, so half of that after these two seconds.
        await advance(progressIntervalMs / 2 + 10);
        t.equal(follower.entries.has("servers/a"), false);
        put("servers/b", "1");
        await advance(2 * progressIntervalMs);
        t.strictSame([...follower.entries.keys()].sort(), ["servers/a", "servers/b"]);
    });

    /** The fault of the followed relay, whether the standby takes its place, and the longest time until a change is seen. */
    const testFault = (name: string, hasStandby: boolean, applyFault: (relay: TestPeer, removePeer: (id: string) => void, follower: TestPeer) => void) =>
        t.test(name, async t => {
            const { relays, follower, put, advance, removePeer } = createFleet(["r1", "r2"]);
            await advance(2_000);
            const followed = relays.find(({ id }) => id === (follower.follower.getDump() as { following: string; }).following)!;
            relays.filter(relay => !hasStandby || relay === followed).forEach(relay => applyFault(relay, removePeer, follower));
            put("servers/a", "1");
            await advance(directoryFeed.maximumAgeMs + 2 * progressIntervalMs);
            t.equal(follower.entries.has("servers/a"), true, "the change is seen");
            t.equal(follower.watchesStore, !hasStandby, hasStandby ? "through the standby" : "in the store itself");
        });
    for (const hasStandby of [true, false]) {
        const suffix = hasStandby ? "" : ", the standby as well";
        await testFault(`the relay is frozen${suffix}`, hasStandby, relay => {
            relay.isFrozen = true;
        });
        await testFault(`the relay does not hear from the store${suffix}`, hasStandby, relay => {
            relay.hearsFromStore = false;
        });
        await testFault(`the relay is killed${suffix}`, hasStandby, (relay, removePeer, follower) => {
            relay.isFrozen = true;
            removePeer(relay.id);
            follower.disconnectListeners.forEach(listener => listener(relay.id));
        });
    }

    await t.test("does not change between the store and the relays all the time", async t => {
        const { relays, follower, advance } = createFleet(["r1"]);
        await advance(2_000);
        for (let round = 0; round < 10; round += 1) {
            relays[0]!.hearsFromStore = false;
            await advance(2_600);
            relays[0]!.hearsFromStore = true;
            await advance(1_400);
        }
        const changes = follower.logs.filter(event => event === "directory-source-changed").length;
        t.ok(changes <= 17, `${changes} changes in 40 s`);
    });
});

void tap.test("an instance outside of cells that the store turns away", async t => {
    const { follower, put, advance } = createFleet(["p1", "p2"], false);
    await advance(2_000);
    t.notOk(follower.logs.includes("directory-followed"), "follows nobody while it hears from the store itself");
    follower.hearsFromStore = false;
    await advance(directoryFeed.maximumAgeMs + progressIntervalMs);
    put("servers/a", "1");
    await advance(2 * progressIntervalMs);
    t.equal(follower.entries.has("servers/a"), true, "follows a peer");
    t.equal(follower.watchesStore, true, "and keeps trying the store");
    follower.hearsFromStore = true;
    await advance(2 * progressIntervalMs);
    t.ok(follower.logs.includes("directory-unfollowed"));
});

void tap.test("malformed messages are ignored", async t => {
    const { follower, put, advance } = createFleet(["r1"]);
    await advance(2_000);
    for (const body of [undefined, 1, {}, { epoch: "e", sequence: -1 }, { epoch: "epoch-r1", sequence: 1, after: 0, ageMs: 0, changed: [{ key: 1 }], removed: [] }]) {
        follower.noticeHandlers.get(directoryFeed.updateTopic)!("r1", body);
    }
    put("servers/a", "1");
    await advance(2 * progressIntervalMs);
    t.equal(follower.entries.has("servers/a"), true);
    t.equal(follower.logs.filter(event => event === "directory-update-malformed").length, 5);
});

void tap.test("an outage of the store", async t => {
    const { relays, follower, advance } = createFleet(["r1", "r2"]);
    await advance(2_000);
    let asked = 0;
    for (const relay of relays) {
        const answer = relay.handlers.get(directoryFeed.followTopic)!;
        relay.handlers.set(directoryFeed.followTopic, (body, peerId) => {
            asked += peerId === "follower" ? 1 : 0;
            return answer(body, peerId);
        });
        relay.hearsFromStore = false;
    }
    await advance(12_000);
    t.equal(follower.watchesStore, true, "the store itself is asked");
    t.ok(asked > 5 && asked <= 50, `the relays are asked ${asked} times in 12 s`);
});
