/** Measures how many of a service's recent attempts belong to requests that cannot be repeated. */

/** Attempts lose all but 1/e of their weight in this time. */
const decayTimeMs = 10_000;
/** Assumed attempts of each kind, so that a service without history counts as evenly mixed. */
const assumedAttempts = 5;

interface MixCounts {
    repeatable: number;
    nonRepeatable: number;
    /** In monotonic milliseconds. */
    updatedAt: number;
}

/** The mix of all services at this instance. Callers pass the time, in monotonic milliseconds. */
export class RequestMix {
    private readonly counts = new Map<string, MixCounts>();

    /** Records an attempt. */
    recordAttempt(service: string, isRepeatable: boolean, now: number): void {
        const counts = this.getDecayedCounts(service, now);
        counts[isRepeatable ? "repeatable" : "nonRepeatable"] += 1;
        this.counts.set(service, counts);
    }

    /** Returns the number of attempts that cannot be repeated for each one that can. */
    getRatio(service: string, now: number): number {
        const { repeatable, nonRepeatable } = this.getDecayedCounts(service, now);
        return (nonRepeatable + assumedAttempts) / (repeatable + assumedAttempts);
    }

    private getDecayedCounts(service: string, now: number): MixCounts {
        const { repeatable, nonRepeatable, updatedAt } = this.counts.get(service) ?? { repeatable: 0, nonRepeatable: 0, updatedAt: now };
        const weight = Math.exp(-Math.max(0, now - updatedAt) / decayTimeMs);
        return { repeatable: repeatable * weight, nonRepeatable: nonRepeatable * weight, updatedAt: now };
    }
}
