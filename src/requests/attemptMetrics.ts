/** Metrics of attempts and of the remaining retry budget. */

import * as promClient from "prom-client";
import type * as attempt from "./attempt.js";

/** Options of the attempt metrics. */
export interface CreateAttemptMetricsOptions {
    readonly registry: promClient.Registry;
    /** Returns the retries left in the budget, by service. */
    readonly getRemainingRetries: () => ReadonlyMap<string, number>;
}

/** Counts attempts by their result up to the response headers. */
export class AttemptMetrics {
    private readonly attempts: promClient.Counter<"service" | "result">;

    constructor({ registry, getRemainingRetries: getRemaining }: CreateAttemptMetricsOptions) {
        this.attempts = new promClient.Counter({ name: "agatebend_attempts_total", help: "Attempts at upstreams, by service and by how they ended up to the answer's header.", labelNames: ["service", "result"], registers: [registry] });
        const gauge: promClient.Gauge<"service"> = new promClient.Gauge({
            name: "agatebend_repeats_left",
            help: "Repeats that the budget of this instance still allows, by service.",
            labelNames: ["service"],
            registers: [registry],
            collect: () => {
                gauge.reset();
                getRemaining().forEach((remaining, service) => gauge.set({ service }, Math.max(0, remaining)));
            },
        });
    }

    /** Records an attempt. The result label of a response includes its status class, for example `answered 2xx`. */
    recordAttempt(service: string, result: attempt.AttemptResult): void {
        const status = result.kind === "answered" ? ` ${Math.floor((result.response.statusCode ?? 0) / 100)}xx` : "";
        this.attempts.inc({ service, result: `${result.kind}${status}` });
    }
}
