/** Synchronizes the configuration between peers: an instance with an older version fetches the head and the chunks that it lacks. */

import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as peers from "../peers/index.js";
import * as chunks from "./chunks.js";
import * as chunkTransfer from "./chunkTransfer.js";
import type * as configurationState from "./configurationState.js";

/** Milliseconds between two checks for a peer with a newer configuration version. */
const checkIntervalMs = 500;
/**
 * Delay before a new version is announced to peers if every instance follows the store itself, in milliseconds. It is
 * longer than the time over which a watch collects events, so that only an instance that lags behind the store fetches
 * the version from a peer.
 */
const publishDelayMs = 400;
const headTopic = "configuration.head";
const chunksTopic = "configuration.chunks";

/** Options of the synchronization with peers. */
export interface CreatePeerSyncOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly state: configurationState.ConfigurationState;
}

/** Keeps the configuration of this instance as recent as that of its peers. */
export class PeerSync {
    private isFetching = false;
    private publishedVersion = 0;
    private isPublicationScheduled = false;
    /** Chunk texts by hash of a version that has not been received whole. They stay when a reply is lost. */
    private readonly receivedTexts = new Map<string, string>();

    constructor(private readonly options: CreatePeerSyncOptions) {
        const { mesh, state } = options;
        mesh.setHandler(headTopic, async () => {
            const current = state.getCurrent();
            return current === undefined ? err(errors.createError("notConfigured")) : ok(current.head);
        });
        const replies = new chunkTransfer.ChunkReplies(() => state.getChunkTexts());
        mesh.setHandler(chunksTopic, async body => replies.createReply(body));
        mesh.addListener("member", () => this.runCheck());
        state.addListener(() => {
            replies.removeKept();
            this.schedulePublication();
        });
    }

    /** Starts the periodic checks for newer versions. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /** Announces the first version immediately, because callers are directed only to instances that have a configuration. */
    private schedulePublication(): void {
        const { loop, settings } = this.options.context;
        // In cells, the relays alone follow the store, and the others fetch each version from them.
        const isAwaited = this.options.mesh.isCellRelay();
        if (settings.configurationKey === "" || this.publishedVersion === 0 || isAwaited) {
            this.publishVersion();
            return;
        }
        if (!this.isPublicationScheduled) {
            this.isPublicationScheduled = true;
            loop.scheduleOnce(publishDelayMs, () => this.publishVersion());
        }
    }

    private publishVersion(): void {
        this.isPublicationScheduled = false;
        this.publishedVersion = this.options.state.getVersion();
        this.options.mesh.setMember({ configurationVersion: this.publishedVersion });
    }

    private runCheck(): void {
        const { mesh, state, context } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const newerPeers = mesh.listMembers().filter(member => linked.has(member.instanceId) && member.configurationVersion > state.getVersion());
        const source = newerPeers[Math.floor(context.randomness.getFraction() * newerPeers.length)];
        if (source === undefined || this.isFetching) {
            return;
        }
        this.isFetching = true;
        void this.readFromPeer(source.instanceId).then(result => {
            this.isFetching = false;
            if (result.isErr()) {
                context.logger.writeWarning("configuration-fetch-failed", result.error.message, { peer: source.instanceId });
                return;
            }
            this.runCheck();
        });
    }

    private async readFromPeer(peerId: string): Promise<Result<boolean, errors.FleetError>> {
        const { mesh, state, context } = this.options;
        const headReply = await mesh.sendRequest(peerId, headTopic, {});
        const head = headReply.andThen(body => parseMessage(chunks.configurationHeadSchema, body));
        if (head.isErr()) {
            return err(head.error);
        }
        const fetched = await this.readMissingChunks(peerId, head.value);
        if (fetched.isErr()) {
            return err(fetched.error);
        }
        const applied = state.applyVersion(head.value, this.receivedTexts);
        this.receivedTexts.clear();
        if (applied.isOk() && applied.value) {
            context.logger.writeInfo("configuration-in-force", `version ${head.value.version} is active`, { version: head.value.version, changeId: head.value.changeId, source: peerId });
        }
        return applied;
    }

    /** Reads the chunks of a version that this instance lacks, and ends early if a version as recent becomes active meanwhile. */
    private async readMissingChunks(peerId: string, head: chunks.ConfigurationHead): Promise<Result<void, errors.FleetError>> {
        const { mesh, state } = this.options;
        const needed = new Set(Object.values(head.chunks));
        [...this.receivedTexts.keys()].filter(hash => !needed.has(hash)).forEach(hash => this.receivedTexts.delete(hash));
        while (state.getVersion() < head.version) {
            const missing = state.listMissingChunks(head).filter(hash => !this.receivedTexts.has(hash));
            if (missing.length === 0) {
                break;
            }
            const reply = await mesh.sendRequest(peerId, chunksTopic, chunkTransfer.createRequest(missing));
            const chunkTexts = reply.isErr() ? err(reply.error) : chunkTransfer.parseReply(reply.value);
            if (chunkTexts.isErr()) {
                return err(chunkTexts.error);
            }
            chunkTexts.value.map(text => [chunks.computeHash(text), text] as const).filter(([hash]) => needed.has(hash)).forEach(([hash, text]) => this.receivedTexts.set(hash, text));
            if (missing.every(hash => !this.receivedTexts.has(hash))) {
                return err(errors.createError("peerUnreachable", `${peerId} no longer holds the chunks of version ${head.version}`));
            }
        }
        return ok(undefined);
    }
}

function parseMessage<T>(schema: z.ZodType<T>, body: unknown): Result<T, errors.FleetError> {
    const parsed = schema.safeParse(body);
    return parsed.success ? ok(parsed.data) : err(errors.createError("peerUnreachable", "a configuration message from a peer is malformed"));
}
