/** Shares the outcomes of attempts with the other instances within milliseconds, and chooses upstreams by them. */

import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as explorationPolicy from "./explorationPolicy.js";
import type * as healthEstimate from "./healthEstimate.js";
import * as chooseByExpectedCost from "./chooseByExpectedCost.js";
import type * as healthUpdateBuffer from "./healthUpdateBuffer.js";
import * as healthUpdateRelay from "./healthUpdateRelay.js";
import * as unusedUpstreamLog from "./unusedUpstreamLog.js";
import * as upstreamHealthTable from "./upstreamHealthTable.js";

/** An attempt that is still in flight after this time counts as `survived`. */
const survivalThresholdMs = 40;
/** The interval between two checks for overdue attempts. */
const overdueCheckIntervalMs = 100;
/** An upstream with a higher failure probability is doubted; each crossing of this threshold is logged. */
const doubtedThreshold = 0.5;
/** The weight of a new response in the moving average of its route's response sizes. */
const responseSizeWeight = 0.1;
/** The assumed median latency of a route without history, as a fraction of its target latency. */
const defaultLatencyFraction = 0.3;
/** The interval between two removals of expired reports from other instances, and between two looks at unused upstreams. */
const expiryCheckIntervalMs = 1_000;
const zeroCounts: Readonly<Record<healthEstimate.Observation, number>> = { good: 0, bad: 0, survived: 0 };

/** A request that needs an upstream, and the upstreams to choose from. */
export interface ChooseUpstreamQuery extends explorationPolicy.ExplorationQuery {
    readonly route: string;
    /** Identifiers of the upstreams that the request was already sent to. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    /** How long the request has been queued at this instance. */
    readonly queuedMs: number;
    readonly targetLatencyMs: number;
    readonly upstreams: readonly pool.Upstream[];
}

/** Options of the health sharing. */
export interface CreateUpstreamHealthOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
    readonly configuration: configuration.ConfigurationService;
}

/** Observes the attempts of this instance, and keeps the health table up to date here and at the peers. */
export class UpstreamHealth {
    /** The health and load of upstreams as observed by the fleet. */
    readonly table = new upstreamHealthTable.UpstreamHealthTable();
    private readonly relay: healthUpdateRelay.HealthUpdateRelay;
    private readonly unusedLog: unusedUpstreamLog.UnusedUpstreamLog;
    private readonly exploration = new explorationPolicy.ExplorationPolicy();
    private upstreamIndex: { readonly pools: readonly (readonly pool.Upstream[])[]; readonly byId: ReadonlyMap<string, pool.Upstream>; } = { pools: [], byId: new Map() };
    private readonly recordedAsOverdue = new WeakSet<pool.AttemptRecord>();
    /** The moving average of each route's response sizes. */
    private readonly averageResponseBytes = new Map<string, number>();

    /** Returns whether a service sheds as a whole. */
    private isShedding: (service: string) => boolean = () => false;

    constructor(private readonly options: CreateUpstreamHealthOptions) {
        this.relay = new healthUpdateRelay.HealthUpdateRelay({
            context: options.context,
            mesh: options.mesh,
            applyUpdates: updates => this.applyUpdates(updates),
            getLocalInFlight: id => this.getUpstreamIndex().get(id)?.getInFlight() ?? 0,
            getDomainInFlight: id => this.getDomainInFlight(id),
        });
        this.unusedLog = new unusedUpstreamLog.UnusedUpstreamLog({ context: options.context, pool: options.pool, table: this.table });
        options.pool.addObserver({
            onStart: (upstream, attempt) => this.recordStart(upstream, attempt),
            onEnd: (upstream, attempt, outcome) => this.recordEnd(upstream, attempt, outcome),
        });
        options.configuration.addListener(({ document }) => this.exploration.setRoutes(document.routes));
        options.mesh.addDisconnectListener(peerId => this.handlePeerLoss(peerId));
    }

    /** Sets how it is found out whether a service sheds as a whole. Its upstreams then do not shed because they are full. */
    setSheddingCheck(isShedding: (service: string) => boolean): void {
        this.isShedding = isShedding;
    }

    /** Starts the periodic checks for overdue attempts and expired reports. */
    start(): void {
        const { context: { loop, clock } } = this.options;
        loop.scheduleRepeatedly(overdueCheckIntervalMs, () => this.checkOverdueAttempts());
        loop.scheduleRepeatedly(expiryCheckIntervalMs, () => {
            this.table.removeExpiredLoads(this.listUpstreams(), clock.getNow());
            this.relay.removeExpiredSendTimes(clock.getNow());
            this.unusedLog.writeUnusedUpstreams(clock.getNow());
        });
    }

