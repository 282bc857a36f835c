/** Estimates how fast the queue of a rank moves, from the starts of its requests while others were queued. */

import * as decayedCount from "./decayedCount.js";

/** The starts lose all but 1/e of their weight in this time, in milliseconds. */
const decayTimeMs = 2_000;
/** With less than this, or with a shorter time of waiting, there is no estimate. */
const minimumStarts = 4;
const minimumBacklogMs = 500;
const millisecondsPerSecond = 1_000;

/** The starts of one rank since requests began to wait. Times are monotonic milliseconds. */
export class QueueForecast {
    private backlogSince = 0;
    private starts = new decayedCount.DecayedCount(decayTimeMs, 0);

    /** Records that the empty queue received a request. What was known of earlier backlogs is forgotten. */
    recordBacklog(now: number): void {
        this.backlogSince = now;
        this.starts = new decayedCount.DecayedCount(decayTimeMs, now);
    }

    /** Records that a queued request got a slot. */
    recordStart(now: number): void {
        this.starts.add(now);
    }

    /** Returns the mean time between two starts, in milliseconds; undefined without enough of them. */
    getIntervalMs(now: number): number | undefined {
        const isKnown = this.starts.getWeight(now) >= minimumStarts && now - this.backlogSince >= minimumBacklogMs;
        return isKnown ? millisecondsPerSecond / this.starts.getRatePerS(now) : undefined;
    }
}
