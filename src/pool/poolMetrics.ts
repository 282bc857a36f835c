/** The metric of the upstreams' states. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

/**
 * Creates the gauge of upstreams by state, which is read anew at each collection.
 * @param shared - The process's objects.
 * @param source - The pool.
 */
export function createUpstreamGauge(shared: context.Context, source: pool.Pool): void {
    const gauge: promClient.Gauge<"service" | "state"> = new promClient.Gauge({
        name: "agatebend_upstreams",
        help: "Upstreams by service and state: leaving, paused after refusals, as the fleet decided, or in use.",
        labelNames: ["service", "state"],
        registers: [shared.metrics],
        collect: () => {
            gauge.reset();
            const now = shared.clock.getNow();
            source.listServicePools().forEach(({ name, upstreams }) => upstreams.forEach(found => gauge.inc({ service: name, state: getStateLabel(found, now) })));
        },
    });
}

function getStateLabel(found: upstream.Upstream, now: number): string {
    if (found.isLeaving(now)) {
        return "leaving";
    }
    if (found.isPaused(now)) {
        return "paused";
    }
    const { routability } = found;
    const isRampOver = routability.kind === "recovering" && now >= routability.startedAt + routability.durationMs;
    return isRampOver ? "routable" : routability.kind;
}
