/** Shares the outcomes of attempts with the other instances within milliseconds. */

import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import type * as healthEstimate from "./healthEstimate.js";
import * as chooseByExpectedCost from "./chooseByExpectedCost.js";
import type * as healthUpdateBuffer from "./healthUpdateBuffer.js";
import * as healthUpdateRelay from "./healthUpdateRelay.js";
import * as upstreamHealthTable from "./upstreamHealthTable.js";

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
/** Milliseconds between two looks for what others said of their attempts too long ago. */
const staleLookMs = 1_000;
const noOutcome: Readonly<Record<healthEstimate.Observation, number>> = { good: 0, bad: 0, survived: 0 };

/** A request that needs an upstream. */
export interface ChooseUpstreamQuery {
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
export interface CreateUpstreamHealthOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
    readonly configuration: configuration.ConfigurationService;
}

/** Keeps the table up to date, here and at the peers. */
export class UpstreamHealth {
    /** What the fleet has seen. */
    readonly table = new upstreamHealthTable.UpstreamHealthTable();
    private readonly relay: healthUpdateRelay.HealthUpdateRelay;
    private index: { readonly pools: readonly (readonly pool.Upstream[])[]; readonly byId: ReadonlyMap<string, pool.Upstream>; } = { pools: [], byId: new Map() };
    private readonly overdueSeen = new WeakSet<pool.AttemptRecord>();
    /** The usual size of each route's answers, in bytes. */
    private readonly answerBytes = new Map<string, number>();
    /** The services that have requests which may not be repeated. */
    private delicate: ReadonlySet<string> = new Set();

    constructor(private readonly options: CreateUpstreamHealthOptions) {
        this.relay = new healthUpdateRelay.HealthUpdateRelay({
            context: options.context,
            mesh: options.mesh,
            applyItems: items => this.applyItems(items),
            getOwnInFlight: id => this.getIndex().get(id)?.getInFlight() ?? 0,
            getDomainInFlight: id => this.getDomainInFlight(id),
        });
        options.pool.addObserver({
            onStart: (target, attempt) => this.recordStart(target, attempt),
            onEnd: (target, attempt, outcome) => this.recordEnd(target, attempt, outcome),
        });
        options.configuration.addListener(({ document }) => {
            const orders = document.routes.filter(route => !route.repeatable);
            this.delicate = new Set(orders.flatMap(route => [...route.service === undefined ? [] : [route.service], ...route.split.map(part => part.service)]));
        });
        options.mesh.addDisconnectListener(peerId => this.removePeer(peerId));
    }

    /** Begins to look for overdue attempts. */
    start(): void {
        const { context: { loop, clock } } = this.options;
        loop.scheduleRepeatedly(overdueLookMs, () => this.runLook());
        loop.scheduleRepeatedly(staleLookMs, () => {
            this.table.removeStaleRemotes(this.listUpstreams(), clock.getNow());
            this.relay.removeExpiredSends(clock.getNow());
        });
    }

    /**
     * Chooses the upstream of a request; undefined where none has room.
     * @param query - The request and the service's upstreams.
     */
    chooseUpstream(query: ChooseUpstreamQuery): pool.Upstream | undefined {
        const { context: { identity, randomness: random } } = this.options;
        return chooseByExpectedCost.chooseByExpectedCost({
            ...query,
            medianLatencyMs: this.options.pool.latencies.getQuantile(query.service, query.route, 0.5) ?? query.targetMs * unknownLatencyPart,
            table: this.table,
            failureDomain: identity.failureDomain,
            isExplorationUseful: this.delicate.has(query.service),
            averageResponseBytes: this.answerBytes.get(query.route) ?? 0,
            getFraction: random.getFraction,
        });
    }

