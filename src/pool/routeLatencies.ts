/** Latency quantiles by route over this instance's recent attempts, measured from the start of the attempt to the response headers. */

import type * as types from "./types.js";

/** Number of samples after which a sample's weight is halved. */
const halfLifeSamples = 256;
/** Ratio of the upper bounds of adjacent buckets. The upper bound of the first bucket is 1 ms. */
const bucketFactor = 1.25;
const bucketCount = 64;

/** Latency histogram with exponential decay of old samples. */
export class LatencyHistogram {
    private readonly weights = new Float64Array(bucketCount);
    private total = 0;
    private sampleWeight = 1;

    /** Adds a sample with the highest weight so far. */
    addSample(latencyMs: number): void {
        const index = Math.min(bucketCount - 1, Math.max(0, Math.ceil(Math.log(Math.max(latencyMs, 1)) / Math.log(bucketFactor))));
        // Increasing the weight of new samples decays old ones without a pass over all buckets.
        this.sampleWeight *= 2 ** (1 / halfLifeSamples);
        this.weights[index]! += this.sampleWeight;
        this.total += this.sampleWeight;
        if (this.sampleWeight > 1e9) {
            this.applyScale();
        }
    }

    /**
     * Returns the upper bound of the quantile's bucket in milliseconds; undefined before the first sample.
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

    /** Rescales all weights so that they do not overflow. */
    private applyScale(): void {
        this.weights.forEach((weight, index) => {
            this.weights[index] = weight / this.sampleWeight;
        });
        this.total /= this.sampleWeight;
        this.sampleWeight = 1;
    }
}

/** Keeps one latency histogram per service and route. */
export class RouteLatencies {
    private readonly histograms = new Map<string, LatencyHistogram>();

    /** Adds the latency of an answered attempt; ignores attempts without response headers. */
    recordAttempt(service: string, attempt: types.AttemptRecord): void {
        if (attempt.respondedAt !== undefined) {
            this.addSample(service, attempt.route, attempt.respondedAt - attempt.startedAt);
        }
    }

    /**
     * Adds the time that an attempt took until it was given up, which is less than its latency. Without it, quantiles would
     * fall each time that slow attempts are given up, and more of them would be.
     */
    recordLowerBound(service: string, attempt: types.AttemptRecord, now: number): void {
        this.addSample(service, attempt.route, (attempt.respondedAt ?? now) - attempt.startedAt);
    }

    private addSample(service: string, route: string, latencyMs: number): void {
        const key = createHistogramKey(service, route);
        const histogram = this.histograms.get(key) ?? new LatencyHistogram();
        this.histograms.set(key, histogram);
        histogram.addSample(latencyMs);
    }

    /**
     * Returns a quantile of a route's latency in milliseconds; undefined before the first sample.
     * @param quantile - From 0 to 1.
     */
    getQuantile(service: string, route: string, quantile: number): number | undefined {
        return this.histograms.get(createHistogramKey(service, route))?.getQuantile(quantile);
    }
}

function createHistogramKey(service: string, route: string): string {
    return `${service}\0${route}`;
}
