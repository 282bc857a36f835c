/** Keeps a copy of the entries under a prefix: reads them once, follows the watch, and reads again after every loss of it. */

import type * as context from "../kernel/context.js";
import type * as loop from "../kernel/loop.js";
import type * as types from "./types.js";

/** Shortest and longest wait before the entries are read again after a loss, in milliseconds. */
const minimumRetryMs = 100;
const maximumRetryMs = 1_000;
/** The store gives lapsed entries this long to return after its outage, in milliseconds; published by the platform. */
const returnGraceMs = 2_000;
/** Milliseconds between two looks at entries whose grace is over. */
const graceLookMs = 100;

/** Options of a follower. */
export interface CreatePrefixCacheOptions {
    readonly context: context.Context;
    readonly store: types.StoreService;
    readonly prefix: string;
    /** Called after each change with all entries by key. */
    readonly onChange: (entries: ReadonlyMap<string, types.Entry>) => void;
    /** Called when entries are missing after the store was away from here, and may return. */
    readonly onEntriesMissing?: () => void;
}

/** Follows one prefix. */
export class PrefixCache {
    private entries = new Map<string, types.Entry>();
    /** Entries that were missing right after an outage, and until when they may return. */
    private readonly missing = new Map<string, number>();
    private closeWatch?: () => void;
    private cancelRetry?: loop.Cancel;
    private retryMs = minimumRetryMs;
    private stopLooking: loop.Cancel = () => {};
    private hasRead = false;
    private isStopped = false;
    private wasAway = false;
    /** Until when a removal may be the work of an outage. */
    private graceUntil = -Infinity;
    private readAt = -Infinity;
    private heardAt = -Infinity;
    /** Since when no loss has been noticed. */
    private steadySince = Infinity;
    private isPublishing = false;

    constructor(private readonly options: CreatePrefixCacheOptions) {}

    /** Begins to follow. */
    start(): void {
        void this.readEntries();
    }

    /** Stops following. */
    stop(): void {
        this.isStopped = true;
        this.cancelRetry?.();
        this.closeWatch?.();
    }

    /** Returns whether the entries have been read since the start. */
    hasSynced(): boolean {
        return this.hasRead;
    }

    /** Returns for how long the prefix has been followed without a noticed loss, in milliseconds. */
    getUninterruptedMs(): number {
        return Math.max(0, this.options.context.clock.getNow() - this.steadySince);
    }

    /** Returns milliseconds since the store last told something. */
    getTimeSinceUpdateMs(): number {
        return this.options.context.clock.getNow() - this.heardAt;
    }

    /** Returns the entries that are missing and may return. */
    listMissingKeys(): readonly string[] {
        return [...this.missing.keys()];
    }

    /**
     * Removes missing entries that are known to be gone.
     * @param keys - Their keys.
     */
    removeMissingEntries(keys: readonly string[]): void {
        const gone = keys.filter(key => this.missing.delete(key));
        gone.forEach(key => this.entries.delete(key));
        if (gone.length > 0) {
            this.options.onChange(this.entries);
        }
    }

    /** Returns the entries as they are known. */
    listEntries(): readonly types.Entry[] {
        return [...this.entries.values()];
    }

    /**
     * Takes over what another instance knows, until this one has read the store itself.
     * @param entries - The other's entries.
     */
    setPeerEntries(entries: readonly types.Entry[]): void {
        if (!this.hasRead) {
            this.entries = new Map(entries.map(entry => [entry.key, entry]));
            this.options.onChange(this.entries);
        }
    }

    /** Returns the follower's state for the dump. */
    getDump(): unknown {
        return { prefix: this.options.prefix, entries: this.entries.size, isWatching: this.closeWatch !== undefined, missing: [...this.missing.keys()], readAgeMs: Math.round(this.options.context.clock.getNow() - this.readAt) };
    }

    private scheduleRead(delayMs: number): void {
        if (this.isStopped) {
            return;
        }
        this.cancelRetry?.();
        this.cancelRetry = this.options.context.loop.scheduleOnce(delayMs, () => void this.readEntries());
    }

