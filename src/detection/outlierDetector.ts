/** Detects upstreams that fail real work: shares evidence, decides in one place for each service, applies the verdicts. */

import * as promClient from "prom-client";
import { z } from "zod";
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

/** Milliseconds between two looks at the evidence. */
const lookIntervalMs = 100;
/** A look that comes later than this shows that the instance itself is slow, in milliseconds. */
const tolerableLagMs = 100;
/** How long what goes wrong is then not held against upstreams, in milliseconds. */
const lagMemoryMs = 500;
/** Looks between two reports while nothing is wrong. */
const looksPerQuietReport = 5;
/** A report older than this is left out, in milliseconds. */
const reportLifeMs = 1_500;
const reportTopic = "evidence";
const verdictTopicPrefix = "verdicts:";

const reportSchema = z.strictObject({ services: z.record(z.string(), z.array(attemptStatistics.upstreamStatisticsSchema).max(10_000)) });
const parseVerdicts = cachedParser.createCachedParser(publishedPhases.publishedPhasesSchema);

interface ReceivedReport {
    readonly receivedAt: number;
    readonly entries: readonly attemptStatistics.UpstreamStatistics[];
}

interface ServiceState {
    readonly ejections: ejections.Ejections;
    readonly reports: Map<string, ReceivedReport>;
    judgements: ReadonlyMap<string, classification.Classification>;
    decider: string;
    published: string;
}

/** Options of detection. */
export interface CreateOutlierDetectorOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly mesh: peers.Mesh;
}

/** Detection at one instance. */
export class OutlierDetector {
    private readonly evidence: attemptStatistics.AttemptStatistics;
    private readonly services = new Map<string, ServiceState>();
    private readonly followers: followers.Followers;
    private readonly ejectionCounter: promClient.Counter<"service">;
    private look = 0;
    private lookedAt = Infinity;
    private runningText = "";

    constructor(private readonly options: CreateOutlierDetectorOptions) {
        const { pool: upstreamPool, mesh, context: shared } = options;
        this.followers = new followers.Followers(options);
        this.evidence = new attemptStatistics.AttemptStatistics({
            getMedianLatencyMs: (service, route) => upstreamPool.latencies.getQuantile(service, route, 0.5),
            getMinimumStallMs: service => upstreamPool.getServicePool(service)?.definition.minimumStallMs ?? 0,
        });
        upstreamPool.addObserver({ onEnd: (target, attempt, outcome, now) => this.evidence.recordEnd(target, attempt, outcome, now) });
        mesh.setNoticeHandler(reportTopic, (origin, body) => this.receiveReport(origin, body));
        this.ejectionCounter = new promClient.Counter({ name: "agatebend_ejections_total", help: "Ejections decided by this instance.", labelNames: ["service"], registers: [shared.metrics] });
    }

    /** Begins to look at the evidence. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(lookIntervalMs, () => this.runLook());
    }

    /** Returns the judgements and phases for the dump. */
    getDump(): unknown {
        return Object.fromEntries([...this.services].map(([service, state]) => [service, {
            decider: state.decider,
            isDecidedHere: this.isDecidedHere(state),
            followers: this.followers.listFollowers(service, this.options.context.clock.getNow()).length,
            remainingEjections: this.getRemainingEjections(service, state),
            phases: this.getVerdicts(service, state),
            judgements: Object.fromEntries(state.judgements),
        }]));
    }

