/** Estimates how fast the queue of a rank moves, from the starts of its requests while others were queued. */

/** The starts lose all but 1/e of their weight in this time, in milliseconds. */
const decayTimeMs = 2_000;
/** With less than this, or with a shorter time of waiting, there is no estimate. */
const minimumStarts = 4;
const minimumBacklogMs = 500;

/** The starts of one rank since requests began to wait. Times are monotonic milliseconds. */
export class QueueForecast {
    private backlogSince = 0;
    private starts = 0;
    private updatedAt = 0;

    /** Records that the empty queue received a request. What was known of earlier backlogs is forgotten. */
    recordBacklog(now: number): void {
        this.backlogSince = now;
        this.updatedAt = now;
        this.starts = 0;
    }

    /** Records that a queued request got a slot. */
    recordStart(now: number): void {
        this.starts = this.getStarts(now) + 1;
        this.updatedAt = now;
    }

    /** Returns the mean time between two starts, in milliseconds; undefined without enough of them. */
    getIntervalMs(now: number): number | undefined {
        const backlogMs = now - this.backlogSince;
        const starts = this.getStarts(now);
        if (starts < minimumStarts || backlogMs < minimumBacklogMs) {
            return undefined;
        }
        return (decayTimeMs * (1 - Math.exp(-backlogMs / decayTimeMs))) / starts;
    }

    private getStarts(now: number): number {
        return this.starts * Math.exp(-(now - this.updatedAt) / decayTimeMs);
    }
}
