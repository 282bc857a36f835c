/** Watches the store directory in which upstreams register themselves and updates the pool accordingly. */

import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import * as promClient from "prom-client";
import * as z from "zod";
import * as configuration from "../configuration/index.js";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";
import * as store from "../store/index.js";
import * as directoryFeed from "./directoryFeed.js";
import * as directoryFollower from "./directoryFollower.js";
import * as entryOrder from "./entryOrder.js";

/** An upstream that a directory entry describes. */
export type DiscoveredUpstream = pool.DiscoveredUpstream;

/** What a directory entry says. */
export interface EntryContent extends DiscoveredUpstream {
    /** Rises with each entry that one process of the upstream writes. */
    readonly sequence?: number;
}

/** Parses a directory entry from its key and value. */
export type ParseEntry = (key: string, text: string) => Result<EntryContent, errors.FleetError>;

/** The service key of a custom entry parser. Without one, the value of an entry must be the JSON `{"service": NAME, "definition": {...}}`. */
export const parseEntryKey = serviceRegistry.createServiceKey<ParseEntry>("parseEntry");

/** How often a peer is asked for the entries until the store has answered for the first time. */
const peerFallbackIntervalMs = 250;
/** The most peers that one check of missing entries asks. */
const maximumPeersAsked = 3;
/** An entry that another program wrote is not parsed if it is longer. */
const maximumEntryCharacters = 65_536;
const maximumReportedIssues = 5;
const millisecondsPerSecond = 1_000;
const topic = "directory";
const replySchema = z.object({ steadyMs: z.number(), entries: z.array(z.object({ key: z.string(), value: z.string(), revision: z.number() })).max(100_000) });
const entrySchema = z.strictObject({ service: z.string(), definition: configuration.upstreamSchema });

/** An entry and the upstream that it describes; undefined if the entry is malformed. */
interface ParsedEntry {
    readonly entry: store.Entry;
    readonly upstream: DiscoveredUpstream | undefined;
    readonly sequence: number | undefined;
}

/** Options of an upstream directory. */
export interface CreateUpstreamDirectoryOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
    /** Stops or resumes this instance's watch of the configuration, which peers send as well. */
    readonly setConfigurationWatch: (isNeeded: boolean) => void;
}

/** Applies the directory entries to the pool; sends its entries to peers that request them. */
export class UpstreamDirectory {
    private stopPeerFallback: loop.Cancel = () => {};
    private readonly cache: store.PrefixCache;
    private readonly feed: directoryFeed.DirectoryFeed;
    private readonly follower: directoryFollower.DirectoryFollower;
    private parseEntry: ParseEntry = parseDefaultEntry;
    private isMissingCheckRunning = false;
    private isMissingCheckPending = false;
    /** The parsed entries by key, kept so that only changed entries are parsed again. */
    private parsedEntries = new Map<string, ParsedEntry>();

    constructor(private readonly options: CreateUpstreamDirectoryOptions) {
        const { context } = options;
        options.mesh.setHandler(topic, async () => ok({ steadyMs: this.cache.getUninterruptedMs(), entries: this.cache.hasSynced() ? [...this.cache.listEntries()] : [] }));
        this.cache = new store.PrefixCache({
            context,
            store: options.store,
            prefix: context.settings.upstreamDirectory,
            decideOrder: (entry, known) => entryOrder.decideOrder(this.parseEntry, entry, known),
            onChange: entries => this.handleEntries(entries),
            onEntriesMissing: () => void this.checkMissingEntries(),
            onProgress: () => this.feed.scheduleUpdate(),
            getMaximumWaitMs: () => this.feed.getMaximumWaitMs(),
        });
        this.feed = new directoryFeed.DirectoryFeed({
            context,
            mesh: options.mesh,
            listEntries: () => this.cache.listEntries(),
            getAgeMs: () => this.cache.progress.getAgeMs(),
            getGeneration: () => this.cache.getGeneration(),
            getRevision: () => this.cache.getRevision(),
        });
        this.follower = new directoryFollower.DirectoryFollower({
            context,
            mesh: options.mesh,
            isOwnWatchProgressing: () => this.cache.progress.isProgressing(),
            setEntries: entries => this.cache.setEntries(entries),
            applyChanges: changes => this.cache.applyChanges(changes),
            setOwnWatch: isNeeded => this.setOwnWatch(isNeeded),
        });
        const age: promClient.Gauge = new promClient.Gauge({
            name: "agatebend_directory_age_seconds",
            help: "Seconds since the directory of upstreams was read or last told a change.",
            registers: [context.metrics],
            collect: () => age.set(this.cache.getTimeSinceUpdateMs() / millisecondsPerSecond),
        });
    }

