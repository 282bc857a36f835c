/** Spreads the configuration between peers: whoever is behind fetches the head and the chunks it lacks. */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as peers from "../peers/index.js";
import * as chunks from "./chunks.js";
import type * as configurationState from "./configurationState.js";

/** Milliseconds between two looks for a peer that is ahead. */
const lookIntervalMs = 500;
/**
 * Where every instance follows the store itself, peers are told of a version only after this time, in milliseconds: more
 * than a watch collects events, so that only who lags behind the store fetches it from a peer.
 */
const publishDelayMs = 400;
/** The most characters of chunk texts in one reply. */
const replyCharacters = 1_000_000;
const headTopic = "configuration.head";
const chunksTopic = "configuration.chunks";

const chunksRequestSchema = z.strictObject({ hashes: z.array(z.string()).max(10_000) });
const chunksReplySchema = z.strictObject({ texts: z.array(z.string()) });

/** Options of the peers' part of the synchronisation. */
export interface CreatePeerSyncOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly state: configurationState.ConfigurationState;
}

/** Keeps this instance's configuration as new as its peers'. */
export class PeerSync {
    private isFetching = false;
    private publishedVersion = 0;
    private isPublishing = false;

    constructor(private readonly options: CreatePeerSyncOptions) {
        const { mesh, state } = options;
        mesh.setHandler(headTopic, async () => {
            const current = state.getCurrent();
            return current === undefined ? err(errors.createError("notConfigured")) : ok(current.head);
        });
        mesh.setHandler(chunksTopic, async body => this.answerChunks(body));
        mesh.addListener("member", () => this.runLook());
        state.addListener(() => this.schedulePublication());
    }

    /** Begins to look for newer versions. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(lookIntervalMs, () => this.runLook());
    }

    /** The first version is told at once, since callers are sent only to instances that have one. */
    private schedulePublication(): void {
        const { loop, settings } = this.options.context;
        if (settings.configurationKey === "" || this.publishedVersion === 0) {
            this.publishVersion();
            return;
        }
        if (!this.isPublishing) {
            this.isPublishing = true;
            loop.scheduleOnce(publishDelayMs, () => this.publishVersion());
        }
    }

    private publishVersion(): void {
        this.isPublishing = false;
        this.publishedVersion = this.options.state.getVersion();
        this.options.mesh.setMember({ configurationVersion: this.publishedVersion });
    }

    private runLook(): void {
        const { mesh, state, context: shared } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const ahead = mesh.listMembers().filter(member => linked.has(member.instanceId) && member.configurationVersion > state.getVersion());
        const source = ahead[Math.floor(shared.randomness.getFraction() * ahead.length)];
        if (source === undefined || this.isFetching) {
            return;
        }
        this.isFetching = true;
        void this.readFrom(source.instanceId).then(result => {
            this.isFetching = false;
            if (result.isErr()) {
                shared.logger.writeWarning("configuration-fetch-failed", result.error.message, { peer: source.instanceId });
                return;
            }
            this.runLook();
        });
    }

    private async readFrom(peerId: string): Promise<Result<boolean, errors.FleetError>> {
        const { mesh, state, context: shared } = this.options;
        const reply = await mesh.sendRequest(peerId, headTopic, {});
        const head = reply.andThen(body => parseReply(chunks.configurationHeadSchema, body));
        if (head.isErr()) {
            return err(head.error);
        }
        const received = new Map<string, string>();
        let missing = state.listMissingChunks(head.value);
        while (missing.length > 0) {
            const answer = await mesh.sendRequest(peerId, chunksTopic, { hashes: missing });
            const texts = answer.andThen(body => parseReply(chunksReplySchema, body));
            if (texts.isErr()) {
                return err(texts.error);
            }
            texts.value.texts.forEach(text => received.set(chunks.computeHash(text), text));
            const left = missing.filter(hash => !received.has(hash));
            if (left.length === missing.length) {
                return err(errors.createError("peerUnreachable", `${peerId} no longer holds the chunks of version ${head.value.version}`));
            }
            missing = left;
        }
        const adopted = state.applyVersion(head.value, received);
        if (adopted.isOk() && adopted.value) {
            shared.logger.writeInfo("configuration-in-force", `version ${head.value.version} is in force`, { version: head.value.version, changeId: head.value.changeId, source: peerId });
        }
        return adopted;
    }

    private answerChunks(body: unknown): Result<unknown, errors.FleetError> {
        return parseReply(chunksRequestSchema, body).map(({ hashes }) => {
            const texts: string[] = [];
            let characters = 0;
            for (const hash of hashes) {
                const text = this.options.state.getChunkTexts().get(hash);
                if (text === undefined) {
                    continue;
                }
                characters += text.length;
                if (characters > replyCharacters && texts.length > 0) {
                    break;
                }
                texts.push(text);
            }
            return { texts };
        });
    }
}

function parseReply<T>(schema: z.ZodType<T>, body: unknown): Result<T, errors.FleetError> {
    const parsed = schema.safeParse(body);
    return parsed.success ? ok(parsed.data) : err(errors.createError("peerUnreachable", "a peer's message about the configuration is malformed"));
}
