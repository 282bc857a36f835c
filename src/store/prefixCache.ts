/** A local copy of the entries under a prefix: it is read once, updated by a watch, and read again whenever the watch is lost. */

import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import * as entryTable from "./entryTable.js";
import * as missingEntries from "./missingEntries.js";
import * as peerDelay from "./peerDelay.js";
import type * as prefixCacheOptions from "./prefixCacheOptions.js";
import type * as types from "./types.js";
import * as watchProgress from "./watchProgress.js";

/** Shortest and longest delay before a failed read is retried. The delay doubles with each failure. */
const minimumRetryDelayMs = 100;
const maximumRetryDelayMs = 1_000;
/** By then the watch that follows a read has answered for the first time, if the store reports its answers. */
const firstAnswerDueMs = 3_000;

/** Caches the entries under one prefix. */
export class PrefixCache {
    private readonly table: entryTable.EntryTable;
    private readonly missing: missingEntries.MissingEntries;
    private closeWatch?: () => void;
    private cancelScheduledRead?: loop.Cancel;
    private retryDelayMs = minimumRetryDelayMs;
    private hasReadEntries = false;
    private isStopped = false;
    private wasStoreUnreachable = false;
    private lastReadAt = -Infinity;
    private lastUpdateAt = -Infinity;
    /** The time since which no interruption has been detected. */
    private uninterruptedSince = Infinity;
    private isNotificationScheduled = false;
    private isSuspended = false;
    /** Whether the store itself answers; without answers if the store does not report them. */
    readonly progress: watchProgress.WatchProgress;

    constructor(private readonly options: prefixCacheOptions.CreatePrefixCacheOptions) {
        const { clock, loop } = options.context;
        this.progress = new watchProgress.WatchProgress(clock);
        this.table = new entryTable.EntryTable({ clock, decideOrder: options.decideOrder });
        this.missing = new missingEntries.MissingEntries({ clock, loop, onExpired: keys => this.closeWatch === undefined ? undefined : this.removeMissingEntries(keys) });
    }

    /** Reads the entries and starts to watch them. */
    start(): void {
        void this.readEntries();
    }

    /** Stops watching. */
    stop(): void {
        this.isStopped = true;
        this.cancelScheduledRead?.();
        this.closeWatch?.();
    }

    /** Stops following the store, because a peer's entries take the place of its own; `restartWatch` reads them again. */
    stopWatch(): void {
        this.isSuspended = true;
        this.cancelScheduledRead?.();
        this.closeWatch?.();
        this.closeWatch = undefined;
        this.uninterruptedSince = Infinity;
        this.table.recordWatchEnd();
        this.progress.recordEnd();
    }

    /** Follows the store again. */
    restartWatch(): void {
        this.isSuspended = false;
        this.scheduleRead(0);
    }

    /** Returns whether the entries have been read from the store since the start. */
    hasSynced(): boolean {
        return this.hasReadEntries;
    }

    /** Returns for how long the prefix has been followed without a detected interruption, in milliseconds. */
    getUninterruptedMs(): number {
        return Math.max(0, this.options.context.clock.getNow() - this.uninterruptedSince);
    }

    /** Returns the milliseconds since the last read or watch event. */
    getTimeSinceUpdateMs(): number {
        return this.options.context.clock.getNow() - this.lastUpdateAt;
    }

    /** Returns the keys of the entries that are missing since an outage and may reappear. */
    listMissingKeys(): readonly string[] {
        return this.missing.listKeys();
    }

    /** Removes missing entries that will not reappear. */
    removeMissingEntries(keys: readonly string[]): void {
        const removed = keys.filter(key => this.missing.removeKey(key));
        removed.forEach(key => this.table.removeEntry(key));
        if (removed.length > 0) {
            this.notifyChange();
        }
    }

    /** Returns the cached entries, including those that are missing and may reappear. */
    listEntries(): readonly types.Entry[] {
        return [...this.table.getEntries().values()];
    }

