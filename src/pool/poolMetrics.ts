/** Metric of the number of upstreams by state. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

/** Registers the gauge of upstreams by service and state. Its values are computed at each collection. */
export function createUpstreamGauge(context: context.Context, source: pool.Pool): void {
    const gauge: promClient.Gauge<"service" | "state"> = new promClient.Gauge({
        name: "agatebend_upstreams",
        help: "Upstreams by service and state: leaving, paused after refusals, as the fleet decided, or in use.",
        labelNames: ["service", "state"],
        registers: [context.metrics],
        collect: () => {
            gauge.reset();
            const now = context.clock.getNow();
            source.listServicePools().forEach(({ name, upstreams }) => upstreams.forEach(upstream => gauge.inc({ service: name, state: getStateLabel(upstream, now) })));
        },
    });
}

function getStateLabel(upstream: upstream.Upstream, now: number): string {
    if (upstream.isLeaving(now)) {
        return "leaving";
    }
    if (upstream.isPaused(now)) {
        return "paused";
    }
    const { routability } = upstream;
    const isRampOver = routability.kind === "recovering" && now >= routability.startedAt + routability.durationMs;
    return isRampOver ? "routable" : routability.kind;
}
