/** How long each route's requests usually take until the answer's header, from recent attempts of this instance. */

import type * as types from "./types.js";

/** Samples after which the older ones have lost half of their weight. */
const halfLifeSamples = 256;
/** The first bucket ends at a millisecond; each further one is wider by this factor. */
const bucketFactor = 1.25;
const bucketCount = 64;

/** A histogram of latencies whose old samples fade. */
export class LatencyHistogram {
    private readonly weights = new Float64Array(bucketCount);
    private total = 0;
    private sampleWeight = 1;

    /**
     * Adds a sample.
     * @param latencyMs - Milliseconds.
     */
    addSample(latencyMs: number): void {
        const index = Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log(Math.max(latencyMs, 1)) / Math.log(bucketFactor))));
        // New samples weigh more and more, which fades the old ones without touching them.
        this.sampleWeight *= 2 ** (1 / halfLifeSamples);
        this.weights[index]! += this.sampleWeight;
        this.total += this.sampleWeight;
        if (this.sampleWeight > 1e9) {
            this.applyScale();
        }
    }

    /**
     * Returns a quantile in milliseconds; undefined before the first sample.
     * @param quantile - From 0 to 1.
     */
    getQuantile(quantile: number): number | undefined {
        let sum = 0;
        for (let index = 0; index < bucketCount; index += 1) {
            sum += this.weights[index]!;
            if (this.total > 0 && sum >= this.total * quantile) {
                return bucketFactor ** index;
            }
        }
        return undefined;
    }

    private applyScale(): void {
        this.weights.forEach((weight, index) => {
            this.weights[index] = weight / this.sampleWeight;
        });
        this.total /= this.sampleWeight;
        this.sampleWeight = 1;
    }
}

/** The histograms of all routes. */
export class RouteLatencies {
    private readonly histograms = new Map<string, LatencyHistogram>();

    /**
     * Adds an answered attempt.
     * @param service - The service.
     * @param attempt - The attempt.
     */
    recordAttempt(service: string, attempt: types.AttemptRecord): void {
        if (attempt.answeredAt === undefined) {
            return;
        }
        const key = createHistogramKey(service, attempt.route);
        const histogram = this.histograms.get(key) ?? new LatencyHistogram();
        this.histograms.set(key, histogram);
        histogram.addSample(attempt.answeredAt - attempt.startedAt);
    }

    /**
     * Returns a quantile of a route's latency in milliseconds; undefined before the first sample.
     * @param service - The service.
     * @param route - The route's name.
     * @param quantile - From 0 to 1.
     */
    getQuantile(service: string, route: string, quantile: number): number | undefined {
        return this.histograms.get(createHistogramKey(service, route))?.getQuantile(quantile);
    }
}

function createHistogramKey(service: string, route: string): string {
    return `${service}\0${route}`;
}
