/** Tracks upstreams that announced that they are leaving, and shares this with the other instances by gossip. */

import { z } from "zod";
import type * as context from "../kernel/context.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

/** Lifetime of a mark that is not renewed, in milliseconds. By then, the platform's upstream list is expected to be up to date. */
const markDurationMs = 60_000;
const expiryCheckIntervalMs = 1_000;
const topic = "leaving";

const marksSchema = z.strictObject({
    marks: z.array(z.strictObject({ service: z.string(), upstream: z.string(), address: z.string(), remainingMs: z.number().min(0).max(markDurationMs) })).max(10_000),
});

/** Options of `LeavingUpstreams`. */
export interface CreateLeavingUpstreamsOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

interface Mark {
    readonly target: upstream.Upstream;
    readonly expiresAt: number;
}

/** Marks leaving upstreams, so that no instance sends them new requests. */
export class LeavingUpstreams {
    private readonly ownMarks = new Map<string, Mark>();

    constructor(private readonly options: CreateLeavingUpstreamsOptions) {
        options.mesh.addListener(topic, (_, body) => this.mergePeerMarks(body));
    }

    /** Starts the periodic removal of expired marks. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(expiryCheckIntervalMs, () => this.removeExpired());
    }

    /**
     * Marks an upstream as leaving after a response showed that it accepts no further requests.
     * @param reason - The cause, for the log.
     */
    addMark(target: upstream.Upstream, reason: string): void {
        const now = this.options.context.clock.getNow();
        const wasLeaving = target.isLeaving(now);
        target.setLeavingUntil(now + markDurationMs);
        this.ownMarks.set(`${target.service}/${target.getId()}`, { target, expiresAt: now + markDurationMs });
        if (!wasLeaving) {
            this.options.context.logger.writeInfo("upstream-leaving", `${target.service}/${target.getId()} is leaving and receives no new requests: ${reason}`, {
                service: target.service,
                upstream: target.getId(),
                address: target.getAddress(),
                reason,
            });
            this.publishMarks(now);
        }
    }

    private removeExpired(): void {
        const now = this.options.context.clock.getNow();
        const expired = [...this.ownMarks].filter(([, mark]) => mark.expiresAt <= now);
        expired.forEach(([key]) => this.ownMarks.delete(key));
        if (expired.length > 0) {
            this.publishMarks(now);
        }
    }

    private publishMarks(now: number): void {
        const marks = [...this.ownMarks.values()].map(({ target, expiresAt }) => ({
            service: target.service,
            upstream: target.getId(),
            address: target.getAddress(),
            remainingMs: Math.max(0, expiresAt - now),
        }));
        this.options.mesh.setRegister(topic, { marks });
    }

    private mergePeerMarks(body: unknown): void {
        const now = this.options.context.clock.getNow();
        for (const mark of marksSchema.safeParse(body).data?.marks ?? []) {
            const target = this.options.pool.getUpstream(mark);
            if (target !== undefined && target.getAddress() === mark.address) {
                target.setLeavingUntil(now + mark.remainingMs);
            }
        }
    }
}

/** The service key under which the plug-in registers `LeavingUpstreams`. */
export const leavingUpstreamsKey = serviceRegistry.createServiceKey<LeavingUpstreams>("leavingMarks");
