/** Shares the outcomes of attempts with the other instances within milliseconds. */

import { z } from "zod";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import type * as belief from "./belief.js";
import * as chooseByStanding from "./chooseByStanding.js";
import * as standingTable from "./standingTable.js";

/** How long news is collected before it is sent, in milliseconds; one message then carries several outcomes. */
const collectMs = 10;
/** An attempt that has not failed within this time was not failed at once, in milliseconds. */
const survivalMs = 40;
/** Milliseconds between two looks for attempts that are overdue. */
const overdueLookMs = 100;
/** The weight of a new answer in its route's usual size. */
const sizeWeight = 0.1;
const topic = "standing";

/** News of one upstream: [upstream, requests under way, failures, successes, survivors, milliseconds since the newest success or survivor was sent]. */
const newsSchema = z.tuple([z.string(), z.number().int().min(0), z.number().int().min(0), z.number().int().min(0), z.number().int().min(0), z.number().min(0)]);

/** One instance's news; where it comes over a relay, the origin is named. */
const messageSchema = z.strictObject({ origin: z.string().optional(), relay: z.boolean().optional(), news: z.array(newsSchema).max(10_000) });

type Message = z.infer<typeof messageSchema>;

interface Pending {
    failures: number;
    successes: number;
    survivors: number;
    goodSentAt: number;
}

/** A request that needs an upstream. */
export interface ChooseQuery {
    readonly service: string;
    readonly route: string;
    /** Whether the request may be sent once more if this attempt fails. */
    readonly canRepeat: boolean;
    readonly excluded: ReadonlySet<string>;
    readonly upstreams: readonly pool.Upstream[];
    readonly now: number;
}

/** Options of the sharing. */
export interface CreateStandingOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
    readonly configuration: configuration.ConfigurationService;
}

/** Keeps the table up to date, here and at the peers. */
export class Standing {
    /** What the fleet has seen. */
    readonly table = new standingTable.StandingTable();
    private readonly pending = new Map<pool.Upstream, Pending>();
    private readonly overdueSeen = new WeakSet<pool.AttemptRecord>();
    /** The usual size of each route's answers, in bytes. */
    private readonly answerBytes = new Map<string, number>();
    /** The services that have requests which may not be repeated. */
    private delicate: ReadonlySet<string> = new Set();
    private isScheduled = false;

    constructor(private readonly options: CreateStandingOptions) {
        options.mesh.setNoticeHandler(topic, (from, body) => this.receiveMessage(from, body));
        options.pool.addObserver({
            onStart: (target, attempt) => this.recordStart(target, attempt),
            onEnd: (target, attempt, outcome) => this.recordEnd(target, attempt, outcome),
        });
        options.configuration.addListener(({ document }) => {
            const orders = document.routes.filter(route => !route.repeatable);
            this.delicate = new Set(orders.flatMap(route => [...route.service === undefined ? [] : [route.service], ...route.split.map(part => part.service)]));
        });
        options.mesh.addLossListener(peerId => this.removePeer(peerId));
    }

    /** Begins to look for overdue attempts. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(overdueLookMs, () => this.runLook());
    }

    /**
     * Chooses the upstream of a request; undefined where none has room.
     * @param query - The request and the service's upstreams.
     */
    chooseUpstream(query: ChooseQuery): pool.Upstream | undefined {
        const { context: { identity, randomness: random } } = this.options;
        return chooseByStanding.chooseByStanding({
            ...query,
            table: this.table,
            failureDomain: identity.failureDomain,
            isFindingOutWorthwhile: this.delicate.has(query.service),
            answerBytes: this.answerBytes.get(query.route) ?? 0,
            getFraction: random.getFraction,
        });
    }

    /** Returns the beliefs for the dump. */
    getDump(): unknown {
        const now = this.options.context.clock.getNow();
        return Object.fromEntries(
            this.listUpstreams().map(target => [`${target.service}/${target.getId()}`, {
                failing: Math.round(this.table.getBelief(target).getFailing(now) * 1_000) / 1_000,
                ageMs: Math.round(now - this.table.getBelief(target).getUpdatedAt()),
                inFlight: this.table.getInFlight(target, now),
            }]),
        );
    }

    private listUpstreams(): readonly pool.Upstream[] {
        return this.options.pool.listServicePools().flatMap(({ upstreams }) => upstreams);
    }

    private recordStart(target: pool.Upstream, attempt: pool.AttemptRecord): void {
        const { clock, loop } = this.options.context;
        this.table.recordSent(target, clock.getNow());
        this.addNews(target);
        loop.scheduleOnce(survivalMs, () => {
            if (target.attempts.has(attempt)) {
                this.recordOutcome(target, "survived", attempt.startedAt);
            }
        });
    }

    private recordEnd(target: pool.Upstream, attempt: pool.AttemptRecord, outcome: pool.AttemptOutcome): void {
        const isBad = outcome === "failed" || outcome === "timedOut" || outcome === "unreachable";
        if (isBad && !this.overdueSeen.has(attempt)) {
            this.recordOutcome(target, "bad", attempt.startedAt);
        }
        if (outcome === "answered") {
            this.recordOutcome(target, "good", attempt.startedAt);
        }
        this.addNews(target);
        if (attempt.answerBytes !== undefined) {
            const known = this.answerBytes.get(attempt.route) ?? attempt.answerBytes;
            this.answerBytes.set(attempt.route, known + (attempt.answerBytes - known) * sizeWeight);
        }
    }

