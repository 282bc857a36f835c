/** Metrics of the callers' requests. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";

const latencyBucketsSeconds = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];
const millisecondsPerSecond = 1_000;

/** A request that ended. */
export interface RequestMeasurement {
    readonly service: string;
    readonly rank: string;
    readonly outcome: errors.Outcome;
    readonly status: number;
    readonly latencyMs: number;
}

/** Counts requests and their latencies. */
export class CallerMetrics {
    private readonly requests: promClient.Counter<"service" | "rank" | "outcome" | "class">;
    private readonly refusals: promClient.Counter<"kind">;
    private readonly latencies: promClient.Histogram<"service" | "rank">;

    constructor({ metrics }: context.Context) {
        this.requests = new promClient.Counter({
            name: "agatebend_requests_total",
            help: "Requests that reached admission, by service, rank, outcome and class of status.",
            labelNames: ["service", "rank", "outcome", "class"],
            registers: [metrics],
        });
        this.refusals = new promClient.Counter({ name: "agatebend_refusals_total", help: "Requests refused before admission, by error kind.", labelNames: ["kind"], registers: [metrics] });
        this.latencies = new promClient.Histogram({ name: "agatebend_request_seconds", help: "Time from a request's header to the end of its answer.", labelNames: ["service", "rank"], buckets: latencyBucketsSeconds, registers: [metrics] });
    }

    /**
     * Records a request that reached admission.
     * @param ended - How it ended.
     */
    recordRequest(ended: RequestMeasurement): void {
        const { service, rank, outcome, status, latencyMs } = ended;
        this.requests.inc({ service, rank, outcome, class: `${Math.floor(status / 100)}xx` });
        this.latencies.observe({ service, rank }, latencyMs / millisecondsPerSecond);
    }

    /**
     * Records a request that was refused before admission.
     * @param kind - The error kind.
     */
    recordRefusal(kind: errors.ErrorKind): void {
        this.refusals.inc({ kind });
    }
}
