/** Keeps the hedging state of all services, and counts hedges. */

import * as promClient from "prom-client";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import type * as pool from "../pool/index.js";
import * as hedgePolicy from "./hedgePolicy.js";

/** A hedge is sent when the first attempt takes longer than this quantile of the route's latencies. */
const delayQuantile = 0.95;
/** The least delay. Upstreams are up to 4 ms away, so a hedge of a faster response would hardly be answered sooner. */
const minimumDelayMs = 10;

/** How a hedge ended. */
export type HedgeResult =
    /** Its response was the first usable one. */
    | "won"
    /** The first attempt was answered before. */
    | "lost"
    /** Neither attempt had a usable response, or the caller disconnected. */
    | "failed";

/** The hedging state of this instance. */
export class Hedging {
    private readonly policies = new Map<string, hedgePolicy.HedgePolicy>();
    private readonly sent: promClient.Counter<"service">;
    private readonly ended: promClient.Counter<"service" | "result">;
    private readonly denied: promClient.Counter<"service" | "reason">;

    constructor(private readonly context: context.Context, private readonly latencies: pool.Pool["latencies"]) {
        const registers = [context.metrics];
        this.sent = new promClient.Counter({ name: "agatebend_hedges_sent_total", help: "Second requests sent before the first one was answered, by service.", labelNames: ["service"], registers });
        this.ended = new promClient.Counter({ name: "agatebend_hedges_ended_total", help: "Hedges by service and result: won, lost or failed.", labelNames: ["service", "result"], registers });
        this.denied = new promClient.Counter({ name: "agatebend_hedges_denied_total", help: "Hedges that were due and not sent, by service and reason.", labelNames: ["service", "reason"], registers });
    }

    /** Returns the largest share of a route's requests that may be hedged; 0 if none may. */
    getMaximumShare(route: configuration.CompiledRoute): number {
        return route.repeatable ? route.hedging?.maximumShare ?? this.context.settings.hedgeRatio : 0;
    }

    /** Returns the age of an attempt at which a hedge is due, in milliseconds; undefined while the route's latency is unknown. */
    getDelayMs({ service, name }: configuration.CompiledRoute): number | undefined {
        const delayMs = this.latencies.getQuantile(service, name, delayQuantile);
        return delayMs === undefined ? undefined : Math.max(minimumDelayMs, delayMs);
    }

    /** Returns a service's policy, which is created on first use. */
    getPolicy(service: string): hedgePolicy.HedgePolicy {
        const policy = this.policies.get(service) ?? new hedgePolicy.HedgePolicy();
        this.policies.set(service, policy);
        return policy;
    }

    /** Records the end of an attempt. Does nothing for services without hedges. */
    recordAttempt(service: string, queuedMs: number, isRefused: boolean): void {
        this.policies.get(service)?.recordAttempt({ queuedMs, isRefused }, this.context.clock.getNow());
    }

    /** Counts a hedge that was sent. */
    recordSent({ service, name }: configuration.CompiledRoute): void {
        this.sent.inc({ service });
        this.getPolicy(service).recordHedge(name, this.context.clock.getNow());
    }

    /** Counts a hedge that was due and not sent. */
    recordDenial({ service }: configuration.CompiledRoute, reason: hedgePolicy.HedgeDenial): void {
        this.denied.inc({ service, reason });
    }

    /** Counts the end of a hedge. */
    recordEnd({ service, name }: configuration.CompiledRoute, result: HedgeResult): void {
        this.ended.inc({ service, result });
        this.getPolicy(service).recordResult(name, result === "won");
    }
}
