/** Bounds repeats to a part of the traffic, so that they cannot amplify an overload. */

import type * as clock from "../kernel/clock.js";

/** The window is counted in this many parts. */
const partsPerWindow = 20;
/** The part of its allowance that an instance uses; repeats reach their upstreams later than they are counted. */
const usedPart = 0.9;

/** Options of a budget. */
export interface CreateRetryBudgetOptions {
    readonly clock: clock.Clock;
    /** The repeats that the whole fleet may send, as a part of its requests. */
    readonly ratio: number;
    /** The repeats that the whole fleet may send in a window beside that part. */
    readonly slack: number;
    /** In milliseconds. */
    readonly windowMs: number;
    /** Returns how many instances share the slack. */
    readonly countInstances: () => number;
    /** When the instance started, in monotonic milliseconds; its part of the slack grows over the first window, since a process that it replaces may have used that part just before. */
    readonly startedAt: number;
}

interface Part {
    readonly startedAt: number;
    requests: number;
    repeats: number;
}

/** Counts one service's requests and repeats at this instance over a sliding window. */
export class RetryBudget {
    private parts: Part[] = [];

    constructor(private readonly options: CreateRetryBudgetOptions) {}

    /** Records a first attempt. */
    addRequest(): void {
        this.getPart().requests += 1;
    }

    /** Takes one repeat; returns whether there was one. */
    acquireRetry(): boolean {
        const part = this.getPart();
        if (this.getRemaining() < 1) {
            return false;
        }
        part.repeats += 1;
        return true;
    }

    /** Returns the repeats that are left. */
    getRemaining(): number {
        const { clock: time, ratio, slack, windowMs, countInstances, startedAt } = this.options;
        this.removeOld();
        const wholeSince = time.getNow() - windowMs;
        const requests = this.parts.reduce((sum, part) => sum + (part.startedAt >= wholeSince ? part.requests : 0), 0);
        const repeats = this.parts.reduce((sum, part) => sum + part.repeats, 0);
        const grown = Math.min(1, (time.getNow() - startedAt) / windowMs);
        return usedPart * (ratio * requests + (slack / countInstances()) * grown) - repeats;
    }

    private getPart(): Part {
        const now = this.options.clock.getNow();
        const newest = this.parts.at(-1);
        if (newest !== undefined && now - newest.startedAt < this.options.windowMs / partsPerWindow) {
            return newest;
        }
        const created = { startedAt: now, requests: 0, repeats: 0 };
        this.parts.push(created);
        return created;
    }

    /** A part's repeats count until its last moment has left the window; its requests only while its first is within. */
    private removeOld(): void {
        const now = this.options.clock.getNow();
        const { windowMs } = this.options;
        this.parts = this.parts.filter(part => now - part.startedAt < windowMs + windowMs / partsPerWindow);
    }
}
