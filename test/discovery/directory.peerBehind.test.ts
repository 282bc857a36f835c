/**
 * Guards against upstreams that left and are used again for good, because an instance whose calls to the store failed for a
 * moment took them from the directory of a peer that still had them; and against the loss of upstreams that a peer does not
 * have yet.
 */

import { err, ok, type Result } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as directory from "../../src/discovery/directory.js";
import * as errors from "../../src/kernel/errors.js";
import type * as loop from "../../src/kernel/loop.js";
import * as serviceRegistry from "../../src/kernel/serviceRegistry.js";
import type * as store from "../../src/store/index.js";
import * as virtualTime from "../harness/virtualTime.js";

type Handler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;
type NoticeHandler = (peerId: string, body: unknown) => void;
type Change = { readonly revision: number; readonly event: store.WatchEvent; };

/** The topic of the requests about missing entries. Peers do not answer them here, as if their own calls had failed as well. */
const directoryTopic = "directory";
/** The interval of the answers of the store to each instance that it reaches, unless a test needs another one. */
const answerIntervalMs = 100;
/** The longest time between two answers to an instance that is followed: a wait of 500 ms, and 300 ms in which events are collected. */
const maximumAnswerIntervalMs = 800;
/** How often the end of the grace period is checked. */
const graceCheckIntervalMs = 100;
/** Longer than a message between instances takes here. */
const deliveryMs = 10;
/** For how long entries that lapse in an outage are kept. */
const graceMs = 2_000;
/** Longer than the first read of the store takes here. */
const startupMs = 1_000;
/** Until an instance of a cell that has watched the store at its start follows a relay instead: the shortest time of an own watch is 5 s. */
const followingMs = 6_000;
/** Longer than the grace period, the checks for its end and the delivery of what they change. */
const settledMs = 3_000;

/** The store, whose answers each instance gets separately. */
class TestStore {
    readonly entries = new Map<string, store.Entry>();
    readonly changes: Change[] = [];
    revision = 100;

    writeEntry(id: string, sequence = 1): void {
        this.revision += 1;
        const definition = { id, address: `127.0.0.1:${1_000 + id.charCodeAt(0)}`, failureDomain: "north" };
        const entry = { key: `servers/${id}`, value: JSON.stringify({ service: "desk", definition }).padEnd(200 + sequence), revision: this.revision };
        this.entries.set(entry.key, entry);
        this.changes.push({ revision: this.revision, event: { kind: "put", entry } });
    }

    removeEntry(id: string): void {
        this.revision += 1;
        this.entries.delete(`servers/${id}`);
        this.changes.push({ revision: this.revision, event: { kind: "removed", key: `servers/${id}`, revision: this.revision } });
    }
}

/** Options of `startInstances`. */
interface StartInstancesOptions {
    /** The relays of a fleet of cells; without any, all instances watch the store. */
    readonly relays?: readonly string[];
    readonly intervalMs?: number;
}

/** One instance's directory, with its connections to the store and the other instances. */
class TestInstance {
    readonly handlers = new Map<string, Handler>();
    readonly noticeHandlers = new Map<string, NoticeHandler>();
    readonly disconnectListeners: ((peerId: string) => void)[] = [];
    readonly logs: string[] = [];
    /** Whether the store's answers arrive; if not, each call fails. */
    isReached = true;
    /** Whether calls stay open without an answer. */
    isWaiting = false;
    /** The last revision that answers contain. */
    lastRevision = Infinity;
    /** The number of answers that have arrived. */
    answers = 0;
    upstreams = "";
    getDump = (): unknown => undefined;
    private watch: store.WatchRequest | undefined;
    private deliveredRevision = 0;
    private hasFailed = false;

    constructor(readonly id: string, private readonly testStore: TestStore) {}

    readonly store = {
        reportsProgress: true,
        listEntries: async () => {
            if (!this.isReached) {
                return err(errors.createError("storeUnavailable"));
            }
            return ok({ entries: [...this.testStore.entries.values()], revision: this.testStore.revision, generation: 1 });
        },
        watchPrefix: (request: store.WatchRequest) => {
            this.watch = request;
            this.deliveredRevision = request.fromRevision - 1;
            return () => {
                this.watch = undefined;
            };
        },
    };

    /** Fails the open watch's call; the next answer continues it. */
    receiveFailure(): void {
        this.hasFailed = true;
        this.watch?.onInterrupted?.();
    }