    /** Chooses the upstream of a request; undefined if the request should wait. */
    chooseUpstream(query: ChooseUpstreamQuery): pool.Upstream | undefined {
        const { context: { identity, randomness: random } } = this.options;
        return chooseByExpectedCost.chooseByExpectedCost({
            ...query,
            medianLatencyMs: this.options.pool.latencies.getQuantile(query.service, query.route, 0.5) ?? query.targetLatencyMs * defaultLatencyFraction,
            table: this.table,
            failureDomain: identity.failureDomain,
            exploration: this.exploration.chooseExploration(query),
            observationWeight: this.exploration.getObservationWeight(query.service, query.now),
            averageResponseBytes: this.averageResponseBytes.get(query.route) ?? 0,
            getFraction: random.getFraction,
        });
    }

    /** Returns the requests of the whole fleet at an upstream, and its slots. */
    getLoad(upstream: pool.Upstream): { readonly inFlight: number; readonly limit: number; } {
        return { inFlight: this.table.getFleetInFlight(upstream), limit: upstream.getSlots() };
    }

    /**
     * Formats the health and load of an upstream for logs.
     * @param now - The time, in monotonic milliseconds.
     */
    formatHealth(upstream: pool.Upstream, now: number): string {
        const estimate = this.table.getEstimate(upstream);
        return `fails ${estimate.getFailureProbability(now).toFixed(3)}, ${Math.round(now - estimate.getUpdatedAt())} ms old, ${this.table.getFleetInFlight(upstream)}/${upstream.getSlots()} busy`;
    }

    /** Returns the health estimates for the operators' dump. */
    getDump(): unknown {
        const now = this.options.context.clock.getNow();
        return Object.fromEntries(
            this.listUpstreams().map(upstream => [`${upstream.service}/${upstream.getId()}`, {
                failing: Math.round(this.table.getEstimate(upstream).getFailureProbability(now) * 1_000) / 1_000,
                ageMs: Math.round(now - this.table.getEstimate(upstream).getUpdatedAt()),
                inFlight: this.table.getFleetInFlight(upstream),
            }]),
        );
    }

    private listUpstreams(): readonly pool.Upstream[] {
        return this.options.pool.listServicePools().flatMap(({ upstreams }) => upstreams);
    }

    private recordStart(upstream: pool.Upstream, attempt: pool.AttemptRecord): void {
        const { clock, loop } = this.options.context;
        this.table.recordSent(upstream, clock.getNow());
        this.exploration.recordStart(upstream.service, attempt.route, clock.getNow());
        this.addLoadUpdate(upstream);
        loop.scheduleOnce(survivalThresholdMs, () => {
            if (upstream.attempts.has(attempt)) {
                this.recordOutcome(upstream, "survived", attempt.startedAt);
            }
        });
    }

    private recordEnd(upstream: pool.Upstream, attempt: pool.AttemptRecord, outcome: pool.AttemptOutcome): void {
        this.exploration.recordEnd(upstream.service, outcome, this.options.context.clock.getNow());
        const isShedAsBad = outcome === "shed" && (this.table.getFleetInFlight(upstream) < upstream.getSlots() || this.isShedding(upstream.service));
        const isBad = isShedAsBad || outcome === "failed" || outcome === "timedOut" || outcome === "unreachable";
        if (isBad) {
            this.unusedLog.recordFailure(upstream.service);
        }
        if (isBad && !this.recordedAsOverdue.has(attempt)) {
            this.recordOutcome(upstream, "bad", attempt.startedAt);
        }
        if (outcome === "answered") {
            this.recordOutcome(upstream, "good", attempt.startedAt);
        }
        this.addLoadUpdate(upstream);
        if (attempt.responseBytes !== undefined) {
            const average = this.averageResponseBytes.get(attempt.route) ?? attempt.responseBytes;
            this.averageResponseBytes.set(attempt.route, average + (attempt.responseBytes - average) * responseSizeWeight);
        }
    }

    private recordOutcome(upstream: pool.Upstream, observation: healthEstimate.Observation, sentAt: number): void {
        const now = this.options.context.clock.getNow();
        const estimate = this.table.getEstimate(upstream);
        const before = estimate.getFailureProbability(now);
        estimate.recordObservation(observation, sentAt, now);
        this.writeThresholdCrossing(upstream, before, estimate.getFailureProbability(now), observation, "own");
        this.relay.addLocalUpdate({
            upstream: upstream.getId(),
            inFlight: upstream.getInFlight(),
            counts: { ...zeroCounts, [observation]: 1 },
            newestGoodSentAt: observation === "bad" ? -Infinity : sentAt,
        });
    }

