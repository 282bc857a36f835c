/**
 * Estimates the probability that an upstream is failing. Filters a two-state hidden Markov model (healthy or failing) with
 * the outcomes that all instances observe. Each outcome updates the estimate by Bayes' rule. Between outcomes the
 * estimate decays towards the prior, because upstreams fail and recover without notice.
 */

/** The outcome of an attempt; `survived` is an attempt in flight that did not fail immediately. */
export type Observation = "good" | "bad" | "survived";

/** The estimate for an upstream without observations: the fraction of upstreams that fail at any time. */
const priorFailureProbability = 0.25;
/** Observations lose all but 1/e of their weight in this time, because upstreams fail and recover within seconds. */
const decayTimeMs = 2_000;
/** The probability of each observation at a failing and at a healthy upstream. */
const likelihoods: Readonly<Record<Observation, { readonly failing: number; readonly healthy: number; }>> = {
    good: { failing: 0.15, healthy: 0.985 },
    bad: { failing: 0.85, healthy: 0.015 },
    survived: { failing: 0.3, healthy: 0.985 },
};
/** Keeps the estimate away from 0 and 1, so that a few outcomes can always reverse it. */
const minimumProbability = 0.002;

/** The health estimate of one upstream. Callers pass the time, in monotonic milliseconds. */
export class HealthEstimate {
    private failureProbability = priorFailureProbability;
    private updatedAt = -Infinity;
    private lastBadAt = -Infinity;

    /** Returns the probability from 0 to 1 that the upstream is failing. */
    getFailureProbability(now: number): number {
        const weight = Math.exp(-Math.max(0, now - this.updatedAt) / decayTimeMs);
        return priorFailureProbability + (this.failureProbability - priorFailureProbability) * weight;
    }

    /** Returns when an outcome was last recorded; -Infinity if none was. */
    getUpdatedAt(): number {
        return this.updatedAt;
    }

    /**
     * Records the outcome of one attempt.
     * @param sentAt - When the attempt was sent. A success is ignored if it was sent before the last failure, because it
     * does not show that the upstream has recovered since.
     */
    recordObservation(observation: Observation, sentAt: number, now: number): void {
        if (observation !== "bad" && sentAt <= this.lastBadAt) {
            return;
        }
        const before = this.getFailureProbability(now);
        const { failing, healthy } = likelihoods[observation];
        const after = (before * failing) / (before * failing + (1 - before) * healthy);
        this.failureProbability = Math.min(1 - minimumProbability, Math.max(minimumProbability, after));
        this.updatedAt = now;
        if (observation === "bad") {
            this.lastBadAt = now;
        }
    }

    /**
     * Records the outcomes that another instance reports in one update.
     * @param counts - The number of attempts with each outcome.
     * @param newestGoodSentAt - When the newest attempt that did not fail was sent.
     */
    recordObservations(counts: Readonly<Record<Observation, number>>, newestGoodSentAt: number, now: number): void {
        for (const observation of ["survived", "good", "bad"] as const) {
            for (let index = 0; index < counts[observation]; index += 1) {
                this.recordObservation(observation, observation === "bad" ? now : newestGoodSentAt, now);
            }
        }
    }
}
