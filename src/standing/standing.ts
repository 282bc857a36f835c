/** Shares the outcomes of attempts with the other instances within milliseconds. */

import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import type * as belief from "./belief.js";
import * as chooseByStanding from "./chooseByStanding.js";
import * as newsWire from "./newsWire.js";
import * as outbox from "./outbox.js";
import * as standingTable from "./standingTable.js";

/** How long news is collected for peers of the own failure domain, in milliseconds; it spans the time in which an attempt may fail at once. */
const nearCollectMs = 50;
/** How long it is collected for other failure domains, whose bytes are dear, in milliseconds. */
const farCollectMs = 400;
/** How long news of a failure waits, in milliseconds. */
const urgentMs = 1;
/** An attempt that has not failed within this time was not failed at once, in milliseconds. */
const survivalMs = 40;
/** Milliseconds between two looks for attempts that are overdue. */
const overdueLookMs = 100;
/** An upstream that is likelier than this to fail is doubted; the log says when that turns. */
const doubtedFailing = 0.5;
/** The weight of a new answer in its route's usual size. */
const sizeWeight = 0.1;
/** The part of its target latency that a route's requests are taken to need before one has been answered. */
const unknownLatencyPart = 0.3;
const topic = "standing";

/** A request that needs an upstream. */
export interface ChooseQuery {
    readonly service: string;
    readonly route: string;
    /** Whether the request may be sent once more if this attempt fails. */
    readonly canRepeat: boolean;
    readonly excluded: ReadonlySet<string>;
    readonly waitedMs: number;
    readonly targetMs: number;
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
    private readonly near: outbox.Outbox;
    private readonly far: outbox.Outbox;
    private readonly overdueSeen = new WeakSet<pool.AttemptRecord>();
    /** The usual size of each route's answers, in bytes. */
    private readonly answerBytes = new Map<string, number>();
    /** The services that have requests which may not be repeated. */
    private delicate: ReadonlySet<string> = new Set();

    constructor(private readonly options: CreateStandingOptions) {
        const { loop } = options.context;
        this.near = new outbox.Outbox({ loop, collectMs: nearCollectMs, urgentMs, sendNews: news => this.sendNear(this.createMessage(news)) });
        this.far = new outbox.Outbox({ loop, collectMs: farCollectMs, urgentMs, sendNews: news => this.sendFar(this.createMessage(news)) });
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
            usualMs: this.options.pool.latencies.getQuantile(query.service, query.route, 0.5) ?? query.targetMs * unknownLatencyPart,
            table: this.table,
            failureDomain: identity.failureDomain,
            isFindingOutWorthwhile: this.delicate.has(query.service),
            answerBytes: this.answerBytes.get(query.route) ?? 0,
            getFraction: random.getFraction,
        });
    }

    /**
     * Formats what is known of an upstream, for logs.
     * @param target - The upstream.
     * @param now - The time.
     */
    formatGrounds(target: pool.Upstream, now: number): string {
        const known = this.table.getBelief(target);
        return `fails ${known.getFailing(now).toFixed(3)}, ${Math.round(now - known.getUpdatedAt())} ms old, ${this.table.getInFlight(target, now)}/${target.getSlots()} busy`;
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
        this.addLoad(target);
        loop.scheduleOnce(survivalMs, () => {
            if (target.attempts.has(attempt)) {
                this.recordOutcome(target, "survived", attempt.startedAt);
            }
        });
    }

    private recordEnd(target: pool.Upstream, attempt: pool.AttemptRecord, outcome: pool.AttemptOutcome): void {
        const isIdleRefusal = outcome === "shed" && this.table.getInFlight(target, this.options.context.clock.getNow()) < target.getSlots();
        const isBad = isIdleRefusal || outcome === "failed" || outcome === "timedOut" || outcome === "unreachable";
        if (isBad && !this.overdueSeen.has(attempt)) {
            this.recordOutcome(target, "bad", attempt.startedAt);
        }
        if (outcome === "answered") {
            this.recordOutcome(target, "good", attempt.startedAt);
        }
        this.addLoad(target);
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
        this.near.addObservation(target, observation, sentAt);
        this.far.addObservation(target, observation, sentAt);
    }

    private addLoad(target: pool.Upstream): void {
        this.near.addLoad(target);
        this.far.addLoad(target);
    }

    private createMessage(news: readonly outbox.CollectedNews[]): newsWire.Message {
        return { news: newsWire.encodeNews(news, this.options.context.clock.getNow()) };
    }

    /** Sends to the linked peers of the own failure domain. */
    private sendNear(message: newsWire.Message): void {
        const { mesh, context: { identity } } = this.options;
        (this.listLinkedByDomain().get(identity.failureDomain) ?? []).forEach(id => mesh.sendNotice(id, topic, message));
    }

    /** Sends to one peer of each other failure domain, which hands it on there. */
    private sendFar(message: newsWire.Message): void {
        const { mesh, context: { identity } } = this.options;
        for (const [domain, ids] of this.listLinkedByDomain()) {
            if (domain !== identity.failureDomain) {
                const scored = ids.map(id => ({ id, score: randomness.computeRendezvousScore(identity.instanceId, id) }));
                const relay = scored.reduce((best, next) => next.score > best.score ? next : best);
                mesh.sendNotice(relay.id, topic, { ...message, relay: true });
            }
        }
    }

    private listLinkedByDomain(): ReadonlyMap<string, readonly string[]> {
        const { mesh } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const byDomain = new Map<string, string[]>();
        for (const member of mesh.listMembers()) {
            if (linked.has(member.instanceId)) {
                byDomain.set(member.failureDomain, [...byDomain.get(member.failureDomain) ?? [], member.instanceId]);
            }
        }
        return byDomain;
    }

    private receiveMessage(from: string, body: unknown): void {
        const parsed = newsWire.messageSchema.safeParse(body);
        if (!parsed.success) {
            this.options.context.logger.writeWarning("standing-malformed", "a peer's news of upstreams is malformed and is left out", { peer: from, reason: parsed.error.issues[0]?.message });
            return;
        }
        const { origin = from, relay, news } = parsed.data;
        if (relay === true) {
            this.sendNear({ origin, news });
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
        if ((before < doubtedFailing) === (after < doubtedFailing)) {
            return;
        }
        const event = after < doubtedFailing ? "upstream-trusted" : "upstream-doubted";
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
