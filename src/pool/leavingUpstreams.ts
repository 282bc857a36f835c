/** Tracks upstreams whose responses show that they are leaving, and shares this with the other instances by gossip. */

import { z } from "zod";
import type * as context from "../kernel/context.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

/** How long an upstream is treated as leaving after the last response that showed it. By then, the platform's upstream list is expected to be up to date. */
const leavingDurationMs = 60_000;
const expiryCheckIntervalMs = 1_000;
const topic = "leaving";

const messageSchema = z.strictObject({
    marks: z.array(z.strictObject({ service: z.string(), upstream: z.string(), address: z.string(), remainingMs: z.number().min(0).max(leavingDurationMs) })).max(10_000),
});

/** Options of `LeavingUpstreams`. */
export interface CreateLeavingUpstreamsOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

interface LeavingUpstream {
    readonly upstream: upstream.Upstream;
    /** In monotonic milliseconds. */
    readonly expiresAt: number;
}

/** Keeps every instance from sending new requests to upstreams that are leaving. */
export class LeavingUpstreams {
    /** The leaving upstreams that this instance has detected itself, by service and identifier. */
    private readonly locallyDetected = new Map<string, LeavingUpstream>();

    constructor(private readonly options: CreateLeavingUpstreamsOptions) {
        options.mesh.addListener(topic, (_, body) => this.mergePeerUpstreams(body));
    }

    /** Starts the periodic removal of upstreams whose time as leaving has expired. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(expiryCheckIntervalMs, () => this.removeExpired());
    }

    /**
     * Marks an upstream as leaving, here and at the other instances, after a response showed that it accepts no further requests.
     * @param reason - The cause, for the log.
     */
    addUpstream(upstream: upstream.Upstream, reason: string): void {
        const now = this.options.context.clock.getNow();
        const wasLeaving = upstream.isLeaving(now);
        upstream.setLeavingUntil(now + leavingDurationMs);
        this.locallyDetected.set(`${upstream.service}/${upstream.getId()}`, { upstream, expiresAt: now + leavingDurationMs });
        if (!wasLeaving) {
            this.options.context.logger.writeInfo("upstream-leaving", `${upstream.service}/${upstream.getId()} is leaving and receives no new requests: ${reason}`, {
                service: upstream.service,
                upstream: upstream.getId(),
                address: upstream.getAddress(),
                reason,
            });
            this.publishLocallyDetected(now);
        }
    }

    private removeExpired(): void {
        const now = this.options.context.clock.getNow();
        const expired = [...this.locallyDetected].filter(([, entry]) => entry.expiresAt <= now);
        expired.forEach(([key]) => this.locallyDetected.delete(key));
        if (expired.length > 0) {
            this.publishLocallyDetected(now);
        }
    }

    private publishLocallyDetected(now: number): void {
        const entries = [...this.locallyDetected.values()].map(({ upstream, expiresAt }) => ({
            service: upstream.service,
            upstream: upstream.getId(),
            address: upstream.getAddress(),
            remainingMs: Math.max(0, expiresAt - now),
        }));
        this.options.mesh.setRegister(topic, { marks: entries });
    }

    private mergePeerUpstreams(body: unknown): void {
        const now = this.options.context.clock.getNow();
        for (const entry of messageSchema.safeParse(body).data?.marks ?? []) {
            const upstream = this.options.pool.getUpstream(entry);
            if (upstream !== undefined && upstream.getAddress() === entry.address) {
                upstream.setLeavingUntil(now + entry.remainingMs);
            }
        }
    }
}

/** The service key of the leaving upstreams. */
export const leavingUpstreamsKey = serviceRegistry.createServiceKey<LeavingUpstreams>("leavingUpstreams");