    /** Delivers the store's answer to the open watch, or the failure of the call. */
    receiveAnswer(intervalMs: number): void {
        const { watch } = this;
        if (watch === undefined || this.isWaiting) {
            return;
        }
        if (!this.isReached) {
            this.receiveFailure();
            return;
        }
        if (this.hasFailed) {
            this.hasFailed = false;
            watch.onResumed?.();
        }
        const changes = this.testStore.changes.filter(({ revision }) => revision > this.deliveredRevision && revision <= this.lastRevision);
        this.deliveredRevision = Math.min(this.testStore.revision, this.lastRevision);
        changes.forEach(({ event }) => watch.onEvent(event));
        watch.onProgress?.(intervalMs);
        this.answers += 1;
    }
}

/** Starts instances before one store; a test decides which of them hear from it, and when. */
async function startInstances(ids: readonly string[], { relays, intervalMs = answerIntervalMs }: StartInstancesOptions = {}) {
    const time = new virtualTime.VirtualTime();
    const testStore = new TestStore();
    ["a", "b"].forEach(id => testStore.writeEntry(id));
    const instances = new Map<string, TestInstance>();
    const getInstance = (id: string) => instances.get(id)!;
    const scheduleRepeatedly = (intervalMs: number, task: () => void): loop.Cancel => {
        let cancel = time.scheduleOnce(intervalMs, function run() {
            cancel = time.scheduleOnce(intervalMs, run);
            task();
        });
        return () => cancel();
    };
    const deliver = (task: () => void) => time.scheduleOnce(1, task);
    const addInstance = (id: string) => {
        const instance = new TestInstance(id, testStore);
        instances.set(id, instance);
        const log = (event: string) => void instance.logs.push(event);
        const created = new directory.UpstreamDirectory({
            context: {
                settings: { upstreamDirectory: "servers/" },
                clock: { getNow: () => time.now },
                loop: { scheduleOnce: time.scheduleOnce, scheduleRepeatedly },
                metrics: new promClient.Registry(),
                services: new serviceRegistry.ServiceRegistry(),
                randomness: { getFraction: () => 0, getIdentifier: () => `feed-${instance.id}` },
                logger: { writeDebug: log, writeInfo: log, writeWarning: log, writeError: log },
            },
            store: instance.store,
            pool: {
                setDiscoveredUpstreams: (found: readonly directory.DiscoveredUpstream[]) => {
                    instance.upstreams = found.map(({ definition }) => definition.id).sort().join(" ");
                },
            },
            mesh: {
                setHandler: (topic: string, handler: Handler) => instance.handlers.set(topic, handler),
                setNoticeHandler: (topic: string, handler: NoticeHandler) => instance.noticeHandlers.set(topic, handler),
                addDisconnectListener: (listener: (peerId: string) => void) => instance.disconnectListeners.push(listener),
                hasCells: () => relays !== undefined,
                isCellRelay: () => relays?.includes(instance.id) ?? false,
                listLinkedPeers: () => [...instances.keys()].filter(id => id !== instance.id),
                listRelayPeers: () => [...instances.keys()].filter(id => id !== instance.id && (relays?.includes(id) ?? true)),
                sendNotices: (peerIds: readonly string[], topic: string, body: unknown) => {
                    peerIds.forEach(peerId => deliver(() => instances.get(peerId)?.noticeHandlers.get(topic)?.(instance.id, body)));
                    return peerIds.length;
                },
                sendRequest: (peerId: string, topic: string, body: unknown) =>
                    new Promise(resolve =>
                        deliver(() => {
                            const peer = instances.get(peerId);
                            const answer = topic === directoryTopic ? undefined : peer?.handlers.get(topic)?.(body, instance.id);
                            deliver(() => void (answer === undefined ? resolve(err(errors.createError("peerUnreachable"))) : answer.then(resolve)));
                        })
                    ),
            },
            setConfigurationWatch: () => {},
        } as unknown as directory.CreateUpstreamDirectoryOptions);
        instance.getDump = () => created.getDump();
        created.start();
        scheduleRepeatedly(intervalMs, () => instance.receiveAnswer(intervalMs));
    };
    const runPending = async () => {
        for (let turn = 0; turn < 20; turn += 1) {
            await Promise.resolve();
        }
    };
    const advance = async (durationMs: number) => {
        await runPending();
        await time.runTime(durationMs, runPending);
    };
    ids.forEach(addInstance);
    await advance(startupMs);
    return {
        testStore,
        advance,
        addInstance,
        getInstance,
        getUpstreams: () => [...instances].map(([id, { upstreams }]) => `${id}: ${upstreams}`).join(", "),
        hasFollowed: (id: string) => getInstance(id).logs.includes("directory-followed"),
        /** Fails the calls of instances until the store reaches them again after a duration. */
        interrupt: async (interrupted: readonly string[], durationMs: number) => {
            interrupted.forEach(id => getInstance(id).isReached = false);
            await advance(durationMs);
            interrupted.forEach(id => getInstance(id).isReached = true);
        },
        /** Advances until the store has answered an instance. */
        waitForAnswer: async (id: string) => {
            for (const { answers } = getInstance(id); getInstance(id).answers === answers;) {
                await advance(deliveryMs);
            }
        },
        /** Ends an instance and the links of the others to it. */
        disconnect: async (peerId: string) => {
            instances.delete(peerId);
            instances.forEach(({ disconnectListeners }) => disconnectListeners.forEach(listener => listener(peerId)));
            await advance(deliveryMs);
        },
    };
}

