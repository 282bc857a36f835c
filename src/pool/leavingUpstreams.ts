/** Marks of upstreams that have said they are leaving, shared between instances. */

import { z } from "zod";
import type * as context from "../kernel/context.js";
import * as services from "../kernel/services.js";
import type * as peers from "../peers/index.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

/** How long a mark holds without being renewed, in milliseconds; the platform's list catches up meanwhile. */
const markDurationMs = 60_000;
const expiryCheckIntervalMs = 1_000;
const topic = "leaving";

const marksSchema = z.strictObject({
    marks: z.array(z.strictObject({ service: z.string(), upstream: z.string(), address: z.string(), remainingMs: z.number().min(0).max(markDurationMs) })).max(10_000),
});

/** Options of the marks. */
export interface CreateLeavingUpstreamsOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

interface Mark {
    readonly target: upstream.Upstream;
    readonly until: number;
}

/** Holds and spreads the marks. */
export class LeavingUpstreams {
    private readonly ownMarks = new Map<string, Mark>();

    constructor(private readonly options: CreateLeavingUpstreamsOptions) {
        options.mesh.addListener(topic, (_, body) => this.mergePeerMarks(body));
    }

    /** Begins to forget marks whose time is over. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(expiryCheckIntervalMs, () => this.removeExpired());
    }

    /**
     * Marks an upstream whose answer shows that it gets no more work.
     * @param target - The upstream.
     * @param reason - What the answer shows.
     */
    addMark(target: upstream.Upstream, reason: string): void {
        const now = this.options.context.clock.getNow();
        const wasLeaving = target.isLeaving(now);
        target.setLeavingUntil(now + markDurationMs);
        this.ownMarks.set(`${target.service}/${target.getId()}`, { target, until: now + markDurationMs });
        if (!wasLeaving) {
            this.options.context.logger.writeInfo("upstream-leaving", `${target.service}/${target.getId()} gets no more work: ${reason}`, { service: target.service, upstream: target.getId(), address: target.getAddress(), reason });
            this.publishMarks(now);
        }
    }

    private removeExpired(): void {
        const now = this.options.context.clock.getNow();
        const expired = [...this.ownMarks].filter(([, mark]) => mark.until <= now);
        expired.forEach(([key]) => this.ownMarks.delete(key));
        if (expired.length > 0) {
            this.publishMarks(now);
        }
    }

    private publishMarks(now: number): void {
        const marks = [...this.ownMarks.values()].map(({ target, until }) => ({
            service: target.service,
            upstream: target.getId(),
            address: target.getAddress(),
            remainingMs: Math.max(0, until - now),
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

/** The key of the leaving marks. */
export const leavingUpstreamsKey = services.createKey<LeavingUpstreams>("leavingMarks");
