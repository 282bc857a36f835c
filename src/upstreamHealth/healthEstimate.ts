/**
 * How likely an upstream fails what it is sent now: a two-state hidden Markov model (sound or failing) that is filtered
 * with the outcomes of all instances. Between outcomes the belief relaxes to the prior, since upstreams change by
 * themselves; an outcome changes it by Bayes' rule.
 */

/** What an outcome says: `survived` is an attempt that is under way and has not failed at once. */
export type Observation = "good" | "bad" | "survived";

/** The part of the upstreams that fail at any time, where nothing is known. */
const failingPrior = 0.25;
/** Time in which what was learned loses all but 1/e of its weight, in milliseconds; upstreams fail and mend within seconds. */
const relaxationMs = 2_000;
/** The probability of each observation at a failing and at a sound upstream. */
const likelihoods: Readonly<Record<Observation, { readonly failing: number; readonly sound: number; }>> = {
    good: { failing: 0.15, sound: 0.985 },
    bad: { failing: 0.85, sound: 0.015 },
    survived: { failing: 0.3, sound: 0.985 },
};
/** The belief is kept away from certainty, so that a few outcomes can always turn it. */
const minimumBelief = 0.002;

/** The belief about one upstream; it is told the time, in monotonic milliseconds. */
export class HealthEstimate {
    private failing = failingPrior;
    private updatedAt = -Infinity;
    private badAt = -Infinity;

    /**
     * Returns the probability that the upstream is failing.
     * @param now - The time.
     */
    getFailureProbability(now: number): number {
        const weight = Math.exp(-Math.max(0, now - this.updatedAt) / relaxationMs);
        return failingPrior + (this.failing - failingPrior) * weight;
    }

    /** Returns when an outcome was last recorded. */
    getUpdatedAt(): number {
        return this.updatedAt;
    }

    /**
     * Records an outcome.
     * @param observation - The outcome.
     * @param sentAt - When the attempt was sent; a success that was sent before the last failure proves nothing.
     * @param now - The time.
     */
    recordObservation(observation: Observation, sentAt: number, now: number): void {
        if (observation !== "bad" && sentAt <= this.badAt) {
            return;
        }
        const before = this.getFailureProbability(now);
        const { failing, sound } = likelihoods[observation];
        const after = (before * failing) / (before * failing + (1 - before) * sound);
        this.failing = Math.min(1 - minimumBelief, Math.max(minimumBelief, after));
        this.updatedAt = now;
        if (observation === "bad") {
            this.badAt = now;
        }
    }

    /**
     * Records the outcomes that another instance reports together.
     * @param counts - How often each was seen.
     * @param goodSentAt - When the newest attempt that did not fail was sent.
     * @param now - The time.
     */
    recordObservations(counts: Readonly<Record<Observation, number>>, goodSentAt: number, now: number): void {
        for (const observation of ["survived", "good", "bad"] as const) {
            for (let index = 0; index < counts[observation]; index += 1) {
                this.recordObservation(observation, observation === "bad" ? now : goodSentAt, now);
            }
        }
    }
}
