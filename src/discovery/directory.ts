/** Follows the directory in which upstreams register themselves. */

import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import * as promClient from "prom-client";
import { z } from "zod";
import * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import * as services from "../kernel/services.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";
import * as store from "../store/index.js";

/** An upstream that an entry names. */
export type DiscoveredUpstream = pool.DiscoveredUpstream;

/** Parses an entry of the directory. */
export type ParseEntry = (key: string, text: string) => Result<DiscoveredUpstream, errors.FleetError>;

/** The key of the parser; without one, entries are `{"service": NAME, "definition": {...}}` in the product's own form. */
export const parseEntryKey = services.createKey<ParseEntry>("parseEntry");

/** Milliseconds between two questions to a peer while the store has not answered. */
const peerFallbackIntervalMs = 250;
/** The most peers that are asked about missing entries. */
const maximumPeersAsked = 3;
const millisecondsPerSecond = 1_000;
const topic = "directory";
const replySchema = z.object({ steadyMs: z.number(), entries: z.array(z.object({ key: z.string(), value: z.string(), revision: z.number() })).max(100_000) });
const entrySchema = z.strictObject({ service: z.string(), definition: configuration.upstreamSchema });

/** An entry, and what it names. */
interface ParsedEntry {
    readonly entry: store.Entry;
    readonly upstream: DiscoveredUpstream | undefined;
}

/** Options of a directory. */
export interface CreateUpstreamDirectoryOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

/** Keeps the pool as the directory says. */
export class UpstreamDirectory {
    private stopPeerFallback: loop.Cancel = () => {};
    private readonly follower: store.PrefixFollower;
    private parseEntry: ParseEntry = parseDefaultEntry;
    private isMissingCheckRunning = false;
    private isMissingCheckPending = false;
    /** What each entry says, by key, so that only changed entries are parsed again. */
    private parsedEntries = new Map<string, ParsedEntry>();

    constructor(private readonly options: CreateUpstreamDirectoryOptions) {
        const { context: shared } = options;
        options.mesh.setHandler(topic, async () => ok({ steadyMs: this.follower.getSteadyMs(), entries: this.follower.isRead() ? [...this.follower.listEntries()] : [] }));
        this.follower = new store.PrefixFollower({ context: shared, store: options.store, prefix: shared.settings.upstreamDirectory, onChange: entries => this.receiveEntries(entries), onMissing: () => void this.checkMissingEntries() });
        const age: promClient.Gauge = new promClient.Gauge({
            name: "agatebend_directory_age_seconds",
            help: "Seconds since the directory of upstreams was read or last told a change.",
            registers: [shared.metrics],
            collect: () => age.set(this.follower.getSilenceMs() / millisecondsPerSecond),
        });
    }

    /** Begins to follow the directory. */
    start(): void {
        this.parseEntry = this.options.context.services.findService(parseEntryKey) ?? parseDefaultEntry;
        this.follower.start();
        this.stopPeerFallback = this.options.context.loop.scheduleRepeatedly(peerFallbackIntervalMs, () => void this.readEntriesFromPeer());
    }

    /** Stops following. */
    stop(): void {
        this.follower.stop();
    }

    /** Returns the directory's state for the dump. */
    getDump(): unknown {
        return { ...this.follower.getDump() as object, malformed: [...this.parsedEntries].filter(([, { upstream: found }]) => found === undefined).map(([key]) => key) };
    }

    private receiveEntries(entries: ReadonlyMap<string, store.Entry>): void {
        const before = this.parsedEntries;
        this.parsedEntries = new Map([...entries].map(([key, entry]) => [key, this.parseIfChanged(entry, before.get(key))]));
        const isSame = before.size === this.parsedEntries.size && [...this.parsedEntries].every(([key, { upstream: found }]) => before.has(key) && before.get(key)!.upstream === found);
        // Most changes are signs of life alone, which the pools need not hear of.
        if (!isSame) {
            this.writeUpstreamChanges(before);
            this.options.pool.setDiscovered([...this.parsedEntries.values()].flatMap(({ upstream: found }) => found ?? []));
        }
    }

    /** Parses an entry; what says the same as before keeps its identity. */
    private parseIfChanged(entry: store.Entry, known: ParsedEntry | undefined): ParsedEntry {
        if (known?.entry === entry || known?.entry.value === entry.value) {
            return { entry, upstream: known.upstream };
        }
        const found = this.parseOrWarn(entry);
        return { entry, upstream: isDeepStrictEqual(found, known?.upstream) ? known?.upstream : found };
    }