    private runLook(): void {
        const now = this.options.context.clock.getNow();
        if (now - this.lookedAt > lookIntervalMs + tolerableLagMs) {
            this.evidence.setLaggingUntil(now + lagMemoryMs);
        }
        this.lookedAt = now;
        this.look += 1;
        const members = this.options.mesh.listMembers();
        this.followers.recordMembers(members, now);
        const running = members.filter(member => member.state === "running").map(member => member.instanceId);
        const runningText = running.join();
        const haveMembersChanged = runningText !== this.runningText;
        this.runningText = runningText;
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
            this.decide(servicePool, state, now);
        }
        publishedPhases.applyPublishedPhases(servicePool.upstreams, this.getVerdicts(servicePool.name, state), this.options.context.identity.instanceId, now);
    }

    /** Prefers other upstreams where this instance itself sees one go wrong; this takes no capacity away. */
    private setAvoidance(servicePool: pool.ServicePool, now: number): void {
        servicePool.upstreams.forEach(target => target.setAvoidedUntil(this.evidence.getAvoidedUntil(target, now)));
    }

    private sendReport(servicePool: pool.ServicePool, state: ServiceState, now: number): void {
        const entries = servicePool.upstreams.flatMap(target => this.evidence.getStatistics(target, now) ?? []);
        const isUrgent = entries.some(entry => entry.bad + entry.overdue > 0);
        if (!isUrgent && this.look % looksPerQuietReport !== 0) {
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

    private decide(servicePool: pool.ServicePool, state: ServiceState, now: number): void {
        const { mesh, context: { logger } } = this.options;
        const members = mesh.listMembers().filter(member => member.state !== "suspect");
        const domains = new Map(members.map(member => [member.instanceId, member.failureDomain]));
        const reports = [...state.reports]
            .filter(([instanceId, report]) => now - report.receivedAt <= reportLifeMs && domains.has(instanceId))
            .map(([instanceId, report]) => ({ instanceId, failureDomain: domains.get(instanceId)!, entries: report.entries.map(entry => addAge(entry, now - report.receivedAt)) }));
        state.judgements = this.options.context.settings.detection === "consecutive"
            ? classification.classifyByConsecutiveErrors(reports.flatMap(report => report.entries))
            : classification.classifyUpstreams({
                reports,
                requiredInstances: Math.min(2, this.followers.countKnownInstances()),
                requiredDomains: this.isShared() ? Math.min(2, new Set(domains.values()).size) : 1,
            });
        const changes = state.ejections.decidePhases({
            now,
            classifications: state.judgements,
            live: servicePool.upstreams.filter(target => !target.isLeaving(now)).map(target => target.getId()),
            floor: servicePool.definition.floor,
            followers: this.followers.listFollowers(servicePool.name, now),
            knownInstances: this.followers.countKnownInstances(),
        });
        for (const { upstream, change, reason } of changes) {
            logger.writeWarning(`upstream-${change}`, `${servicePool.name}/${upstream} is ${change}: ${reason}`, { service: servicePool.name, upstream, reason });
            if (change === "ejected") {
                this.ejectionCounter.inc({ service: servicePool.name });
            }
        }
        this.publishVerdicts(servicePool.name, state, now);
    }

    private publishVerdicts(service: string, state: ServiceState, now: number): void {
        const current = publishedPhases.createPublishedPhases(state.ejections, now);
        const comparable = JSON.stringify(current.map(({ upstream, phase, assignedTo, recurrence }) => ({ upstream, phase, assignedTo, recurrence })));
        if (comparable !== state.published) {
            state.published = comparable;
            this.options.mesh.setRegister(`${verdictTopicPrefix}${service}`, { verdicts: current });
        }
    }

    private setDecider(service: string, state: ServiceState, decider: string, now: number): void {
        if (decider === state.decider) {
            return;
        }
        const { instanceId } = this.options.context.identity;
        const inherited = this.getVerdicts(service, state);
        state.decider = decider;
        state.reports.clear();
        this.followers.removeFollowers(service);
        state.ejections.removeAll();
        if (decider === instanceId) {
            inherited.forEach(verdict => state.ejections.setPhase(verdict.upstream, publishedPhases.createPhase(verdict, now), verdict.recurrence, now));
            return;
        }
        if (state.published !== "") {
            state.published = "";
            this.options.mesh.setRegister(`${verdictTopicPrefix}${service}`, { verdicts: [] });
        }
    }

    /** Returns the verdicts of the decider that this instance follows. */
    private getVerdicts(service: string, state: ServiceState): readonly publishedPhases.PublishedPhase[] {
        const { mesh, context: { identity, clock } } = this.options;
        if (state.decider === identity.instanceId) {
            return publishedPhases.createPublishedPhases(state.ejections, clock.getNow());
        }
        const body = mesh.getRegisters(`${verdictTopicPrefix}${service}`).get(state.decider);
        return parseVerdicts(body)?.verdicts ?? [];
    }

    private getRemainingEjections(service: string, state: ServiceState): number {
        const servicePool = this.options.pool.getServicePool(service);
        if (servicePool === undefined || !this.isDecidedHere(state)) {
            return 0;
        }
        const now = this.options.context.clock.getNow();
        const live = servicePool.upstreams.filter(target => !target.isLeaving(now)).length;
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
        const known = this.services.get(service) ?? { ejections: new ejections.Ejections(), reports: new Map(), judgements: new Map(), decider: "", published: "" };
        this.services.set(service, known);
        return known;
    }
}

/** Chooses the instance that decides for a service: the one with the highest rendezvous score. */
function chooseDecider(service: string, running: readonly string[]): string | undefined {
    const scored = running.map(instanceId => ({ instanceId, score: randomness.computeRendezvousScore(`decider:${service}`, instanceId) }));
    return scored.sort((a, b) => b.score - a.score)[0]?.instanceId;
}

/** Moves a report's ages on by the time since it came. */
function addAge(entry: attemptStatistics.UpstreamStatistics, ageMs: number): attemptStatistics.UpstreamStatistics {
    return { ...entry, okAgeMs: entry.okAgeMs + ageMs, newestBadMs: entry.streak === 0 ? 0 : entry.newestBadMs + ageMs };
}
