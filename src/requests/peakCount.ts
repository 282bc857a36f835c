/** Remembers the largest of the latest counts. */

/** How long a count is remembered, at least; twice as long at most. */
const periodMs = 600_000;

/**
 * Returns the largest count of the last ten minutes.
 * @remarks The share of the retry budget depends on the number of instances. Those that this instance no longer hears from
 * may be cut off and still use their shares.
 */
export class PeakCount {
    private periodStartedAt = -Infinity;
    private previousPeak = 0;
    private currentPeak = 0;

    /**
     * Records a count and returns the largest one that is remembered.
     * @param now - The time, in monotonic milliseconds.
     */
    recordCount(count: number, now: number): number {
        if (now - this.periodStartedAt >= periodMs) {
            this.previousPeak = now - this.periodStartedAt >= 2 * periodMs ? 0 : this.currentPeak;
            this.currentPeak = 0;
            this.periodStartedAt = now;
        }
        this.currentPeak = Math.max(this.currentPeak, count);
        return Math.max(this.previousPeak, this.currentPeak);
    }
}
