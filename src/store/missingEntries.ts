/** Keeps the entries that the store no longer lists after an outage, because they may reappear soon. */

import type * as clock from "../kernel/clock.js";
import type * as loop from "../kernel/loop.js";

/** How long after an outage of the store entries whose leases expired may reappear. The value is documented by the platform. */
const reappearanceGraceMs = 2_000;
/** Milliseconds between two checks for missing entries whose grace period is over. */
const checkIntervalMs = 100;

/** Options of `MissingEntries`. */
export interface CreateMissingEntriesOptions {
    readonly clock: clock.Clock;
    readonly loop: Pick<loop.Loop, "scheduleRepeatedly">;
    /** Called with the keys of the entries whose grace period is over. Keys that it does not remove are passed again. */
    readonly onExpired: (keys: readonly string[]) => void;
}

/** The keys of the entries that are missing since an outage, and the time until which the entries are kept. */
export class MissingEntries {
    private readonly deadlines = new Map<string, number>();
    /** Until this time, a removal may be caused by an outage of the store. */
    private graceEndsAt = -Infinity;
    private stopChecks: loop.Cancel = () => {};

    constructor(private readonly options: CreateMissingEntriesOptions) {}

    /** Starts the grace period, at the end of an outage. */
    startGrace(): void {
        this.graceEndsAt = this.options.clock.getNow() + reappearanceGraceMs;
    }

    /** Returns whether a removal may be caused by an outage. */
    isGracePeriod(): boolean {
        return this.options.clock.getNow() < this.graceEndsAt;
    }

    /** Adds the key of a missing entry. A key that is already missing keeps its deadline. */
    addKey(key: string): void {
        if (this.deadlines.size === 0) {
            this.stopChecks();
            this.stopChecks = this.options.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
        }
        this.deadlines.set(key, this.deadlines.get(key) ?? this.graceEndsAt);
    }

    /** Removes a key, whose entry reappeared or is gone; returns whether it was missing. */
    removeKey(key: string): boolean {
        return this.deadlines.delete(key);
    }

    /** Returns the keys of the missing entries. */
    listKeys(): readonly string[] {
        return [...this.deadlines.keys()];
    }

    private runCheck(): void {
        if (this.deadlines.size === 0) {
            this.stopChecks();
        }
        const now = this.options.clock.getNow();
        this.options.onExpired([...this.deadlines].filter(([, keepUntil]) => keepUntil <= now).map(([key]) => key));
    }
}