    /** While an answer is awaited, further losses wait for the next question. */
    private async checkMissingEntries(): Promise<void> {
        if (this.isMissingCheckRunning) {
            this.isMissingCheckPending = true;
            return;
        }
        this.isMissingCheckRunning = true;
        do {
            this.isMissingCheckPending = false;
            await this.checkMissingWithPeers();
        }
        while (this.isMissingCheckPending);
        this.isMissingCheckRunning = false;
    }

    /**
     * Asks a peer about entries that are missing after the store was away from here: where the peer has followed the
     * store all the while and lacks them too, it was this instance that was cut off, and they are gone.
     */
    private async checkMissingWithPeers(): Promise<void> {
        const { mesh, context: { logger } } = this.options;
        const silenceMs = this.follower.getSilenceMs();
        for (const peer of mesh.listLinkedPeers().slice(0, maximumPeersAsked)) {
            const answer = await mesh.sendRequest(peer, topic, {});
            const reply = answer.isOk() ? replySchema.safeParse(answer.value).data : undefined;
            if (reply !== undefined && reply.steadyMs > silenceMs) {
                const known = new Set(reply.entries.map(entry => entry.key));
                const gone = this.follower.listMissing().filter(key => !known.has(key));
                logger.writeInfo("directory-missing-checked", `${gone.length} missing entries are gone, since ${peer} has followed the store all the while and lacks them`, {
                    peer,
                    steadyMs: Math.round(reply.steadyMs),
                    silenceMs: Math.round(silenceMs),
                    gone: gone.length,
                });
                this.follower.removeMissing(gone);
                return;
            }
        }
    }

    /** While the store does not answer a started instance, a peer's word is better than none. */
    private async readEntriesFromPeer(): Promise<void> {
        const { mesh, context: { randomness, logger } } = this.options;
        if (this.follower.isRead()) {
            this.stopPeerFallback();
            return;
        }
        const linked = mesh.listLinkedPeers();
        const peer = linked[Math.floor(randomness.getFraction() * linked.length)];
        if (peer === undefined) {
            return;
        }
        const answer = await mesh.sendRequest(peer, topic, {});
        const entries = answer.isOk() ? replySchema.safeParse(answer.value).data?.entries ?? [] : [];
        if (entries.length > 0 && !this.follower.isRead()) {
            logger.writeInfo("directory-borrowed", `${entries.length} entries were taken over from ${peer}, since the store has not answered yet`, { peer, entries: entries.length });
            this.follower.setBorrowed(entries);
        }
    }

    private parseOrWarn(entry: store.Entry): DiscoveredUpstream | undefined {
        const parsed = this.parseEntry(entry.key, entry.value);
        if (parsed.isErr()) {
            this.options.context.logger.writeWarning("directory-entry-malformed", `the entry ${entry.key} names no upstream: ${parsed.error.message}`, { key: entry.key, revision: entry.revision });
            return undefined;
        }
        return parsed.value;
    }

    private writeUpstreamChanges(before: UpstreamDirectory["parsedEntries"]): void {
        const { logger } = this.options.context;
        for (const [key, { entry, upstream: found }] of this.parsedEntries) {
            if (found !== undefined && before.get(key)?.upstream !== found) {
                const { service, definition } = found;
                logger.writeInfo("upstream-found", `${service}/${definition.id} at ${definition.address} is ${definition.state}`, {
                    service,
                    upstream: definition.id,
                    address: definition.address,
                    state: definition.state,
                    revision: entry.revision,
                });
            }
        }
        [...before].filter(([key, { upstream: found }]) => found !== undefined && !this.parsedEntries.has(key)).forEach(([key, { upstream: found }]) => {
            logger.writeInfo("upstream-gone", `${found!.service}/${found!.definition.id} is no longer in the directory`, { service: found!.service, upstream: found!.definition.id, key });
        });
    }
}

function parseDefaultEntry(_key: string, text: string): Result<DiscoveredUpstream, errors.FleetError> {
    try {
        const parsed = entrySchema.safeParse(JSON.parse(text));
        return parsed.success ? ok(parsed.data) : err(errors.createError("configurationInvalid", parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ")));
    }
    catch (thrown) {
        return err(errors.createError("configurationInvalid", `the entry is not JSON: ${errors.getThrownMessage(thrown)}`));
    }
}
