/** Keeps upstreams out whose responses show that they are leaving, and shares this with the other instances by gossip. */

import { ok } from "neverthrow";
import * as z from "zod";
import type * as context from "../kernel/context.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import * as leavingMarks from "./leavingMarks.js";
import type * as pool from "./pool.js";
import type * as upstream from "./upstream.js";

const expiryCheckIntervalMs = 1_000;
/** Interval between two requests for a peer's marks, until one has answered. */
const readIntervalMs = 50;
const topic = "leavingMarks";
/** How long a starting instance waits for the addresses of peers, which the store lists within some tens of milliseconds. */
const peerSearchMs = 250;
/** How long it waits for the marks of a peer whose address it has. Opening a link takes some tens of milliseconds, more on a busy machine. */
const marksWaitMs = 1_000;

const markSchema = z.strictObject({
    service: z.string().max(200),
    upstream: z.string().max(200),
    address: z.string().max(259),
    startedAtMs: z.number().optional(),
    cause: z.enum(["draining", "misdirected"]),
    ageMs: z.number().min(0),
});
const messageSchema = z.strictObject({ marks: z.array(markSchema).max(10_000) });

const reasons: Readonly<Record<leavingMarks.LeavingCause, string>> = {
    draining: "its response announces that it is draining",
    misdirected: "another upstream now has its address",
};

/** Options of `LeavingUpstreams`. */
export interface CreateLeavingUpstreamsOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

/** Keeps every instance from sending new requests to upstreams that are leaving. */
export class LeavingUpstreams {
    private readonly marks = new leavingMarks.LeavingMarks();
    private haveMarksBeenRead = false;
    private publishedCount = 0;

    constructor(private readonly options: CreateLeavingUpstreamsOptions) {
        options.mesh.addListener(topic, (origin, body) => this.mergePeerMarks(origin, body));
        // A process that has just started asks for the marks of all instances, because the one that made a mark may be gone.
        options.mesh.setHandler(topic, async () => ok(this.createMessage(this.marks.listMarks())));
        options.pool.addUpstreamsListener(() => this.applyMarks());
    }

    /** Starts to learn the peers' marks, and to remove those that have ended. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(expiryCheckIntervalMs, () => this.removeEnded());
        void this.readPeerMarks();
    }

    /** Waits until a peer has sent the marks that it holds, for a limited time. */
    async waitUntilMarksRead(): Promise<void> {
        const { mesh, context: { clock, loop } } = this.options;
        const startedAt = clock.getNow();
        const getLimitMs = () => mesh.countPeerAddresses() > 0 ? marksWaitMs : peerSearchMs;
        while (!this.haveMarksBeenRead && clock.getNow() - startedAt < getLimitMs()) {
            await new Promise<void>(resolve => loop.scheduleOnce(readIntervalMs, resolve));
        }
    }

    /** Marks an upstream as leaving, here and at the other instances, after one of its responses showed it. */
    addUpstream(upstream: upstream.Upstream, cause: leavingMarks.LeavingCause): void {
        const { context: { clock, logger } } = this.options;
        const { service, upstream: id, address, startedAtMs } = upstream.getProcess();
        const isNew = this.marks.addMark({ service, upstream: id, address, startedAtMs, cause, markedAt: clock.getNow(), isOwn: true });
        this.applyMark(upstream);
        if (isNew) {
            logger.writeInfo("upstream-leaving", `${service}/${id} is leaving and receives no new requests: ${reasons[cause]}`, { service, upstream: id, address, startedAtMs, cause });
            this.publishOwnMarks();
        }
    }

    /** Asks peers for their marks until one has answered. */
    private async readPeerMarks(): Promise<void> {
        const { mesh, context: { randomness, loop } } = this.options;
        const linkedPeers = mesh.listLinkedPeers();
        const peer = linkedPeers[Math.floor(randomness.getFraction() * linkedPeers.length)];
        const result = peer === undefined ? undefined : await mesh.sendRequest(peer, topic, {});
        if (peer === undefined || result?.isOk() !== true) {
            loop.scheduleOnce(readIntervalMs, () => void this.readPeerMarks());
            return;
        }
        this.mergePeerMarks(peer, result.value);
        this.haveMarksBeenRead = true;
    }

    private removeEnded(): void {
        const { pool: upstreams, context: { clock } } = this.options;
        const findProcess = (mark: leavingMarks.UpstreamProcess) => upstreams.getUpstream(mark)?.getProcess();
        this.marks.removeEnded(findProcess, clock.getNow());
        if (this.listOwnMarks().length < this.publishedCount) {
            this.publishOwnMarks();
        }
    }

    private listOwnMarks(): readonly leavingMarks.LeavingMark[] {
        return this.marks.listMarks().filter(mark => mark.isOwn);
    }

    private publishOwnMarks(): void {
        const ownMarks = this.listOwnMarks();
        this.publishedCount = ownMarks.length;
        this.options.mesh.setRegister(topic, this.createMessage(ownMarks));
    }

    private createMessage(marks: readonly leavingMarks.LeavingMark[]): z.infer<typeof messageSchema> {
        const now = this.options.context.clock.getNow();
        return {
            marks: marks.map(({ service, upstream: id, address, startedAtMs, cause, markedAt }) => ({
                service,
                upstream: id,
                address,
                ...(startedAtMs === undefined ? {} : { startedAtMs }),
                cause,
                ageMs: Math.max(0, now - markedAt),
            })),
        };
    }

    private mergePeerMarks(origin: string, body: unknown): void {
        const { context: { clock, logger } } = this.options;
        const parsed = messageSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("leaving-marks-malformed", "ignored a malformed list of leaving upstreams from a peer", { peer: origin, reason: parsed.error.issues[0]?.message });
            return;
        }
        const now = clock.getNow();
        parsed.data.marks.forEach(({ ageMs, ...mark }) => this.marks.addMark({ ...mark, markedAt: now - ageMs, isOwn: false }));
        this.applyMarks();
    }

    /** Applies the marks to the upstreams in the pool, among them such that the directory has added since. */
    private applyMarks(): void {
        for (const mark of this.marks.listMarks()) {
            const marked = this.options.pool.getUpstream(mark);
            if (marked !== undefined) {
                this.applyMark(marked);
            }
        }
    }

    private applyMark(marked: upstream.Upstream): void {
        const until = this.marks.getLeavingUntil(marked.getProcess());
        if (until !== undefined) {
            marked.setLeavingUntil(until);
        }
    }
}

/** The service key of the leaving upstreams. */
export const leavingUpstreamsKey = serviceRegistry.createServiceKey<LeavingUpstreams>("leavingUpstreams");