void tap.test("an upstream that left stays gone at an instance whose calls fail for a moment", async t => {
    await t.test("while the peer that it follows keeps the entry as one that may reappear", async t => {
        const { testStore, advance, interrupt, hasFollowed, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["y"], 100);
        await advance(answerIntervalMs);
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: b, y: a b", "y keeps the entry, since its calls failed before");
        await interrupt(["x"], 300);
        await advance(answerIntervalMs);
        t.ok(hasFollowed("x"), "x has followed y");
        t.equal(getUpstreams(), "x: b, y: a b");
        await advance(settledMs);
        t.equal(getUpstreams(), "x: b, y: b");
    });

    await t.test("while it keeps the entry itself as one that may reappear", async t => {
        const { testStore, advance, interrupt, hasFollowed, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["x", "y"], 100);
        await advance(answerIntervalMs);
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
        await interrupt(["x"], 300);
        t.ok(hasFollowed("x"), "x has followed y");
        await advance(settledMs);
        t.equal(getUpstreams(), "x: b, y: b");
    });

    await t.test("while the peer has not heard of the removal yet", async t => {
        const { testStore, advance, interrupt, hasFollowed, getInstance, getUpstreams } = await startInstances(["x", "y"]);
        getInstance("y").isWaiting = true;
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: b, y: a b");
        await interrupt(["x"], 200);
        await advance(answerIntervalMs);
        t.ok(hasFollowed("x"), "x has followed y");
        getInstance("y").isWaiting = false;
        await advance(settledMs);
        t.equal(getUpstreams(), "x: b, y: b");
    });

    await t.test("if it started after the removal and never had the entry", async t => {
        const { testStore, advance, interrupt, addInstance, hasFollowed, getUpstreams } = await startInstances(["y"]);
        await interrupt(["y"], 100);
        await advance(answerIntervalMs);
        testStore.removeEntry("a");
        addInstance("x");
        await advance(2 * answerIntervalMs);
        t.equal(getUpstreams(), "y: a b, x: b");
        await interrupt(["x"], 300);
        await advance(answerIntervalMs);
        t.ok(hasFollowed("x"), "x has followed y");
        await advance(settledMs);
        t.equal(getUpstreams(), "y: b, x: b");
    });
});

void tap.test("an instance of a cell whose relay keeps an entry that another relay has removed", async t => {
    const { testStore, advance, interrupt, disconnect, getInstance, getUpstreams } = await startInstances(["r1", "r2", "x"], { relays: ["r1", "r2"] });
    await advance(followingMs);
    t.equal(getFollowedPeer(getInstance("x")), "r1");
    await interrupt(["r2"], 100);
    await advance(answerIntervalMs);
    testStore.removeEntry("a");
    await advance(2 * answerIntervalMs);
    t.equal(getUpstreams(), "r1: b, r2: a b, x: b");
    await disconnect("r1");
    await advance(answerIntervalMs);
    t.equal(getFollowedPeer(getInstance("x")), "r2");
    testStore.writeEntry("a", 2);
    await advance(settledMs);
    t.equal(getUpstreams(), "r2: a b, x: a b", "an upstream that registers again is used");
    testStore.removeEntry("a");
    await advance(settledMs);
    t.equal(getUpstreams(), "r2: b, x: b", "one that does not is gone");
});