    private async readEntries(): Promise<void> {
        const { context: { clock, logger }, store, prefix } = this.options;
        const listing = await store.listEntries(prefix);
        if (this.isStopped) {
            return;
        }
        if (listing.isErr()) {
            this.wasAway = this.hasRead;
            this.scheduleRead(this.retryMs);
            this.retryMs = Math.min(maximumRetryMs, this.retryMs * 2);
            return;
        }
        this.retryMs = minimumRetryMs;
        const now = clock.getNow();
        const found = new Map(listing.value.entries.map(entry => [entry.key, entry]));
        if (this.wasAway) {
            this.graceUntil = now + returnGraceMs;
        }
        if (this.wasAway || !this.hasRead) {
            this.steadySince = now;
        }
        this.wasAway = false;
        const lapsed = this.hasRead && now < this.graceUntil ? [...this.entries].filter(([key]) => !found.has(key)) : [];
        lapsed.forEach(([key, entry]) => this.addMissing(key, entry, found));
        [...found.keys()].filter(key => !lapsed.some(([missing]) => missing === key)).forEach(key => this.missing.delete(key));
        this.entries = found;
        this.hasRead = true;
        this.readAt = now;
        logger.writeInfo("directory-read", `${listing.value.entries.length} entries of ${prefix} were read`, { prefix, entries: listing.value.entries.length, revision: listing.value.revision, lapsed: lapsed.length });
        this.openWatch(listing.value.revision);
        this.options.onChange(this.entries);
        this.publishMissing();
        this.heardAt = now;
    }

    /** An outage may have ended the lease of an upstream that is well; its entry then returns within the grace. */
    private addMissing(key: string, entry: types.Entry, found: Map<string, types.Entry>): void {
        found.set(key, entry);
        if (!this.missing.has(key)) {
            this.addMissingKey(key);
        }
    }

    private addMissingKey(key: string): void {
        if (this.missing.size === 0) {
            this.stopLooking();
            this.stopLooking = this.options.context.loop.scheduleRepeatedly(graceLookMs, () => this.removeOverdue());
        }
        this.missing.set(key, this.graceUntil);
    }

    private openWatch(revision: number): void {
        this.closeWatch?.();
        const { store, prefix } = this.options;
        const close = store.watchPrefix({
            prefix,
            fromRevision: revision + 1,
            onEvent: event => this.receiveEvent(event),
            onBroken: wasAway => {
                if (this.closeWatch === close) {
                    this.closeWatch = undefined;
                    this.wasAway ||= wasAway;
                    this.scheduleRead(0);
                }
            },
            onResumed: () => {
                const now = this.options.context.clock.getNow();
                this.graceUntil = now + returnGraceMs;
                this.steadySince = now;
            },
        });
        this.closeWatch = close;
    }

    private receiveEvent(event: types.WatchEvent): void {
        if (event.kind === "put") {
            this.missing.delete(event.entry.key);
            this.entries.set(event.entry.key, event.entry);
        }
        else if (this.options.context.clock.getNow() < this.graceUntil) {
            this.addMissingKey(event.key);
        }
        else {
            this.missing.delete(event.key);
            this.entries.delete(event.key);
        }
        this.heardAt = this.options.context.clock.getNow();
        this.schedulePublication();
    }

    /** Events that arrive in one answer are published together. */
    private schedulePublication(): void {
        if (this.isPublishing) {
            return;
        }
        this.isPublishing = true;
        queueMicrotask(() => {
            this.isPublishing = false;
            this.options.onChange(this.entries);
            this.publishMissing();
        });
    }

    private publishMissing(): void {
        if (this.missing.size > 0) {
            this.options.onEntriesMissing?.();
        }
    }

    private removeOverdue(): void {
        if (this.missing.size === 0) {
            this.stopLooking();
        }
        const now = this.options.context.clock.getNow();
        if (this.closeWatch !== undefined) {
            this.removeMissingEntries([...this.missing].filter(([, until]) => until <= now).map(([key]) => key));
        }
    }
}
