/** Prometheus metrics of callers' requests. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";

const latencyBucketsSeconds = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];
const millisecondsPerSecond = 1_000;

/** The outcome and latency of a finished request. */
export interface RequestMeasurement {
    readonly service: string;
    readonly rank: string;
    readonly outcome: errors.Outcome;
    readonly status: number;
    readonly latencyMs: number;
}

/** Counts requests and rejections, and records request latencies. */
export class CallerMetrics {
    private readonly requestCounter: promClient.Counter<"service" | "rank" | "outcome" | "class">;
    private readonly rejectionCounter: promClient.Counter<"kind">;
    private readonly latencyHistogram: promClient.Histogram<"service" | "rank">;

    constructor({ metrics }: context.Context) {
        this.requestCounter = new promClient.Counter({
            name: "agatebend_requests_total",
            help: "Requests that reached admission, by service, rank, outcome and class of status.",
            labelNames: ["service", "rank", "outcome", "class"],
            registers: [metrics],
        });
        this.rejectionCounter = new promClient.Counter({ name: "agatebend_refusals_total", help: "Requests refused before admission, by error kind.", labelNames: ["kind"], registers: [metrics] });
        this.latencyHistogram = new promClient.Histogram({
            name: "agatebend_request_seconds",
            help: "Time from a request's header to the end of its answer.",
            labelNames: ["service", "rank"],
            buckets: latencyBucketsSeconds,
            registers: [metrics],
        });
    }

    /**
     * Records a finished request that reached admission.
     * @param measurement - The request's outcome and latency.
     */
    recordRequest(measurement: RequestMeasurement): void {
        const { service, rank, outcome, status, latencyMs } = measurement;
        this.requestCounter.inc({ service, rank, outcome, class: `${Math.floor(status / 100)}xx` });
        this.latencyHistogram.observe({ service, rank }, latencyMs / millisecondsPerSecond);
    }

    /**
     * Records a request that was rejected before admission.
     * @param kind - The error kind that the caller was sent.
     */
    recordRejection(kind: errors.ErrorKind): void {
        this.rejectionCounter.inc({ kind });
    }
}
