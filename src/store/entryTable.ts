/** The entries of a prefix in use, with the generation of the store that they come from. */

import type * as clock from "../kernel/clock.js";
import * as restoredEntries from "./restoredEntries.js";
import type * as types from "./types.js";

/** Options of an entry table. */
export interface CreateEntryTableOptions {
    readonly clock: clock.Clock;
    /** Compares the contents of two entries of a key, for a store that returned with an older copy. */
    readonly decideOrder?: restoredEntries.DecideOrder;
}

/** Holds entries by key. An entry is not replaced by an earlier one, also when revisions are given out again. */
export class EntryTable {
    private entries = new Map<string, types.Entry>();
    /** Undefined if it is not known. */
    private generation: number | undefined;
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

    /** Returns the number of entries of an older copy of the store that are not used. */
    countHeldBack(): number {
        return this.restored.countHeld();
    }

    /** Returns the milliseconds until the entries must be read again; undefined if they need not be. */
    getRereadDelayMs(): number | undefined {
        return this.restored.getRereadDelayMs(this.options.clock.getNow());
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
     * Replaces the entries by those of a peer. Of an entry that both have, the newer one stays.
     * @param generation - The generation of the store that the peer's entries come from; undefined if the peer does not know it.
     */
    mergePeerEntries(entries: readonly types.Entry[], generation: number | undefined): void {
        const isNewGeneration = this.isNewGeneration(generation) || (generation !== undefined && this.generation === undefined);
        const keys = new Set(entries.map(({ key }) => key));
        [...this.entries.keys()].filter(key => !keys.has(key)).forEach(key => this.removeEntry(key));
        // Revisions of different generations cannot be compared. The peer has held back the older entries of the copy.
        this.entries = new Map(entries.map(entry => [entry.key, isNewGeneration ? entry : this.chooseNewer(entry)]));
        this.generation = isNewGeneration ? generation : this.generation;
        this.isBorrowed = false;
    }

    /** Applies the changes of a peer's entries. */
    applyChanges(changed: readonly types.Entry[], removedKeys: readonly string[]): void {
        changed.forEach(entry => this.setEntry(this.chooseNewer(entry)));
        removedKeys.forEach(key => this.removeEntry(key));
    }

    /**
     * Merges the entries of a read of the store.
     * @param keepsMissing - Returns whether entries that are not listed stay, once it is known whether the store returned with an older copy.
     * @returns Whether the store returned with an older copy, and the keys of the entries that stay although they are not listed.
     */
    mergeListing({ entries, generation }: types.ListResult, keepsMissing: (isNewGeneration: boolean) => boolean): { readonly isNewGeneration: boolean; readonly missingKeys: readonly string[]; } {
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
        this.isBorrowed = false;
        return { isNewGeneration, missingKeys: keepsAll ? missing.map(({ key }) => key) : [] };
    }

    private isNewGeneration(generation: number | undefined): boolean {
        return generation !== undefined && this.generation !== undefined && generation > this.generation;
    }

    private chooseNewer(entry: types.Entry): types.Entry {
        const known = this.entries.get(entry.key);
        return known !== undefined && known.revision > entry.revision ? known : entry;
    }
}
