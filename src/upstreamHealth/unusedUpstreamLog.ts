/** Logs why upstreams receive no requests while requests of their service fail. */

import type * as context from "../kernel/context.js";
import type * as pool from "../pool/index.js";
import type * as upstreamHealthTable from "./upstreamHealthTable.js";

/** An upstream is unused if no instance has sent it a request for this time. */
const unusedAfterMs = 1_000;
/** Those with the oldest outcomes are listed in the log line; further ones are only counted. */
const maximumListed = 12;

/** Options of `UnusedUpstreamLog`. */
export interface CreateUnusedUpstreamLogOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly table: upstreamHealthTable.UpstreamHealthTable;
}

/** Collects failures by service, and lists the unused upstreams of the services that had any. */
export class UnusedUpstreamLog {
    private readonly failures = new Map<string, number>();

    constructor(private readonly options: CreateUnusedUpstreamLogOptions) {}

    /** Records that an attempt of this instance failed at an upstream of the service. */
    recordFailure(service: string): void {
        this.failures.set(service, (this.failures.get(service) ?? 0) + 1);
    }

    /** Writes one line for each service with failures since the last call and with unused upstreams. */
    writeUnusedUpstreams(now: number): void {
        const { pool: upstreamPool, table, context: { logger } } = this.options;
        for (const [service, failures] of this.failures) {
            const upstreams = (upstreamPool.getServicePool(service)?.upstreams ?? []).filter(upstream => !upstream.isLeaving(now));
            const unused = upstreams.filter(upstream => now - table.getLastSentAt(upstream) >= unusedAfterMs)
                .sort((a, b) => computeTimeDifference(table.getEstimate(a).getUpdatedAt(), table.getEstimate(b).getUpdatedAt()));
            if (unused.length > 0) {
                logger.writeInfo("upstreams-unused", `${unused.length} of ${upstreams.length} upstreams of ${service} were sent no request for ${unusedAfterMs} ms while ${failures} attempts of this instance failed`, {
                    service,
                    failures,
                    unused: unused.length,
                    total: upstreams.length,
                    upstreams: unused.slice(0, maximumListed).map(upstream => this.formatUpstream(upstream, now)).join("; "),
                });
            }
        }
        this.failures.clear();
    }

    private formatUpstream(upstream: pool.Upstream, now: number): string {
        const { table } = this.options;
        const estimate = table.getEstimate(upstream);
        const loads = [["here", upstream.getInFlight()] as const, ...table.listRemoteLoads(upstream)].map(([origin, inFlight]) => `${origin} ${inFlight}`);
        return [
            `${upstream.getId()} in ${upstream.getFailureDomain()}`,
            `fails ${estimate.getFailureProbability(now).toFixed(3)}`,
            `${Math.round(now - estimate.getUpdatedAt())} ms old`,
            `last sent ${Math.round(now - table.getLastSentAt(upstream))} ms ago`,
            `in flight of ${upstream.getSlots()}: ${loads.join(", ")}`,
            ...upstream.isPaused(now) ? ["paused"] : [],
        ].join(", ");
    }
}

/** Computes the difference of two times, each of which may be -Infinity. */
function computeTimeDifference(a: number, b: number): number {
    return a === b ? 0 : a - b;
}
