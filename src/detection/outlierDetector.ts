/**
 * Detects upstreams that fail live requests. Instances send their statistics to one instance for each service, its
 * decider, which publishes the phases of the upstreams. Every instance applies the phases that the decider publishes.
 */

import * as promClient from "prom-client";
import * as z from "zod";
import * as cachedParser from "../kernel/cachedParser.js";
import type * as context from "../kernel/context.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";
import * as ejections from "./ejections.js";
import * as attemptStatistics from "./attemptStatistics.js";
import * as followers from "./followers.js";
import * as classification from "./classification.js";
import * as publishedPhases from "./publishedPhases.js";

/** The interval between two evaluations of the statistics. */
const evaluationIntervalMs = 100;
/** An evaluation that starts later than scheduled by more than this shows that the instance itself is slow. */
const tolerableLagMs = 100;
/** How long overdue attempts are then not counted against upstreams. */
const lagExclusionMs = 500;
/** While no attempt is bad or overdue, only one evaluation in this many sends a report. */
const evaluationsPerIdleReport = 5;
/** Reports older than this are ignored. */
const reportLifetimeMs = 1_500;
const reportTopic = "evidence";
const phasesTopicPrefix = "verdicts:";

const reportSchema = z.strictObject({ services: z.record(z.string(), z.array(attemptStatistics.upstreamStatisticsSchema).max(10_000)) });
const parsePublishedPhases = cachedParser.createCachedParser(publishedPhases.publishedPhasesSchema);

interface ReceivedReport {
    readonly receivedAt: number;
    readonly entries: readonly attemptStatistics.UpstreamStatistics[];
}

interface ServiceState {
    readonly ejections: ejections.Ejections;
    readonly reports: Map<string, ReceivedReport>;
    classifications: ReadonlyMap<string, classification.Classification>;
    decider: string;
    publishedText: string;
}

/** Options of the outlier detector. */
export interface CreateOutlierDetectorOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

/** Detects outliers at one instance, and decides for the services that are assigned to it. */
export class OutlierDetector {
    private readonly statistics: attemptStatistics.AttemptStatistics;
    private readonly services = new Map<string, ServiceState>();
    private readonly followers: followers.Followers;
    private readonly ejectionCounter: promClient.Counter<"service">;
    private evaluationCount = 0;
    private lastEvaluatedAt = Infinity;
    private runningMembersKey = "";

    constructor(private readonly options: CreateOutlierDetectorOptions) {
        const { pool: upstreamPool, mesh, context } = options;
        this.followers = new followers.Followers(options);
        this.statistics = new attemptStatistics.AttemptStatistics({
            getMedianLatencyMs: (service, route) => upstreamPool.latencies.getQuantile(service, route, 0.5),
            getMinimumStallMs: service => upstreamPool.getServicePool(service)?.definition.minimumStallMs ?? 0,
        });
        upstreamPool.addObserver({ onEnd: (upstream, attempt, outcome, now) => this.statistics.recordEnd(upstream, attempt, outcome, now) });
        mesh.setNoticeHandler(reportTopic, (origin, body) => this.receiveReport(origin, body));
        this.ejectionCounter = new promClient.Counter({ name: "agatebend_ejections_total", help: "Ejections decided by this instance.", labelNames: ["service"], registers: [context.metrics] });
    }

    /** Starts the periodic evaluation of the statistics. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(evaluationIntervalMs, () => this.runEvaluation());
    }

    /** Returns the classifications and phases for the operators' dump. */
    getDump(): unknown {
        return Object.fromEntries([...this.services].map(([service, state]) => [service, {
            decider: state.decider,
            isDecidedHere: this.isDecidedHere(state),
            followers: this.followers.listFollowers(service, this.options.context.clock.getNow()).length,
            remainingEjections: this.getRemainingEjections(service, state),
            phases: this.getPhases(service, state),
            judgements: Object.fromEntries(state.classifications),
        }]));
    }

