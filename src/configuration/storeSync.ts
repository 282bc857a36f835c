/** Follows the configuration head in the platform's store, at the few instances whose turn it is. */

import type * as context from "../kernel/context.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";
import * as changeWriter from "./changeWriter.js";
import type * as chunks from "./chunks.js";
import type * as configurationState from "./configurationState.js";

/** Milliseconds between two looks at whose turn it is. */
const lookIntervalMs = 500;
/** Milliseconds between two reads of the head beside the watch, which may have died unnoticed. */
const readIntervalMs = 2_000;

/** Options of the store's part of the synchronisation. */
export interface CreateStoreSyncOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly mesh: peers.Mesh;
    readonly state: configurationState.ConfigurationState;
    readonly writer: changeWriter.ChangeWriter;
    /** Returns whether this instance must ask the store itself, whoever else watches. */
    readonly isNearlyStale: () => boolean;
}

/** Keeps this instance's configuration as new as the store's. */
export class StoreSync {
    private closeWatch?: () => void;
    private isReading = false;
    private readAt = -Infinity;
    private hasRead = false;

    constructor(private readonly options: CreateStoreSyncOptions) {}

    /** Reads the head once, then follows it whenever it is this instance's turn. */
    start(): void {
        const { loop } = this.options.context;
        this.runLook();
        loop.scheduleRepeatedly(lookIntervalMs, () => this.runLook());
    }

    /** Stops following. */
    stop(): void {
        this.closeWatch?.();
        this.closeWatch = undefined;
    }

    /** Returns whether this instance is one of those that watch the store. */
    isWatcher(): boolean {
        const { mesh, context: { settings, identity } } = this.options;
        const running = mesh.listMembers().filter(member => member.state === "running").map(member => member.instanceId);
        const scored = [...new Set([...running, identity.instanceId])].map(id => ({ id, score: randomness.computeRendezvousScore("store-watch", id) }));
        const chosen = scored.sort((a, b) => b.score - a.score).slice(0, settings.storeWatchers);
        return chosen.some(({ id }) => id === identity.instanceId);
    }

    private runLook(): void {
        const isWatcher = this.isWatcher() || this.options.isNearlyStale();
        if (!isWatcher) {
            this.stop();
        }
        const now = this.options.context.clock.getNow();
        const isReadDue = (isWatcher || !this.hasRead) && now - this.readAt >= readIntervalMs;
        if (isReadDue && !this.isReading) {
            this.readAt = now;
            this.isReading = true;
            void this.readAndFollow(isWatcher).finally(() => {
                this.isReading = false;
            });
        }
    }

    private async readAndFollow(isWatcher: boolean): Promise<void> {
        const { store: platform, writer } = this.options;
        const listing = await platform.listEntries(writer.getHeadKey());
        if (listing.isErr()) {
            return;
        }
        this.hasRead = true;
        const entry = listing.value.entries.find(found => found.key === writer.getHeadKey());
        await this.receiveHead(entry);
        if (isWatcher && this.closeWatch === undefined) {
            this.openWatch(listing.value.revision + 1);
        }
    }

    private openWatch(fromRevision: number): void {
        const { store: platform, writer, context: { logger } } = this.options;
        this.closeWatch = platform.watchPrefix({
            prefix: writer.getHeadKey(),
            fromRevision,
            onEvent: event => {
                if (event.kind === "put") {
                    void this.receiveHead(event.entry);
                }
            },
            onBroken: () => {
                this.closeWatch = undefined;
                logger.writeDebug("store-watch-broken", "the watch of the configuration ended and is opened again");
            },
        });
    }

    private async receiveHead(entry: store.Entry | undefined): Promise<void> {
        const { state, context: { logger } } = this.options;
        const parsed = entry === undefined ? undefined : changeWriter.parseHead(entry.value);
        if (parsed !== undefined && parsed.isErr()) {
            logger.writeError("configuration-head-malformed", parsed.error.message);
            return;
        }
        const head = parsed?.value;
        const version = head?.version ?? 0;
        if (head !== undefined && version > state.getVersion()) {
            await this.applyHead(head);
        }
        else if (version < state.getVersion()) {
            await this.restoreStore(version);
        }
    }

    private async applyHead(head: chunks.ConfigurationHead): Promise<void> {
        const { state, writer, context: { logger } } = this.options;
        const texts = await writer.readChunks(state.listMissingChunks(head));
        const adopted = texts.andThen(received => state.applyVersion(head, received));
        if (adopted.isErr()) {
            logger.writeWarning("configuration-adopt-failed", adopted.error.message, { version: head.version });
            return;
        }
        if (adopted.value) {
            logger.writeInfo("configuration-in-force", `version ${head.version} is in force`, { version: head.version, changeId: head.changeId, source: "store" });
        }
    }

    /** The store holds an older version than the one in force: it was restored, so the newer one is put back. */
    private async restoreStore(storedVersion: number): Promise<void> {
        const { state, writer, context: { logger } } = this.options;
        const current = state.getCurrent();
        if (current === undefined) {
            return;
        }
        logger.writeWarning("configuration-store-behind", `the store holds version ${storedVersion}; version ${current.head.version} stays in force and is written back`, { storedVersion, version: current.head.version });
        const restored = await writer.restoreHead(current.head, state.getChunkTexts());
        if (restored.isOk() && restored.value) {
            logger.writeInfo("configuration-store-restored", `version ${current.head.version} is in the store again`, { version: current.head.version });
        }
    }
}
