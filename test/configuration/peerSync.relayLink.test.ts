/**
 * Guards against instances of a cell that stay on an old version after the configuration has grown by many routes: all of
 * them fetch it from one relay at the same moment, and its copies fill the relay's link for longer than a request may wait.
 */

import * as crypto from "node:crypto";
import { err, type Result } from "neverthrow";
import tap from "tap";
import * as checkDocument from "../../src/configuration/checkDocument.js";
import * as chunks from "../../src/configuration/chunks.js";
import * as chunkTransfer from "../../src/configuration/chunkTransfer.js";
import * as configurationState from "../../src/configuration/configurationState.js";
import * as peerSync from "../../src/configuration/peerSync.js";
import * as errors from "../../src/kernel/errors.js";
import * as wire from "../../src/peers/wire.js";
import * as settings from "../../src/settings/index.js";

const routeCount = 1_400;
/** Several replies are needed for so many. */
const manyRoutesCount = 8_000;
const followerCount = 10;
/** The slowest links of the users' machines, 10 Mbit/s. */
const linkBytesPerSecond = 1_250_000;
/** The bound of the users' platform within which a version is in force; the relay's own read and its link's other traffic need half of it. */
const applyWithinSeconds = 2.5 / 2;
const relayId = "relay";
const headTopic = "configuration.head";

type Handler = (body: unknown, peerId: string) => Promise<Result<unknown, errors.FleetError>>;

interface Network {
    /** Sends a follower's request to the relay and returns the body of its reply. */
    readonly sendRequest: (topic: string, body: unknown) => Promise<Result<unknown, errors.FleetError>>;
    /** The sizes of the relay's replies in bytes, in the order of their sending. */
    readonly replyBytes: number[];
}

function createDocument(count: number) {
    const routes = Array.from({ length: count }, (_, index) => {
        const identifier = crypto.createHash("sha1").update(`route ${index}`).digest("hex").slice(0, 10);
        return {
            name: `r-${identifier}`,
            service: "desk",
            hosts: ["desk.example"],
            rank: "usual",
            methods: ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
            pathPrefix: `/${identifier}/`,
            repeatable: true,
            orderKey: "optional",
            deadlineMs: 30_000,
            timeoutMs: 4_000,
            targetLatencyMs: 1_000,
        };
    });
    return checkDocument.checkDocument({ ranks: [{ name: "usual", guaranteedShare: 0.5 }], services: { desk: { slots: 3, connections: 1_000, floor: 0 } }, routes })._unsafeUnwrap();
}

function createOptions(state: configurationState.ConfigurationState, mesh: Record<string, unknown>, scheduleRepeatedly: (delayMs: number, task: () => void) => void): peerSync.CreatePeerSyncOptions {
    const context = { settings: { configurationKey: "op/config" }, loop: { scheduleRepeatedly, scheduleOnce: () => {} }, randomness: { getFraction: () => 0 }, logger: { writeInfo: () => {}, writeWarning: () => {} } };
    return { context, state, mesh: { isCellRelay: () => true, addListener: () => {}, setMember: () => {}, setHandler: () => {}, ...mesh } } as unknown as peerSync.CreatePeerSyncOptions;
}

/** Starts a relay on which a version with many routes is active. */
function startRelay(count = routeCount): Network {
    const handlers = new Map<string, Handler>();
    const state = new configurationState.ConfigurationState();
    const relay = new peerSync.PeerSync(createOptions(state, { setHandler: (topic: string, handler: Handler) => handlers.set(topic, handler) }, () => {}));
    relay.start();
    const texts = chunks.createChunks(createDocument(count));
    const head = { version: 20, changeId: "growth", chunks: Object.fromEntries(texts.map(({ name, hash }) => [name, hash])), recent: [] };
    state.applyVersion(head, new Map(texts.map(({ hash, text }) => [hash, text])))._unsafeUnwrap();
    const replyBytes: number[] = [];
    return {
        replyBytes,
        sendRequest: async (topic, body) => {
            const reply = await handlers.get(topic)!(body, "follower");
            if (reply.isErr()) {
                return err(reply.error);
            }
            const frame = wire.encodeFrame({ type: "reply", id: 1, body: reply.value });
            replyBytes.push(frame.length);
            return wire.decodeMessage(frame.subarray(wire.lengthPrefixBytes)).map(message => message.type === "reply" ? message.body : undefined);
        },
    };
}