    private addLoadUpdate(upstream: pool.Upstream): void {
        this.relay.addLocalUpdate({ upstream: upstream.getId(), inFlight: upstream.getInFlight(), counts: zeroCounts, newestGoodSentAt: -Infinity });
    }

    private getDomainInFlight(id: string): number {
        const upstream = this.getUpstreamIndex().get(id);
        return upstream === undefined ? 0 : this.table.getDomainInFlight(upstream);
    }

    /** Returns the upstreams by identifier. The index is rebuilt only when the pools have changed. */
    private getUpstreamIndex(): ReadonlyMap<string, pool.Upstream> {
        const pools = this.options.pool.listServicePools().map(({ upstreams }) => upstreams);
        const isSame = pools.length === this.upstreamIndex.pools.length && pools.every((upstreams, position) => upstreams === this.upstreamIndex.pools[position]);
        if (!isSame) {
            this.upstreamIndex = { pools, byId: new Map(pools.flat().map(upstream => [upstream.getId(), upstream])) };
        }
        return this.upstreamIndex.byId;
    }

    private applyUpdates(updates: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const now = this.options.context.clock.getNow();
        const index = this.getUpstreamIndex();
        for (const { origin, upstream: upstreamId, inFlight, counts, newestGoodSentAt } of updates) {
            const upstream = index.get(upstreamId);
            if (upstream === undefined) {
                continue;
            }
            this.table.recordRemoteInFlight(upstream, origin, inFlight, now);
            if (!healthUpdateRelay.isCellOrigin(origin)) {
                this.exploration.recordCellOutcomes(upstream.service, { failures: counts.bad, successes: counts.good }, now);
            }
            const estimate = this.table.getEstimate(upstream);
            const before = estimate.getFailureProbability(now);
            estimate.recordObservations(counts, newestGoodSentAt, now);
            this.writeThresholdCrossing(upstream, before, estimate.getFailureProbability(now), counts.bad > 0 ? "bad" : "good", origin);
        }
        this.options.pool.notifyChangeListeners();
    }

    /** Removes the in-flight requests of a disconnected peer. With the last peer of a failure domain, removes those of the whole domain. */
    private handlePeerLoss(peerId: string): void {
        const { mesh, context: { identity } } = this.options;
        const upstreams = this.listUpstreams();
        const loaded = this.table.removeOrigin(upstreams, peerId);
        this.relay.handlePeerLoss(peerId);
        this.relay.relayLoadEnd(peerId, loaded.map(upstream => upstream.getId()));
        const cell = mesh.getCell(peerId);
        // In cells, the updates of other cells arrive through the relay of the own one, whatever other links there are.
        if (cell === undefined || cell === mesh.getCell(identity.instanceId) || mesh.hasCells()) {
            return;
        }
        if (!mesh.listLinkedPeers().some(linked => mesh.getCell(linked) === cell)) {
            this.table.removeOrigin(upstreams, healthUpdateRelay.getCellOrigin(cell));
        }
    }

    /** Records each overdue attempt once as a failure of its upstream. */
    private checkOverdueAttempts(): void {
        const { pool: upstreamPool, context: { clock } } = this.options;
        const now = clock.getNow();
        for (const { name, definition, upstreams } of upstreamPool.listServicePools()) {
            for (const upstream of upstreams) {
                for (const attempt of upstream.attempts) {
                    const overdueAgeMs = pool.computeOverdueAgeMs({ medianMs: upstreamPool.latencies.getQuantile(name, attempt.route, 0.5), minimumStallMs: definition.minimumStallMs, routability: "routable" });
                    if (attempt.respondedAt === undefined && !this.recordedAsOverdue.has(attempt) && now - attempt.startedAt >= overdueAgeMs) {
                        this.recordedAsOverdue.add(attempt);
                        this.recordOutcome(upstream, "bad", attempt.startedAt);
                    }
                }
            }
        }
    }

    private writeThresholdCrossing(upstream: pool.Upstream, before: number, after: number, observation: healthEstimate.Observation, source: string): void {
        if ((before < doubtedThreshold) === (after < doubtedThreshold)) {
            return;
        }
        const event = after < doubtedThreshold ? "upstream-trusted" : "upstream-doubted";
        this.options.context.logger.writeInfo(event, `${upstream.service}/${upstream.getId()} now has an estimated failure probability of ${after.toFixed(3)}`, {
            service: upstream.service,
            upstream: upstream.getId(),
            before: Number(before.toFixed(3)),
            after: Number(after.toFixed(3)),
            observation,
            source,
        });
    }
}
