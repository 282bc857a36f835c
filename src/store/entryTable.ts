/** The entries of a prefix in use, with the generation of the store that they come from. */

import type * as clock from "../kernel/clock.js";
import * as peerDelay from "./peerDelay.js";
import * as restoredEntries from "./restoredEntries.js";
import type * as types from "./types.js";

/** Options of an entry table. */
export interface CreateEntryTableOptions {
    readonly clock: clock.Clock;
    /** Compares the contents of two entries of a key, for a store that returned with an older copy. */
    readonly decideOrder?: restoredEntries.DecideOrder;
}

/**
 * Holds entries by key. An entry is not replaced by an earlier one, also when revisions are given out again. One of which the
 * store has reported the removal does not come back with the entries of a peer that still has it.
 */
export class EntryTable {
    private entries = new Map<string, types.Entry>();
    /** Undefined if it is not known. */
    private generation: number | undefined;
    /**
     * The revision up to which the store has reported all changes; undefined if it does not report them. An entry that was
     * written up to then and is not in the table was removed.
     */
    private revision: number | undefined;
    /** Whether the entries come from a peer and the store has not been read yet. */
    private isBorrowed = false;
    private readonly restored: restoredEntries.RestoredEntries;

    constructor(private readonly options: CreateEntryTableOptions) {
        this.restored = new restoredEntries.RestoredEntries(options.decideOrder);
    }

    /** Returns the entries by key. */
    getEntries(): ReadonlyMap<string, types.Entry> {
        return this.entries;
    }

    /** Returns the generation of the store that the entries come from; undefined if it is not known. */
    getGeneration(): number | undefined {
        return this.generation;
    }

    /** Returns the revision up to which the store has reported all changes; undefined if that is not known. */
    getRevision(): number | undefined {
        // An entry that is held back may be valid although it is not in the table.
        return this.getRereadDelayMs() === undefined ? this.revision : undefined;
    }

    /** Returns the number of entries of an older copy of the store that are not used. */
    countHeldBack(): number {
        return this.restored.countHeld();
    }

    /** Returns the milliseconds until the entries must be read again; undefined if they need not be. */
    getRereadDelayMs(): number | undefined {
        return this.restored.getRereadDelayMs(this.options.clock.getNow());
    }

    /** Records the revision of an event of the store, which reports changes in their order. */
    recordEvent(revision: number): void {
        // More changes of the same transaction may follow.
        this.revision = this.revision === undefined ? undefined : Math.max(this.revision, revision - 1);
    }

    /** Records that the store no longer reports changes, so that peers' entries are used as they are. */
    recordWatchEnd(): void {
        this.revision = undefined;
    }

    /** Sets an entry that was written after all of its key that are known. */
    setEntry(entry: types.Entry): void {
        this.restored.recordWrite(entry.key);
        this.entries.set(entry.key, entry);
    }

    /** Removes an entry. */
    removeEntry(key: string): void {
        const entry = this.entries.get(key);
        if (entry !== undefined) {
            this.restored.recordRemoval(entry, this.options.clock.getNow());
            this.entries.delete(key);
        }
    }

    /** Replaces all entries by those of a peer, without regard to which are newer. */
    setPeerEntries(entries: readonly types.Entry[]): void {
        this.entries = new Map(entries.map(entry => [entry.key, entry]));
        this.isBorrowed = true;
    }

    /**
     * Replaces the entries by those of a peer. Of an entry that both have, the newer one stays; one that only one of them has is
     * used unless the other has reached its revision.
     */
    mergePeerEntries({ entries, generation, revision }: types.PeerEntries): peerDelay.PeerDelay {
        if (this.isEarlierGeneration(generation)) {
            return peerDelay.noDelay;
        }
        const isNewGeneration = this.isNewGeneration(generation) || (generation !== undefined && this.generation === undefined);
        if (isNewGeneration) {
            // Revisions of different generations cannot be compared.
            this.revision = undefined;
        }
        const keys = new Set(entries.map(({ key }) => key));
        const { reachedKeys, aheadKeys } = this.findEntriesAhead([...this.entries.keys()].filter(key => !keys.has(key)), revision);
        reachedKeys.forEach(key => this.removeEntry(key));
        const ahead = aheadKeys.map(key => this.entries.get(key)!);
        const { current, removedKeys } = this.checkRemovals(entries);
        // The peer has held back the older entries of a copy.
        const used = isNewGeneration ? entries : current.map(entry => this.chooseNewer(entry));
        this.entries = new Map([...used, ...ahead].map(entry => [entry.key, entry]));
        this.generation = isNewGeneration ? generation : this.generation;
        this.isBorrowed = false;
        return { removedKeys, writtenKeys: aheadKeys };
    }

