/**
 * Suspends connection reuse for upstreams that send bytes which belong to no request, for example a response twice. On a
 * reused connection such bytes are taken for the response to the next request, and HTTP/1.1 cannot tell them apart.
 */

import * as promClient from "prom-client";
import * as z from "zod";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";

/** How long an upstream must send no stray bytes before its connections are reused again. */
const suspensionMs = 60_000;
/** How often further stray bytes of the same upstream are reported to the other instances. */
const renewalIntervalMs = 10_000;
const expiryCheckIntervalMs = 1_000;
const topic = "strayBytes";

const sightingSchema = z.strictObject({ service: z.string(), upstream: z.string(), address: z.string(), remainingMs: z.number().min(0).max(suspensionMs) });
const messageSchema = z.strictObject({ sightings: z.array(sightingSchema).max(10_000) });

/** Where stray bytes were received: on an idle connection, or behind a complete response. */
export type StrayBytesPlace = "idle" | "behindResponse";

/** Options of `ConnectionReuse`. */
export interface CreateConnectionReuseOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    /** Closes the idle connections to an address. */
    readonly closeIdleConnections: (address: string) => void;
}

interface Suspension {
    readonly service: string;
    readonly upstream: string;
    /** In monotonic milliseconds. */
    readonly until: number;
}

/** Knows which upstreams must not be sent a request on a connection that was used before. The instances share this by gossip. */
export class ConnectionReuse {
    /** By address; an upstream that takes over an address inherits its suspension. */
    private readonly suspensions = new Map<string, Suspension>();
    /** The suspensions that this instance's own connections have caused, by address. */
    private readonly ownSuspensions = new Map<string, Suspension>();
    private publishedAt = -Infinity;
    private readonly counter: promClient.Counter<"service" | "place">;

    constructor(private readonly options: CreateConnectionReuseOptions) {
        const { context: { metrics }, mesh } = options;
        this.counter = new promClient.Counter({
            name: "agatebend_stray_bytes_total",
            help: "Times that an upstream sent bytes that belong to no request, by service and by where they were received.",
            labelNames: ["service", "place"],
            registers: [metrics],
        });
        const gauge: promClient.Gauge = new promClient.Gauge({
            name: "agatebend_upstreams_without_reuse",
            help: "Upstreams whose connections are not reused because they have sent stray bytes.",
            registers: [metrics],
            collect: () => gauge.set(this.suspensions.size),
        });
        mesh.addListener(topic, (origin, body) => this.mergePeerSightings(origin, body));
    }

    /** Starts the periodic removal of expired suspensions. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(expiryCheckIntervalMs, () => this.removeExpired());
    }

    /**
     * Returns whether a connection to an upstream may be used for more than one request.
     * @param address - The upstream's address as HOST:PORT.
     */
    isReusable(address: string): boolean {
        return !this.suspensions.has(address);
    }

    /** Suspends reuse for an upstream, here and at the other instances, after this instance received stray bytes from it. */
    recordStrayBytes(upstream: pool.Upstream, place: StrayBytesPlace): void {
        const { context: { clock, identity } } = this.options;
        const now = clock.getNow();
        const suspension = { service: upstream.service, upstream: upstream.getId(), until: now + suspensionMs };
        const wasReusable = this.isReusable(upstream.getAddress());
        this.counter.inc({ service: upstream.service, place });
        this.ownSuspensions.set(upstream.getAddress(), suspension);
        this.addSuspension(upstream.getAddress(), suspension, { place, reportedBy: identity.instanceId });
        if (wasReusable || now - this.publishedAt >= renewalIntervalMs) {
            this.publishOwnSuspensions(now);
        }
    }

    /** Returns the suspended upstreams for the dump. */
    getDump(): unknown {
        const now = this.options.context.clock.getNow();
        return { withoutReuse: [...this.suspensions].map(([address, { service, upstream, until }]) => ({ service, upstream, address, remainingMs: Math.round(until - now) })) };
    }

    private addSuspension(address: string, suspension: Suspension, { place, reportedBy }: { readonly place?: StrayBytesPlace; readonly reportedBy: string; }): void {
        const { context: { logger }, closeIdleConnections } = this.options;
        const before = this.suspensions.get(address);
        this.suspensions.set(address, { ...suspension, until: Math.max(suspension.until, before?.until ?? -Infinity) });
        if (before === undefined) {
            closeIdleConnections(address);
            const { service, upstream } = suspension;
            logger.writeWarning("upstream-stray-bytes", `${service}/${upstream} sent bytes that belong to no request; each request to it uses a new connection until it has sent none for ${suspensionMs} ms`, {
                service,
                upstream,
                address,
                place,
                reportedBy,
            });
        }
    }

    private removeExpired(): void {
        const { context: { clock, logger } } = this.options;
        const now = clock.getNow();
        for (const [address, { service, upstream, until }] of this.suspensions) {
            if (until <= now) {
                this.suspensions.delete(address);
                logger.writeInfo("upstream-reuse-resumed", `${service}/${upstream} has sent no stray bytes for ${suspensionMs} ms; its connections are reused again`, { service, upstream, address });
            }
        }
        const expired = [...this.ownSuspensions].filter(([, { until }]) => until <= now);
        expired.forEach(([address]) => this.ownSuspensions.delete(address));
        if (expired.length > 0) {
            this.publishOwnSuspensions(now);
        }
    }

    private publishOwnSuspensions(now: number): void {
        this.publishedAt = now;
        const sightings = [...this.ownSuspensions].map(([address, { service, upstream, until }]) => ({ service, upstream, address, remainingMs: Math.max(0, until - now) }));
        this.options.mesh.setRegister(topic, { sightings });
    }

    private mergePeerSightings(origin: string, body: unknown): void {
        const { context: { clock, logger } } = this.options;
        const parsed = messageSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("stray-bytes-malformed", "ignored a malformed list of upstreams with stray bytes from a peer", { peer: origin, reason: parsed.error.issues[0]?.message });
            return;
        }
        for (const { service, upstream, address, remainingMs } of parsed.data.sightings) {
            this.addSuspension(address, { service, upstream, until: clock.getNow() + remainingMs }, { reportedBy: origin });
        }
    }
}