/** Starts an instance without a configuration; `runCheck` makes it look for a newer version, and resolves once it has been applied or the attempt has failed. */
function startFollower(sendRequest: Network["sendRequest"]) {
    const state = new configurationState.ConfigurationState();
    const checks: (() => void)[] = [];
    let pending: Promise<unknown> = Promise.resolve();
    const created = new peerSync.PeerSync(createOptions(state, {
        listLinkedPeers: () => [relayId],
        listMembers: () => [{ instanceId: relayId, configurationVersion: 20 }],
        sendRequest: (_peerId: string, topic: string, body: unknown) => {
            const reply = sendRequest(topic, body);
            pending = reply;
            return reply;
        },
    }, (_delayMs, task) => checks.push(task)));
    created.start();
    return {
        state,
        runCheck: async () => {
            checks.forEach(check => check());
            let last: Promise<unknown> | undefined;
            while (last !== pending) {
                last = pending;
                await last;
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        },
    };
}

void tap.test("ten instances fetch a version with many routes from one relay: its link carries the copies in time", async t => {
    const network = startRelay();
    for (let index = 0; index < followerCount; index += 1) {
        const follower = startFollower(network.sendRequest);
        await follower.runCheck();
        t.equal(follower.state.getCurrent()?.document.routes.length, routeCount);
    }
    const sentBytes = network.replyBytes.reduce((sum, bytes) => sum + bytes, 0);
    t.ok(sentBytes / linkBytesPerSecond < applyWithinSeconds, `the copies take ${(sentBytes / linkBytesPerSecond).toFixed(2)} s of the link; ${applyWithinSeconds} s are allowed`);
});

void tap.test("replies that are lost while a version is fetched: what has been received is not fetched again", async t => {
    const network = startRelay(manyRoutesCount);
    let chunkReplies = 0;
    // Of an attempt's replies, the head and the first one with chunks arrive in time.
    const follower = startFollower(async (topic, body) => {
        if (topic === headTopic) {
            chunkReplies = 0;
            return network.sendRequest(topic, body);
        }
        chunkReplies += 1;
        return chunkReplies > 1 ? err(errors.createError("peerUnreachable")) : network.sendRequest(topic, body);
    });
    const maximumAttempts = 50;
    let attempts = 0;
    while (follower.state.getVersion() === 0 && attempts < maximumAttempts) {
        attempts += 1;
        await follower.runCheck();
    }
    t.equal(follower.state.getVersion(), 20, `active after ${attempts} attempts`);
    t.ok(attempts > 1, "the version does not fit into one reply");
});

void tap.test("ten instances wait for a reply at the same time: the slowest link carries ten of them before they time out, though an earlier version does not read compressed ones", async t => {
    const network = startRelay();
    const timeoutSeconds = settings.serveSettingsSchema.parse({}).peerTimeoutMs / 1_000;
    const head = (await network.sendRequest(headTopic, {}))._unsafeUnwrap() as chunks.ConfigurationHead;
    await network.sendRequest("configuration.chunks", { hashes: Object.values(head.chunks) });
    const largest = Math.max(...network.replyBytes);
    t.ok(largest * followerCount / linkBytesPerSecond < timeoutSeconds, `a reply of ${largest} bytes`);
});

void tap.test("a version that compresses well arrives in one reply: each reply waits behind the other traffic of the link", async t => {
    const network = startRelay();
    const follower = startFollower(network.sendRequest);
    await follower.runCheck();
    t.equal(follower.state.getVersion(), 20);
    t.equal(network.replyBytes.length, 2, "the head, and one reply with all chunks");
});

void tap.test("a version that compresses badly arrives in replies that the link carries to ten instances in time", async t => {
    const timeoutSeconds = settings.serveSettingsSchema.parse({}).peerTimeoutMs / 1_000;
    const texts = Array.from({ length: 40 }, (_, index) => JSON.stringify(crypto.createHash("shake256", { outputLength: 20_000 }).update(`${index}`).digest("base64")));
    const textsByHash = new Map(texts.map(text => [chunks.computeHash(text), text]));
    const replies = new chunkTransfer.ChunkReplies(() => textsByHash);
    const missing = new Set(textsByHash.keys());
    while (missing.size > 0) {
        const reply = replies.createReply(chunkTransfer.createRequest([...missing]))._unsafeUnwrap();
        const { length } = wire.encodeFrame({ type: "reply", id: 1, body: reply });
        t.ok(length * followerCount / linkBytesPerSecond < timeoutSeconds, `a reply of ${length} bytes`);
        const received = chunkTransfer.parseReply(reply)._unsafeUnwrap().filter(text => missing.delete(chunks.computeHash(text)));
        if (!t.ok(received.length > 0, "each reply has texts that were missing")) {
            break;
        }
    }
});
