/** Follows the configuration head in the store, on the few instances that are chosen to watch it. */

import type * as context from "../kernel/context.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";
import * as changeWriter from "./changeWriter.js";
import type * as chunks from "./chunks.js";
import type * as configurationState from "./configurationState.js";

/** Milliseconds between two checks of whether this instance is to watch the store. */
const checkIntervalMs = 500;
/** Milliseconds between two reads of the head. They supplement the watch, which may fail without being noticed. */
const headReadIntervalMs = 2_000;

/** Options of the synchronization with the store. */
export interface CreateStoreSyncOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly mesh: peers.Mesh;
    readonly state: configurationState.ConfigurationState;
    readonly writer: changeWriter.ChangeWriter;
    /** Returns whether this instance must read the store itself, even if it is not chosen to watch it. */
    readonly isNearlyStale: () => boolean;
}

/** Keeps the configuration of this instance as recent as the store's. */
export class StoreSync {
    private closeWatch?: () => void;
    private isReading = false;
    private lastReadAt = -Infinity;
    private hasReadHead = false;

    constructor(private readonly options: CreateStoreSyncOptions) {}

    /** Reads the head once, then follows it while this instance is chosen to watch the store. */
    start(): void {
        const { loop } = this.options.context;
        this.runCheck();
        loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /** Stops following the head. */
    stop(): void {
        this.closeWatch?.();
        this.closeWatch = undefined;
    }

    /** Returns whether this instance is chosen to watch the store. */
    isWatcher(): boolean {
        const { mesh, context: { settings, identity } } = this.options;
        const running = mesh.listMembers().filter(member => member.state === "running").map(member => member.instanceId);
        const candidates = [...new Set([...running, identity.instanceId])].map(id => ({ id, score: randomness.computeRendezvousScore("store-watch", id) }));
        const chosen = candidates.sort((a, b) => b.score - a.score).slice(0, settings.storeWatchers);
        return chosen.some(({ id }) => id === identity.instanceId);
    }

    private runCheck(): void {
        const mustWatch = this.isWatcher() || this.options.isNearlyStale();
        if (!mustWatch) {
            this.stop();
        }
        const now = this.options.context.clock.getNow();
        const isReadDue = (mustWatch || !this.hasReadHead) && now - this.lastReadAt >= headReadIntervalMs;
        if (isReadDue && !this.isReading) {
            this.lastReadAt = now;
            this.isReading = true;
            void this.readAndFollow(mustWatch).finally(() => {
                this.isReading = false;
            });
        }
    }

    private async readAndFollow(mustWatch: boolean): Promise<void> {
        const { store: storeService, writer } = this.options;
        const listing = await storeService.listEntries(writer.getHeadKey());
        if (listing.isErr()) {
            return;
        }
        this.hasReadHead = true;
        const entry = listing.value.entries.find(found => found.key === writer.getHeadKey());
        await this.receiveHead(entry);
        if (mustWatch && this.closeWatch === undefined) {
            this.openWatch(listing.value.revision + 1);
        }
    }

    private openWatch(fromRevision: number): void {
        const { store: storeService, writer, context: { logger } } = this.options;
        this.closeWatch = storeService.watchPrefix({
            prefix: writer.getHeadKey(),
            fromRevision,
            onEvent: event => {
                if (event.kind === "put") {
                    void this.receiveHead(event.entry);
                }
            },
            onBroken: () => {
                this.closeWatch = undefined;
                // The store may have returned with an older copy, which must be written again soon.
                this.lastReadAt = -Infinity;
                logger.writeDebug("store-watch-broken", "the watch on the configuration head ended and will be reopened");
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
        const chunkTexts = await writer.readChunks(state.listMissingChunks(head));
        const applied = chunkTexts.andThen(received => state.applyVersion(head, received));
        if (applied.isErr()) {
            logger.writeWarning("configuration-adopt-failed", applied.error.message, { version: head.version });
            return;
        }
        if (applied.value) {
            logger.writeInfo("configuration-in-force", `version ${head.version} is active`, { version: head.version, changeId: head.changeId, source: "store" });
        }
    }

    /** Writes the active version back to a store that holds an older one, as happens when the store is restored from a backup. */
    private async restoreStore(storedVersion: number): Promise<void> {
        const { state, writer, context: { logger } } = this.options;
        const current = state.getCurrent();
        if (current === undefined) {
            return;
        }
        logger.writeWarning("configuration-store-behind", `the store holds version ${storedVersion}; version ${current.head.version} stays active and will be written back`, { storedVersion, version: current.head.version });
        const restored = await writer.restoreHead(current.head, state.getChunkTexts());
        if (restored.isOk() && restored.value) {
            logger.writeInfo("configuration-store-restored", `version ${current.head.version} was written back to the store`, { version: current.head.version });
        }
    }
}
