/**
 * Decides which entries of a store that returned with an older copy are used. Such a copy lacks what was written since it
 * was taken, and contains what was replaced or removed since.
 */

import { match } from "ts-pattern";
import type * as types from "./types.js";

/** How long a removed entry is remembered, in milliseconds. Copies that the store returns with are some seconds old. */
const removedLifetimeMs = 60_000;
/**
 * How long a listed entry of which nothing says whether it is newer than the known one is held back, in milliseconds. By
 * then its writer has written it again, and an upstream that became draining must be noticed within 2.5 s.
 */
const holdMs = 1_500;

/** Whether an entry was written before or after a known entry of its key, as far as their contents tell. */
export type EntryOrder = "older" | "same" | "newer" | "unknown";

/** Compares a listed entry with a known one. */
export type DecideOrder = (entry: types.Entry, known: types.Entry) => EntryOrder;

interface HeldEntry {
    /** The revision of the entry that is held back. An entry with another one was written after the store returned. */
    readonly revision: number;
    /** In monotonic milliseconds; infinite if the entry is older for certain. */
    readonly until: number;
}

/** Remembers removed entries, and the listed entries that are held back. Every `now` is in monotonic milliseconds. */
export class RestoredEntries {
    private readonly removed = new Map<string, { readonly entry: types.Entry; readonly at: number; }>();
    private readonly held = new Map<string, HeldEntry>();

    constructor(private readonly decideOrder: DecideOrder = () => "unknown") {}

    /** Records that an entry was removed. */
    recordRemoval(entry: types.Entry, now: number): void {
        for (const [key, { at }] of this.removed) {
            if (now - at < removedLifetimeMs) {
                break;
            }
            this.removed.delete(key);
        }
        this.removed.delete(entry.key);
        this.removed.set(entry.key, { entry, at: now });
        this.held.delete(entry.key);
    }

    /** Records that a key was written, so that nothing that was known of it before matters. */
    recordWrite(key: string): void {
        this.removed.delete(key);
        this.held.delete(key);
    }

    /**
     * Merges the entries of a read with the known ones.
     * @param listed - The entries that the store has.
     * @param known - The entries in use by key.
     * @param mayBeOlder - Whether the store may have returned with an older copy since the known entries were read.
     * @returns The entries to use, without the known ones that the store does not list. An entry that was kept has revision
     * 0, because revisions of an earlier generation cannot be compared with later ones.
     */
    mergeListing(listed: readonly types.Entry[], known: ReadonlyMap<string, types.Entry>, mayBeOlder: boolean, now: number): Map<string, types.Entry> {
        if (mayBeOlder) {
            this.held.clear();
            listed.forEach(entry => this.recordIfOlder(entry, known.get(entry.key), now));
        }
        const listedKeys = new Set(listed.map(({ key }) => key));
        [...this.held.keys()].filter(key => !listedKeys.has(key)).forEach(key => this.held.delete(key));
        return new Map(listed.flatMap(entry => {
            const chosen = this.chooseEntry(entry, known.get(entry.key), now);
            return chosen === undefined ? [] : [[entry.key, chosen] as const];
        }));
    }

    /** Returns the milliseconds until the entries must be read again, because the hold of some ends; undefined if there are none. */
    getRereadDelayMs(now: number): number | undefined {
        const ends = [...this.held.values()].map(({ until }) => until).filter(Number.isFinite);
        return ends.length === 0 ? undefined : Math.max(0, Math.max(...ends) - now);
    }

    /** Returns the number of listed entries that are held back. */
    countHeld(): number {
        return this.held.size;
    }

    private recordIfOlder(entry: types.Entry, used: types.Entry | undefined, now: number): void {
        const removal = this.removed.get(entry.key);
        const known = used ?? (removal !== undefined && now - removal.at < removedLifetimeMs ? removal.entry : undefined);
        if (known === undefined) {
            return;
        }
        const addHeld = (until: number) => this.held.set(entry.key, { revision: entry.revision, until });
        match(this.decideOrder(entry, known))
            .with("older", () => addHeld(Infinity))
            // A removed entry that comes back unchanged is that of the copy.
            .with("same", () => used === undefined ? addHeld(Infinity) : undefined)
            .with("newer", () => undefined)
            .with("unknown", () => {
                const isUnchanged = used !== undefined && entry.value === used.value;
                // The copy has no revisions above those that were known.
                if (!isUnchanged && entry.revision <= known.revision) {
                    addHeld(now + holdMs);
                }
            })
            .exhaustive();
    }

    private chooseEntry(entry: types.Entry, used: types.Entry | undefined, now: number): types.Entry | undefined {
        const held = this.held.get(entry.key);
        if (held === undefined || held.revision !== entry.revision || now >= held.until) {
            this.recordWrite(entry.key);
            return entry;
        }
        return used === undefined ? undefined : { ...used, revision: 0 };
    }
}