    /** Uses the entries that a peer has read, until this instance has read the store itself. */
    setPeerEntries(entries: readonly types.Entry[]): void {
        if (!this.hasReadEntries) {
            this.table.setPeerEntries(entries);
            this.notifyChange();
        }
    }

    /**
     * Replaces the entries by those of a peer that hears from the store while this instance does not. What the store has reported
     * to this instance stays.
     * @returns Whether entries of the peer were left out, which it will remove, or has to be asked for again.
     */
    setEntries(peerEntries: types.PeerEntries): boolean {
        this.hasReadEntries = true;
        return this.mergeFromPeer(peerEntries, () => this.table.mergePeerEntries(peerEntries));
    }

    /** Applies the changes of a peer's entries; returns whether some were left out, as `setEntries` does. */
    applyChanges(changes: types.PeerChanges): boolean {
        return this.mergeFromPeer(changes, () => this.table.applyPeerChanges(changes));
    }

    /** Returns the revision up to which the store has reported all changes to this instance; undefined if that is not known. */
    getRevision(): number | undefined {
        return this.table.getRevision();
    }

    /** Returns the generation of the store that the entries come from; undefined if it is not known. */
    getGeneration(): number | undefined {
        return this.table.getGeneration();
    }

    /** Returns the state of the cache for the diagnostic dump. */
    getDump(): unknown {
        return {
            prefix: this.options.prefix,
            entries: this.table.getEntries().size,
            isWatching: this.closeWatch !== undefined,
            missing: this.missing.listKeys(),
            generation: this.table.getGeneration(),
            heldBack: this.table.countHeldBack(),
            readAgeMs: Math.round(this.options.context.clock.getNow() - this.lastReadAt),
        };
    }

    private mergeFromPeer({ revision }: types.PeerPosition, merge: () => peerDelay.PeerDelay): boolean {
        const { context: { clock, logger }, prefix } = this.options;
        const before = new Map(this.missing.listKeys().map(key => [key, this.table.getEntries().get(key)]));
        const delay = merge();
        // An entry stays missing unless the peer has a later one, or none.
        const entries = this.table.getEntries();
        [...before].filter(([key, entry]) => !entries.has(key) || entries.get(key) !== entry).forEach(([key]) => this.missing.removeKey(key));
        this.lastUpdateAt = clock.getNow();
        this.notifyChange();
        peerDelay.writePeerDelay({ logger, prefix, delay, peerRevision: revision, revision: this.table.getRevision() });
        return delay.removedKeys.length > 0;
    }

    private notifyChange(): void {
        this.options.onChange(this.table.getEntries());
    }

    private recordProgress(dueMs: number): void {
        this.progress.recordAnswer(dueMs);
        this.options.onProgress?.();
    }

    private scheduleRead(delayMs: number): void {
        if (this.isStopped || this.isSuspended) {
            return;
        }
        this.cancelScheduledRead?.();
        this.cancelScheduledRead = this.options.context.loop.scheduleOnce(delayMs, () => void this.readEntries());
    }

    /** Reads all entries. Whatever goes wrong, another read or a watch follows. */
    private async readEntries(): Promise<void> {
        try {
            await this.readAndWatch();
        }
        catch (thrown) {
            const { context: { logger }, prefix } = this.options;
            logger.writeError("directory-read-failed", `an exception while reading the entries of ${prefix}; they are read again`, { prefix, error: errors.getErrorMessage(thrown) });
            this.scheduleRead(maximumRetryDelayMs);
        }
    }