    private recordOutcome(target: pool.Upstream, observation: belief.Observation, sentAt: number): void {
        const now = this.options.context.clock.getNow();
        const known = this.table.getBelief(target);
        const before = known.getFailing(now);
        known.recordObservation(observation, sentAt, now);
        this.writeTurn(target, before, known.getFailing(now), observation, "own");
        const pending = this.addNews(target);
        pending.failures += observation === "bad" ? 1 : 0;
        pending.successes += observation === "good" ? 1 : 0;
        pending.survivors += observation === "survived" ? 1 : 0;
        pending.goodSentAt = observation === "bad" ? pending.goodSentAt : Math.max(pending.goodSentAt, sentAt);
    }

    private addNews(target: pool.Upstream): Pending {
        const pending = this.pending.get(target) ?? { failures: 0, successes: 0, survivors: 0, goodSentAt: -Infinity };
        this.pending.set(target, pending);
        if (!this.isScheduled) {
            this.isScheduled = true;
            this.options.context.loop.scheduleOnce(collectMs, () => this.sendNews());
        }
        return pending;
    }

    private sendNews(): void {
        this.isScheduled = false;
        const now = this.options.context.clock.getNow();
        const news = [...this.pending].map(([target, { failures, successes, survivors, goodSentAt }]): z.infer<typeof newsSchema> => [
            target.getId(),
            target.getInFlight(),
            failures,
            successes,
            survivors,
            Math.round(Math.max(0, Math.min(now - goodSentAt, Number.MAX_SAFE_INTEGER))),
        ]);
        this.pending.clear();
        this.sendAlong({ news });
    }

    /** Sends to the peers of the own failure domain, and to one of each other, which hands it on there. */
    private sendAlong(message: Message): void {
        const { mesh, context: { identity } } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const peersByDomain = new Map<string, string[]>();
        for (const member of mesh.listMembers()) {
            if (linked.has(member.instanceId)) {
                peersByDomain.set(member.failureDomain, [...peersByDomain.get(member.failureDomain) ?? [], member.instanceId]);
            }
        }
        for (const [domain, ids] of peersByDomain) {
            if (domain === identity.failureDomain) {
                ids.forEach(id => mesh.sendNotice(id, topic, message));
                continue;
            }
            const relay = ids.reduce((best, id) => randomness.computeRendezvousScore(identity.instanceId, id) > randomness.computeRendezvousScore(identity.instanceId, best) ? id : best);
            mesh.sendNotice(relay, topic, { ...message, relay: true });
        }
    }

    private receiveMessage(from: string, body: unknown): void {
        const parsed = messageSchema.safeParse(body);
        if (!parsed.success) {
            this.options.context.logger.writeWarning("standing-malformed", "a peer's news of upstreams is malformed and is left out", { peer: from, reason: parsed.error.issues[0]?.message });
            return;
        }
        const { origin = from, relay, news } = parsed.data;
        if (relay === true) {
            this.relayNews(origin, news);
        }
        const now = this.options.context.clock.getNow();
        const byId = new Map(this.listUpstreams().map(target => [target.getId(), target]));
        for (const [id, inFlight, failures, successes, survivors, goodAgeMs] of news) {
            const target = byId.get(id);
            if (target === undefined) {
                continue;
            }
            this.table.recordRemote(target, origin, inFlight, now);
            const known = this.table.getBelief(target);
            const before = known.getFailing(now);
            known.recordObservations({ good: successes, survived: survivors, bad: failures }, now - goodAgeMs, now);
            this.writeTurn(target, before, known.getFailing(now), failures > 0 ? "bad" : "good", origin);
        }
        this.options.pool.publishChange();
    }

    private relayNews(origin: string, news: Message["news"]): void {
        const { mesh, context: { identity } } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        mesh.listMembers()
            .filter(member => member.failureDomain === identity.failureDomain && linked.has(member.instanceId))
            .forEach(member => mesh.sendNotice(member.instanceId, topic, { origin, news }));
    }

    private removePeer(peerId: string): void {
        this.table.removeOrigin(this.listUpstreams(), peerId);
    }

    /** Holds an attempt that is overdue against its upstream, once. */
    private runLook(): void {
        const { pool: upstreamPool, context: { clock } } = this.options;
        const now = clock.getNow();
        for (const { name, definition, upstreams } of upstreamPool.listServicePools()) {
            for (const target of upstreams) {
                for (const attempt of target.attempts) {
                    const overdueMs = pool.computeOverdueMs({ medianMs: upstreamPool.latencies.getQuantile(name, attempt.route, 0.5), minimumStallMs: definition.minimumStallMs, routability: "routable" });
                    if (attempt.answeredAt === undefined && !this.overdueSeen.has(attempt) && now - attempt.startedAt >= overdueMs) {
                        this.overdueSeen.add(attempt);
                        this.recordOutcome(target, "bad", attempt.startedAt);
                    }
                }
            }
        }
    }

    private writeTurn(target: pool.Upstream, before: number, after: number, observation: belief.Observation, source: string): void {
        const half = 0.5;
        if ((before < half) === (after < half)) {
            return;
        }
        const event = after < half ? "upstream-trusted" : "upstream-doubted";
        this.options.context.logger.writeInfo(event, `${target.service}/${target.getId()} fails with probability ${after.toFixed(3)}`, {
            service: target.service,
            upstream: target.getId(),
            before: Number(before.toFixed(3)),
            after: Number(after.toFixed(3)),
            observation,
            source,
        });
    }
}