    /** Applies the changes of a peer whose entries were merged before. */
    applyPeerChanges({ changed, removedKeys, generation, revision }: types.PeerChanges): peerDelay.PeerDelay {
        if (this.isEarlierGeneration(generation)) {
            return peerDelay.noDelay;
        }
        const checked = this.checkRemovals(changed);
        checked.current.forEach(entry => this.setEntry(this.chooseNewer(entry)));
        const { reachedKeys, aheadKeys } = this.findEntriesAhead(removedKeys, revision);
        reachedKeys.forEach(key => this.removeEntry(key));
        return { removedKeys: checked.removedKeys, writtenKeys: aheadKeys };
    }

    /**
     * Merges the entries of a read of the store.
     * @param keepsMissing - Returns whether entries that are not listed stay, once it is known whether the store returned with an older copy.
     * @returns Whether the store returned with an older copy, and the keys of the entries that stay although they are not listed.
     */
    mergeListing({ entries, generation, revision }: types.ListResult, keepsMissing: (isNewGeneration: boolean) => boolean): { readonly isNewGeneration: boolean; readonly missingKeys: readonly string[]; } {
        const isNewGeneration = this.isNewGeneration(generation);
        // The store may have returned with an older copy since a peer read the entries that this instance borrowed at its start.
        const mayBeOlder = isNewGeneration || (this.isBorrowed && generation !== undefined);
        const merged = this.restored.mergeListing(entries, this.entries, mayBeOlder, this.options.clock.getNow());
        const missing = [...this.entries.values()].filter(({ key }) => !merged.has(key));
        const keepsAll = keepsMissing(isNewGeneration);
        for (const entry of missing) {
            if (keepsAll) {
                merged.set(entry.key, isNewGeneration ? { ...entry, revision: 0 } : entry);
            }
            else {
                this.removeEntry(entry.key);
            }
        }
        this.entries = merged;
        this.generation = generation ?? this.generation;
        this.revision = revision;
        this.isBorrowed = false;
        return { isNewGeneration, missingKeys: keepsAll ? missing.map(({ key }) => key) : [] };
    }

    private isNewGeneration(generation: number | undefined): boolean {
        return generation !== undefined && this.generation !== undefined && generation > this.generation;
    }

    private isEarlierGeneration(generation: number | undefined): boolean {
        return generation !== undefined && this.generation !== undefined && generation < this.generation;
    }

    /** Divides the keys of entries that a peer does not have: into those whose last write it has reached, and those ahead of it. */
    private findEntriesAhead(keys: readonly string[], peerRevision: number | undefined): { readonly reachedKeys: readonly string[]; readonly aheadKeys: readonly string[]; } {
        const isComparable = peerRevision !== undefined && this.getRevision() !== undefined;
        const isAhead = (key: string) => isComparable && (this.entries.get(key)?.revision ?? 0) > peerRevision;
        return { reachedKeys: keys.filter(key => !isAhead(key)), aheadKeys: keys.filter(isAhead) };
    }

    /** Divides a peer's entries: into those in force, as far as the store has reported, and those of which it has reported the removal. */
    private checkRemovals(entries: readonly types.Entry[]): { readonly current: readonly types.Entry[]; readonly removedKeys: readonly string[]; } {
        const revision = this.getRevision();
        const isRemoved = (entry: types.Entry) => revision !== undefined && entry.revision <= revision && !this.entries.has(entry.key);
        return { current: entries.filter(entry => !isRemoved(entry)), removedKeys: entries.filter(isRemoved).map(({ key }) => key) };
    }

    /** Returns the newer one of a peer's entry and that in use, if any. What the store has reported includes all that was written up to then. */
    private chooseNewer(entry: types.Entry): types.Entry {
        const known = this.entries.get(entry.key);
        const revision = this.getRevision();
        const isReported = revision !== undefined && entry.revision <= revision;
        return known !== undefined && (isReported || known.revision > entry.revision) ? known : entry;
    }
}