    private async readAndWatch(): Promise<void> {
        const { context: { clock, logger }, store, prefix } = this.options;
        const listing = await store.listEntries(prefix);
        if (this.isStopped || this.isSuspended) {
            return;
        }
        if (listing.isErr()) {
            this.wasStoreUnreachable = this.hasReadEntries;
            this.scheduleRead(this.retryDelayMs);
            this.retryDelayMs = Math.min(maximumRetryDelayMs, this.retryDelayMs * 2);
            return;
        }
        this.retryDelayMs = minimumRetryDelayMs;
        const now = clock.getNow();
        const { isNewGeneration, missingKeys } = this.table.mergeListing(listing.value, isNew => this.startListing(isNew, now));
        const { entries, generation, revision } = listing.value;
        entries.forEach(({ key }) => this.missing.removeKey(key));
        missingKeys.forEach(key => this.missing.addKey(key));
        this.hasReadEntries = true;
        this.lastReadAt = now;
        this.progress.recordAnswer(firstAnswerDueMs);
        logger.writeInfo("directory-read", `${entries.length} entries of ${prefix} were read`, { prefix, entries: entries.length, revision, lapsed: missingKeys.length });
        if (isNewGeneration) {
            const heldBack = this.table.countHeldBack();
            logger.writeWarning("directory-copy-read", `the store returned with an older copy of ${prefix}; ${heldBack} of its entries are not used`, { prefix, generation, heldBack });
        }
        this.openWatch(revision);
        this.scheduleReread();
        this.notifyChange();
        this.notifyMissing();
        this.lastUpdateAt = now;
    }

    /** Prepares for the entries of a read, and returns whether entries that are not listed stay because they may reappear. */
    private startListing(isNewGeneration: boolean, now: number): boolean {
        // A copy lacks what was written since it was taken; the writers write it again soon.
        const wasUnreachable = this.wasStoreUnreachable || isNewGeneration;
        if (wasUnreachable) {
            this.missing.startGrace();
        }
        if (wasUnreachable || !this.hasReadEntries || this.uninterruptedSince === Infinity) {
            this.uninterruptedSince = now;
        }
        this.wasStoreUnreachable = false;
        return this.hasReadEntries && this.missing.isGracePeriod();
    }

    /** Schedules another read for the end of the time for which entries of an older copy are held back. */
    private scheduleReread(): void {
        const delayMs = this.table.getRereadDelayMs();
        if (delayMs !== undefined) {
            this.scheduleRead(delayMs);
        }
    }

    private openWatch(revision: number): void {
        this.closeWatch?.();
        const { store, prefix } = this.options;
        const close = store.watchPrefix({
            prefix,
            fromRevision: revision + 1,
            onEvent: event => this.handleEvent(event),
            onBroken: wasUnreachable => {
                if (this.closeWatch === close) {
                    this.closeWatch = undefined;
                    this.wasStoreUnreachable ||= wasUnreachable;
                    this.scheduleRead(0);
                }
            },
            getMaximumWaitMs: () => this.options.getMaximumWaitMs?.() ?? Infinity,
            onProgress: dueMs => this.recordProgress(dueMs),
            onInterrupted: () => this.progress.recordFailure(),
            onResumed: () => {
                this.missing.startGrace();
                this.uninterruptedSince = this.options.context.clock.getNow();
            },
        });
        this.closeWatch = close;
    }

    private handleEvent(event: types.WatchEvent): void {
        this.table.recordEvent(event.kind === "put" ? event.entry.revision : event.revision);
        if (event.kind === "put") {
            this.missing.removeKey(event.entry.key);
            this.table.setEntry(event.entry);
        }
        else if (this.missing.isGracePeriod()) {
            this.missing.addKey(event.key);
        }
        else {
            this.missing.removeKey(event.key);
            this.table.removeEntry(event.key);
        }
        this.lastUpdateAt = this.options.context.clock.getNow();
        this.scheduleNotification();
    }

    /** Schedules one notification for all events that arrive in the same response. */
    private scheduleNotification(): void {
        if (this.isNotificationScheduled) {
            return;
        }
        this.isNotificationScheduled = true;
        queueMicrotask(() => {
            this.isNotificationScheduled = false;
            this.notifyChange();
            this.notifyMissing();
        });
    }

    private notifyMissing(): void {
        if (this.missing.listKeys().length > 0) {
            this.options.onEntriesMissing?.();
        }
    }
}