void tap.test("an upstream that registers again is used by an instance whose calls fail", async t => {
    await t.test("while the peer that it follows has heard of neither change", async t => {
        const { testStore, advance, interrupt, hasFollowed, getInstance, getUpstreams } = await startInstances(["x", "y"]);
        getInstance("y").isWaiting = true;
        testStore.removeEntry("a");
        testStore.writeEntry("c");
        await advance(answerIntervalMs);
        testStore.writeEntry("a", 2);
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: a b c, y: a b");
        await interrupt(["x"], 300);
        t.ok(hasFollowed("x"), "x has followed y");
        t.equal(getInstance("x").upstreams, "a b c");
        getInstance("y").isWaiting = false;
        await advance(settledMs);
        t.equal(getUpstreams(), "x: a b c, y: a b c");
    });

    await t.test("while the peer hears of the removal and reports it", async t => {
        const { testStore, advance, interrupt, hasFollowed, getInstance, getUpstreams } = await startInstances(["x", "y"]);
        getInstance("y").isWaiting = true;
        testStore.removeEntry("a");
        getInstance("y").lastRevision = testStore.revision;
        testStore.writeEntry("a", 2);
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
        getInstance("x").isReached = false;
        await advance(300);
        t.ok(hasFollowed("x"), "x has followed y");
        getInstance("y").isWaiting = false;
        await advance(1.5 * answerIntervalMs);
        t.equal(getUpstreams(), "x: a b, y: b", "x has heard of the new registration itself");
        await interrupt(["x"], 0);
        getInstance("y").lastRevision = Infinity;
        await advance(settledMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
    });

    await t.test("for longer, while the peer has kept the entry and reports no change", async t => {
        const { testStore, advance, interrupt, hasFollowed, getInstance, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["y"], 100);
        await advance(answerIntervalMs);
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        getInstance("x").isReached = false;
        await advance(300);
        t.ok(hasFollowed("x"), "x has followed y");
        t.equal(getUpstreams(), "x: b, y: a b");
        testStore.writeEntry("a", 2);
        await advance(settledMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
    });
});

void tap.test("entries that lapse while the store is away", async t => {
    await t.test("are kept until they are written again, also by an instance that follows a peer meanwhile", async t => {
        const { testStore, advance, interrupt, hasFollowed, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["x", "y"], 2_000);
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
        await interrupt(["x"], 300);
        t.ok(hasFollowed("x"), "x has followed y");
        t.equal(getUpstreams(), "x: a b, y: a b");
        testStore.writeEntry("a", 2);
        await advance(settledMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
    });

    await t.test("are removed at the end of the grace period if they are not", async t => {
        const { testStore, advance, interrupt, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["x", "y"], 2_000);
        testStore.removeEntry("a");
        await advance(graceMs - answerIntervalMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
        await advance(3 * answerIntervalMs);
        t.equal(getUpstreams(), "x: b, y: b");
    });

    await t.test("and are written again while an instance follows a peer stay", async t => {
        const { testStore, advance, interrupt, getInstance, getUpstreams } = await startInstances(["x", "y"]);
        await interrupt(["x", "y"], 100);
        await advance(answerIntervalMs);
        testStore.removeEntry("a");
        await advance(answerIntervalMs);
        getInstance("x").isReached = false;
        await advance(answerIntervalMs);
        testStore.writeEntry("a", 2);
        await advance(settledMs);
        t.equal(getUpstreams(), "x: a b, y: a b");
    });
});

// A relay that waited for the next answer of the store let its followers use the upstream for up to 0.8 s longer.
void tap.test("the instances of a cell learn of the end of the grace period at their relay at once", async t => {
    const { testStore, advance, waitForAnswer, getInstance, getUpstreams } = await startInstances(["r1", "x"], { relays: ["r1"], intervalMs: maximumAnswerIntervalMs });
    await advance(followingMs);
    t.equal(getFollowedPeer(getInstance("x")), "r1");
    await waitForAnswer("r1");
    getInstance("r1").receiveFailure();
    testStore.removeEntry("a");
    await waitForAnswer("r1");
    t.equal(getUpstreams(), "r1: a b, x: a b", "the relay keeps the entry, since its calls failed before");
    await advance(graceMs + graceCheckIntervalMs + deliveryMs);
    t.equal(getUpstreams(), "r1: b, x: b");
});

function getFollowedPeer(instance: TestInstance): string | undefined {
    return (instance.getDump() as { readonly following?: string; }).following;
}