    private runEvaluation(): void {
        const now = this.options.context.clock.getNow();
        if (now - this.lastEvaluatedAt > evaluationIntervalMs + tolerableLagMs) {
            this.statistics.setLaggingUntil(now + lagExclusionMs);
        }
        this.lastEvaluatedAt = now;
        this.evaluationCount += 1;
        const members = this.options.mesh.listMembers();
        this.followers.recordMembers(members, now);
        const running = members.filter(member => member.state === "running").map(member => member.instanceId);
        const runningKey = running.join();
        const haveMembersChanged = runningKey !== this.runningMembersKey;
        this.runningMembersKey = runningKey;
        for (const servicePool of this.options.pool.listServicePools()) {
            this.checkPool(servicePool, running, haveMembersChanged, now);
        }
        this.followers.publishFollowedDeciders(Object.fromEntries([...this.services].map(([service, state]) => [service, state.decider])));
    }

    private checkPool(servicePool: pool.ServicePool, running: readonly string[], haveMembersChanged: boolean, now: number): void {
        const state = this.getState(servicePool.name);
        const self = this.options.context.identity.instanceId;
        if (haveMembersChanged || state.decider === "") {
            this.setDecider(servicePool.name, state, this.isShared() ? chooseDecider(servicePool.name, running) ?? self : self, now);
        }
        if (this.options.context.settings.detection !== "consecutive") {
            this.setAvoidance(servicePool, now);
        }
        this.sendReport(servicePool, state, now);
        if (this.isDecidedHere(state)) {
            this.decidePhases(servicePool, state, now);
        }
        publishedPhases.applyPublishedPhases(servicePool.upstreams, this.getPhases(servicePool.name, state), this.options.context.identity.instanceId, now);
    }

    /** Makes this instance prefer other upstreams while it observes failures of one. Unlike an ejection, this removes no capacity. */
    private setAvoidance(servicePool: pool.ServicePool, now: number): void {
        servicePool.upstreams.forEach(upstream => upstream.setAvoidedUntil(this.statistics.getAvoidedUntil(upstream, now)));
    }

    private sendReport(servicePool: pool.ServicePool, state: ServiceState, now: number): void {
        const entries = servicePool.upstreams.flatMap(upstream => this.statistics.getStatistics(upstream, now) ?? []);
        const isUrgent = entries.some(entry => entry.bad + entry.overdue > 0);
        if (!isUrgent && this.evaluationCount % evaluationsPerIdleReport !== 0) {
            return;
        }
        const { instanceId } = this.options.context.identity;
        if (this.isDecidedHere(state)) {
            state.reports.set(instanceId, { receivedAt: now, entries });
            return;
        }
        if (entries.length > 0) {
            this.options.mesh.sendNotices([state.decider], reportTopic, { services: { [servicePool.name]: entries } });
        }
    }

    private receiveReport(origin: string, body: unknown): void {
        const report = reportSchema.safeParse(body);
        const now = this.options.context.clock.getNow();
        for (const [service, entries] of Object.entries(report.data?.services ?? {})) {
            this.getState(service).reports.set(origin, { receivedAt: now, entries });
        }
    }

    private decidePhases(servicePool: pool.ServicePool, state: ServiceState, now: number): void {
        const { mesh, context: { logger } } = this.options;
        const members = mesh.listMembers().filter(member => member.state !== "suspect");
        const domains = new Map(members.map(member => [member.instanceId, member.failureDomain]));
        const reports = [...state.reports]
            .filter(([instanceId, report]) => now - report.receivedAt <= reportLifetimeMs && domains.has(instanceId))
            .map(([instanceId, report]) => ({ instanceId, failureDomain: domains.get(instanceId)!, entries: report.entries.map(entry => addAge(entry, now - report.receivedAt)) }));
        state.classifications = this.options.context.settings.detection === "consecutive"
            ? classification.classifyByConsecutiveErrors(reports.flatMap(report => report.entries))
            : classification.classifyUpstreams({
                reports,
                requiredInstances: Math.min(2, this.followers.countKnownInstances()),
                requiredDomains: this.isShared() ? Math.min(2, new Set(domains.values()).size) : 1,
            });
        const changes = state.ejections.decidePhases({
            now,
            classifications: state.classifications,
            live: servicePool.upstreams.filter(upstream => !upstream.isLeaving(now)).map(upstream => upstream.getId()),
            floor: servicePool.definition.floor,
            followers: this.followers.listFollowers(servicePool.name, now),
            knownInstances: this.followers.countKnownInstances(),
        });
        for (const { upstream, change, reason } of changes) {
            logger.writeWarning(`upstream-${change}`, `${servicePool.name}/${upstream} entered phase ${change}: ${reason}`, { service: servicePool.name, upstream, reason });
            if (change === "ejected") {
                this.ejectionCounter.inc({ service: servicePool.name });
            }
        }
        this.publishPhases(servicePool.name, state, now);
    }

