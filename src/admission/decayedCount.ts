/** A count of events whose weight decays exponentially with their age. Callers pass the time, in monotonic milliseconds. */

const millisecondsPerSecond = 1_000;

/** Counts events; each loses all but 1/e of its weight in the decay time. */
export class DecayedCount {
    private weight = 0;
    private readonly startedAt: number;
    private updatedAt: number;

    /**
     * @param decayTimeMs - The decay time, in milliseconds.
     * @param now - The time at which counting starts.
     */
    constructor(private readonly decayTimeMs: number, now: number) {
        this.startedAt = now;
        this.updatedAt = now;
    }

    /** Adds an event. */
    add(now: number): void {
        this.weight = this.getWeight(now) + 1;
        this.updatedAt = now;
    }

    /** Returns the sum of the weights of all events. */
    getWeight(now: number): number {
        return this.weight * Math.exp(-Math.max(0, now - this.updatedAt) / this.decayTimeMs);
    }

    /** Returns the recent number of events per second. */
    getRatePerS(now: number): number {
        // The time that has been observed loses its weight as the events do.
        const observedMs = this.decayTimeMs * (1 - Math.exp(-Math.max(1, now - this.startedAt) / this.decayTimeMs));
        return (this.getWeight(now) / observedMs) * millisecondsPerSecond;
    }
}