    /** Starts to watch the directory and, until it has been read, to ask peers for the entries. */
    start(): void {
        this.parseEntry = this.options.context.services.findService(parseEntryKey) ?? parseDefaultEntry;
        this.cache.start();
        if (this.options.store.reportsProgress === true) {
            this.follower.start();
        }
        this.stopPeerFallback = this.options.context.loop.scheduleRepeatedly(peerFallbackIntervalMs, () => void this.readEntriesFromPeer());
    }

    /** Stops watching the directory. */
    stop(): void {
        this.follower.stop();
        this.cache.stop();
    }

    /** Returns the state of the watch and the keys of malformed entries for the operators' dump. */
    getDump(): unknown {
        return { ...this.cache.getDump() as object, ...this.follower.getDump() as object, followers: this.feed.countFollowers(), malformed: [...this.parsedEntries].filter(([, { upstream }]) => upstream === undefined).map(([key]) => key) };
    }

    private setOwnWatch(isNeeded: boolean): void {
        if (isNeeded) {
            this.cache.restartWatch();
        }
        else {
            this.cache.stopWatch();
        }
        this.options.setConfigurationWatch(isNeeded);
    }

    private handleEntries(entries: ReadonlyMap<string, store.Entry>): void {
        const before = this.parsedEntries;
        this.parsedEntries = new Map([...entries].map(([key, entry]) => [key, this.parseIfChanged(entry, before.get(key))]));
        const isSame = before.size === this.parsedEntries.size && [...this.parsedEntries].every(([key, { upstream }]) => before.has(key) && before.get(key)!.upstream === upstream);
        // Most updates only renew an entry without changing its upstream; the pool is not notified of those.
        if (!isSame) {
            this.recordFeedChanges(before);
            this.writeUpstreamChanges(before);
            this.options.pool.setDiscoveredUpstreams([...this.parsedEntries.values()].flatMap(({ upstream }) => upstream ?? []));
        }
    }

    /** Parses an entry. If its upstream is unchanged, the previous object is returned, so that callers can compare by identity. */
    private parseIfChanged(entry: store.Entry, previous: ParsedEntry | undefined): ParsedEntry {
        if (previous?.entry === entry || previous?.entry.value === entry.value) {
            return { ...previous, entry };
        }
        const content = this.parseOrWarn(entry);
        if (content === undefined) {
            return { entry, upstream: undefined, sequence: undefined };
        }
        const { sequence, ...upstream } = content;
        if (previous !== undefined && isOutdated(content, previous)) {
            this.options.context.logger.writeInfo("directory-entry-outdated", `ignoring an entry of ${entry.key} that was written before the one in use`, {
                key: entry.key,
                revision: entry.revision,
                sequence,
                knownSequence: previous.sequence,
            });
            return { ...previous, entry };
        }
        return { entry, upstream: isDeepStrictEqual(upstream, previous?.upstream) ? previous?.upstream : upstream, sequence };
    }

    /** Checks the missing entries with peers, one check at a time. Entries that go missing during a check are covered by one more check after it. */
    private async checkMissingEntries(): Promise<void> {
        if (this.isMissingCheckRunning) {
            this.isMissingCheckPending = true;
            return;
        }
        this.isMissingCheckRunning = true;
        try {
            do {
                this.isMissingCheckPending = false;
                await this.checkMissingWithPeers();
            }
            while (this.isMissingCheckPending);
        }
        finally {
            this.isMissingCheckRunning = false;
        }
    }