    private publishPhases(service: string, state: ServiceState, now: number): void {
        const current = publishedPhases.createPublishedPhases(state.ejections, now);
        const comparable = JSON.stringify(current.map(({ upstream, phase, assignedTo, recurrence }) => ({ upstream, phase, assignedTo, recurrence })));
        if (comparable !== state.publishedText) {
            state.publishedText = comparable;
            this.options.mesh.setRegister(`${phasesTopicPrefix}${service}`, { verdicts: current });
        }
    }

    private setDecider(service: string, state: ServiceState, decider: string, now: number): void {
        if (decider === state.decider) {
            return;
        }
        const { instanceId } = this.options.context.identity;
        const inherited = this.getPhases(service, state);
        state.decider = decider;
        state.reports.clear();
        this.followers.removeFollowers(service);
        state.ejections.removeAll();
        if (decider === instanceId) {
            inherited.forEach(published => state.ejections.setPhase(published.upstream, publishedPhases.createPhase(published, now), published.recurrence, now));
            return;
        }
        if (state.publishedText !== "") {
            state.publishedText = "";
            this.options.mesh.setRegister(`${phasesTopicPrefix}${service}`, { verdicts: [] });
        }
    }

    /** Returns the phases published by the decider that this instance follows. */
    private getPhases(service: string, state: ServiceState): readonly publishedPhases.PublishedPhase[] {
        const { mesh, context: { identity, clock } } = this.options;
        if (state.decider === identity.instanceId) {
            return publishedPhases.createPublishedPhases(state.ejections, clock.getNow());
        }
        const body = mesh.getRegisters(`${phasesTopicPrefix}${service}`).get(state.decider);
        return parsePublishedPhases(body)?.verdicts ?? [];
    }

    private getRemainingEjections(service: string, state: ServiceState): number {
        const servicePool = this.options.pool.getServicePool(service);
        if (servicePool === undefined || !this.isDecidedHere(state)) {
            return 0;
        }
        const now = this.options.context.clock.getNow();
        const live = servicePool.upstreams.filter(upstream => !upstream.isLeaving(now)).length;
        const followers = this.followers.listFollowers(service, now).length;
        return ejections.computeEjectionBudget(live, servicePool.definition.floor, followers, this.followers.countKnownInstances()) - state.ejections.countOutOfRotation();
    }

    private isDecidedHere(state: ServiceState): boolean {
        return state.decider === this.options.context.identity.instanceId;
    }

    private isShared(): boolean {
        return this.options.context.settings.detection === "shared";
    }

    private getState(service: string): ServiceState {
        const state = this.services.get(service) ?? { ejections: new ejections.Ejections(), reports: new Map(), classifications: new Map(), decider: "", publishedText: "" };
        this.services.set(service, state);
        return state;
    }
}

/** Chooses the instance that decides for a service, by rendezvous hashing over the running instances. */
function chooseDecider(service: string, running: readonly string[]): string | undefined {
    const scored = running.map(instanceId => ({ instanceId, score: randomness.computeRendezvousScore(`decider:${service}`, instanceId) }));
    return scored.sort((a, b) => b.score - a.score)[0]?.instanceId;
}

/** Adds the time since a report was received to the ages in it. */
function addAge(entry: attemptStatistics.UpstreamStatistics, ageMs: number): attemptStatistics.UpstreamStatistics {
    return { ...entry, okAgeMs: entry.okAgeMs + ageMs, newestBadMs: entry.streak === 0 ? 0 : entry.newestBadMs + ageMs };
}
