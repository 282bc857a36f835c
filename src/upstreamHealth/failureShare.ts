/** Measures which share of the recent attempts at a service got no successful response. */

import type * as pool from "../pool/index.js";

/** By default, attempts lose all but 1/e of their weight in this time. */
const defaultDecayTimeMs = 5_000;
/** Assumed successes, so that a single failure of a rarely used service is not a large share. */
const assumedSuccesses = 5;

interface ServiceCounts {
    failures: number;
    successes: number;
    /** In monotonic milliseconds. */
    updatedAt: number;
}

/** Options of `FailureShare`. */
export interface CreateFailureShareOptions {
    /** The time in which attempts lose all but 1/e of their weight, in milliseconds. */
    readonly decayTimeMs?: number;
}

/** The failure shares of all services. Callers pass the time, in monotonic milliseconds. */
export class FailureShare {
    private readonly counts = new Map<string, ServiceCounts>();
    private readonly decayTimeMs: number;

    constructor({ decayTimeMs = defaultDecayTimeMs }: CreateFailureShareOptions = {}) {
        this.decayTimeMs = decayTimeMs;
    }

    /**
     * Records the end of an attempt.
     * @remarks An attempt whose caller left counts as failed: slow upstreams often end that way. One that was shed was not
     * executed, and one that was superseded was given up here; neither says anything about the health of the service's upstreams.
     */
    recordAttempt(service: string, outcome: pool.AttemptOutcome, now: number): void {
        if (outcome === "shed" || outcome === "superseded") {
            return;
        }
        const counts = this.getDecayedCounts(service, now);
        counts[outcome === "answered" ? "successes" : "failures"] += 1;
        this.counts.set(service, counts);
    }

    /** Records the outcomes of another instance's attempts. */
    recordOutcomes(service: string, { failures, successes }: { readonly failures: number; readonly successes: number; }, now: number): void {
        if (failures + successes === 0) {
            return;
        }
        const counts = this.getDecayedCounts(service, now);
        counts.failures += failures;
        counts.successes += successes;
        this.counts.set(service, counts);
    }

    /** Returns the share of failed attempts, from 0 to 1. */
    getShare(service: string, now: number): number {
        const { failures, successes } = this.getDecayedCounts(service, now);
        return failures / (failures + successes + assumedSuccesses);
    }

    private getDecayedCounts(service: string, now: number): ServiceCounts {
        const { failures, successes, updatedAt } = this.counts.get(service) ?? { failures: 0, successes: 0, updatedAt: now };
        const weight = Math.exp(-Math.max(0, now - updatedAt) / this.decayTimeMs);
        return { failures: failures * weight, successes: successes * weight, updatedAt: now };
    }
}