    /**
     * Asks peers about entries that are missing after the store was unreachable from this instance. If a peer has watched
     * the store without interruption since before then and does not have them either, the store itself had no outage.
     * The entries were then deleted and are removed here.
     */
    private async checkMissingWithPeers(): Promise<void> {
        const { mesh, context: { logger } } = this.options;
        const silenceMs = this.cache.getTimeSinceUpdateMs();
        for (const peer of mesh.listLinkedPeers().slice(0, maximumPeersAsked)) {
            const result = await mesh.sendRequest(peer, topic, {});
            const reply = result.isOk() ? replySchema.safeParse(result.value).data : undefined;
            if (reply !== undefined && reply.steadyMs > silenceMs) {
                const peerKeys = new Set(reply.entries.map(entry => entry.key));
                const deletedKeys = this.cache.listMissingKeys().filter(key => !peerKeys.has(key));
                logger.writeInfo("directory-missing-checked", `removing ${deletedKeys.length} missing entries: ${peer} has watched the store without interruption and does not have them`, {
                    peer,
                    steadyMs: Math.round(reply.steadyMs),
                    silenceMs: Math.round(silenceMs),
                    gone: deletedKeys.length,
                });
                this.cache.removeMissingEntries(deletedKeys);
                return;
            }
        }
    }

    /** Takes the entries of a random peer as long as this instance has not been able to read the store since its start. */
    private async readEntriesFromPeer(): Promise<void> {
        const { mesh, context: { randomness, logger } } = this.options;
        if (this.cache.hasSynced()) {
            this.stopPeerFallback();
            return;
        }
        const linkedPeers = mesh.listLinkedPeers();
        const peer = linkedPeers[Math.floor(randomness.getFraction() * linkedPeers.length)];
        if (peer === undefined) {
            return;
        }
        const result = await mesh.sendRequest(peer, topic, {});
        const entries = result.isOk() ? replySchema.safeParse(result.value).data?.entries ?? [] : [];
        if (entries.length > 0 && !this.cache.hasSynced()) {
            logger.writeInfo("directory-borrowed", `the store has not answered yet; using ${entries.length} directory entries from peer ${peer}`, { peer, entries: entries.length });
            this.cache.setPeerEntries(entries);
        }
    }

    private parseOrWarn(entry: store.Entry): EntryContent | undefined {
        const parsed = this.parseEntry(entry.key, entry.value);
        if (parsed.isErr()) {
            this.options.context.logger.writeWarning("directory-entry-malformed", `ignoring the malformed directory entry ${entry.key}: ${parsed.error.message}`, { key: entry.key, revision: entry.revision });
            return undefined;
        }
        return parsed.value;
    }

    private recordFeedChanges(before: UpstreamDirectory["parsedEntries"]): void {
        const changed = [...this.parsedEntries].filter(([key, { upstream }]) => !before.has(key) || before.get(key)!.upstream !== upstream).map(([, { entry }]) => entry);
        this.feed.recordChanges(changed, [...before.keys()].filter(key => !this.parsedEntries.has(key)));
        // Changes without an answer of the store, such as the end of a missing entry, must not wait for the next one.
        this.feed.scheduleUpdate();
    }

    private writeUpstreamChanges(before: UpstreamDirectory["parsedEntries"]): void {
        const { logger } = this.options.context;
        for (const [key, { entry, upstream }] of this.parsedEntries) {
            if (upstream !== undefined && before.get(key)?.upstream !== upstream) {
                const { service, definition } = upstream;
                logger.writeInfo("upstream-found", `${service}/${definition.id} at ${definition.address} is ${definition.state}`, {
                    service,
                    upstream: definition.id,
                    address: definition.address,
                    state: definition.state,
                    revision: entry.revision,
                });
            }
        }
        [...before].filter(([key, { upstream }]) => upstream !== undefined && !this.parsedEntries.has(key)).forEach(([key, { upstream }]) => {
            logger.writeInfo("upstream-gone", `upstream ${upstream!.service}/${upstream!.definition.id} is no longer in the directory`, { service: upstream!.service, upstream: upstream!.definition.id, key });
        });
    }
}

/** Returns whether an entry arrived after a later one of the same process of the upstream. Another process counts anew. */
function isOutdated({ definition: { startedAtMs }, sequence }: EntryContent, previous: ParsedEntry): boolean {
    const isSameProcess = startedAtMs !== undefined && startedAtMs === previous.upstream?.definition.startedAtMs;
    return isSameProcess && sequence !== undefined && previous.sequence !== undefined && sequence < previous.sequence;
}

function parseDefaultEntry(_key: string, text: string): Result<EntryContent, errors.FleetError> {
    return boundedJson.parseJson(text, { maximumCharacters: maximumEntryCharacters }).andThen(value => {
        const parsed = entrySchema.safeParse(value);
        return parsed.success ? ok(parsed.data) : err(errors.createError("inputMalformed", parsed.error.issues.slice(0, maximumReportedIssues).map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ")));
    });
}