    /**
     * Formats what is known of an upstream, for logs.
     * @param target - The upstream.
     * @param now - The time.
     */
    formatHealth(target: pool.Upstream, now: number): string {
        const known = this.table.getEstimate(target);
        return `fails ${known.getFailureProbability(now).toFixed(3)}, ${Math.round(now - known.getUpdatedAt())} ms old, ${this.table.getFleetInFlight(target)}/${target.getSlots()} busy`;
    }

    /** Returns the beliefs for the dump. */
    getDump(): unknown {
        const now = this.options.context.clock.getNow();
        return Object.fromEntries(
            this.listUpstreams().map(target => [`${target.service}/${target.getId()}`, {
                failing: Math.round(this.table.getEstimate(target).getFailureProbability(now) * 1_000) / 1_000,
                ageMs: Math.round(now - this.table.getEstimate(target).getUpdatedAt()),
                inFlight: this.table.getFleetInFlight(target),
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
        const isIdleRefusal = outcome === "shed" && this.table.getFleetInFlight(target) < target.getSlots();
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

    private recordOutcome(target: pool.Upstream, observation: healthEstimate.Observation, sentAt: number): void {
        const now = this.options.context.clock.getNow();
        const known = this.table.getEstimate(target);
        const before = known.getFailureProbability(now);
        known.recordObservation(observation, sentAt, now);
        this.writeTurn(target, before, known.getFailureProbability(now), observation, "own");
        this.relay.addLocalUpdate({
            upstream: target.getId(),
            inFlight: target.getInFlight(),
            counts: { ...noOutcome, [observation]: 1 },
            goodSentAt: observation === "bad" ? -Infinity : sentAt,
        });
    }

    private addLoad(target: pool.Upstream): void {
        this.relay.addLocalUpdate({ upstream: target.getId(), inFlight: target.getInFlight(), counts: noOutcome, goodSentAt: -Infinity });
    }

    private getDomainInFlight(id: string): number {
        const target = this.getIndex().get(id);
        return target === undefined ? 0 : this.table.getDomainInFlight(target);
    }

    /** Returns the upstreams by identifier; made anew only when the pools have changed. */
    private getIndex(): ReadonlyMap<string, pool.Upstream> {
        const pools = this.options.pool.listServicePools().map(({ upstreams }) => upstreams);
        const isSame = pools.length === this.index.pools.length && pools.every((upstreams, place) => upstreams === this.index.pools[place]);
        if (!isSame) {
            this.index = { pools, byId: new Map(pools.flat().map(target => [target.getId(), target])) };
        }
        return this.index.byId;
    }

    private applyItems(items: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const now = this.options.context.clock.getNow();
        const index = this.getIndex();
        for (const { origin, upstream, inFlight, counts, goodSentAt } of items) {
            const target = index.get(upstream);
            if (target === undefined) {
                continue;
            }
            this.table.recordRemoteInFlight(target, origin, inFlight, now);
            const known = this.table.getEstimate(target);
            const before = known.getFailureProbability(now);
            known.recordObservations(counts, goodSentAt, now);
            this.writeTurn(target, before, known.getFailureProbability(now), counts.bad > 0 ? "bad" : "good", origin);
        }
        this.options.pool.notifyChangeListeners();
    }

    /** Forgets what a lost instance had under way, and with the last of its failure domain what the whole domain had. */
    private removePeer(peerId: string): void {
        const { mesh, context: { identity } } = this.options;
        const upstreams = this.listUpstreams();
        this.table.removeOrigin(upstreams, peerId);
        this.relay.handlePeerLoss(peerId);
        const domain = mesh.getMember(peerId)?.failureDomain;
        if (domain === undefined || domain === identity.failureDomain) {
            return;
        }
        if (!mesh.listLinkedPeers().some(linked => mesh.getMember(linked)?.failureDomain === domain)) {
            this.table.removeOrigin(upstreams, healthUpdateRelay.getDomainOrigin(domain));
        }
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

    private writeTurn(target: pool.Upstream, before: number, after: number, observation: healthEstimate.Observation, source: string): void {
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
