/** Queues requests until their service has a free slot, with one scheduler per service. */

import { err, type Result } from "neverthrow";
import * as promClient from "prom-client";
import * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as pool from "../pool/index.js";
import * as scheduler from "./scheduler.js";
import type * as shedControl from "./shedControl.js";
import * as workspaces from "../workspaces/index.js";
import type * as types from "./types.js";

const queueTimeBucketsSeconds = [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];
const millisecondsPerSecond = 1_000;

/** Options of `Admission`. */
export interface CreateAdmissionOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    readonly configuration: configuration.ConfigurationService;
    readonly slotAllocator: types.SlotAllocator;
    readonly chooseUpstream: types.ChooseUpstream;
    readonly formatUpstreamSummary: types.FormatUpstreamSummary;
    readonly shedControl: shedControl.ShedControl;
    readonly getUpstreamLoad: types.GetUpstreamLoad;
}

/** Keeps one scheduler per configured service and routes slot requests to it. */
export class Admission {
    private readonly schedulers = new Map<string, scheduler.Scheduler>();
    private readonly queueTimes: promClient.Histogram<"service" | "rank">;
    private readonly refusals: promClient.Counter<"service" | "rank" | "reason">;
    private ranksJson = "";

    constructor(private readonly options: CreateAdmissionOptions) {
        this.queueTimes = new promClient.Histogram({
            name: "agatebend_queue_seconds",
            help: "Time that attempts waited for a slot, by service and rank.",
            labelNames: ["service", "rank"],
            buckets: queueTimeBucketsSeconds,
            registers: [options.context.metrics],
        });
        this.refusals = new promClient.Counter({
            name: "agatebend_admission_refusals_total",
            help: "Requests refused before an attempt or a further attempt, by service, rank and reason.",
            labelNames: ["service", "rank", "reason"],
            registers: [options.context.metrics],
        });
        options.configuration.addListener(current => this.setConfiguration(current));
        options.pool.addChangeListener(() => this.schedulers.forEach(serviceScheduler => serviceScheduler.dispatch()));
        const gauge: promClient.Gauge<"service" | "rank"> = new promClient.Gauge({
            name: "agatebend_queued",
            help: "Requests that wait for a slot.",
            labelNames: ["service", "rank"],
            registers: [options.context.metrics],
            collect: () => {
                gauge.reset();
                this.schedulers.forEach((serviceScheduler, service) => serviceScheduler.getDemand().forEach(({ rank, queued }) => gauge.set({ service, rank }, queued)));
            },
        });
    }

    /** Waits for a slot at an upstream of the request's service. An error means that no attempt was made. */
    acquireSlot(request: types.SlotRequest): Promise<Result<types.Slot, errors.FleetError>> {
        const serviceScheduler = this.schedulers.get(request.service);
        const withdrawnKeyError = workspaces.getWithdrawnKeyError(this.options.configuration.getCurrent(), request);
        if (withdrawnKeyError !== undefined) {
            return Promise.resolve(err(withdrawnKeyError));
        }
        const limitError = this.options.shedControl.getLimitError(request);
        if (limitError !== undefined) {
            this.recordRefusal(request.service, request.rankIndex, "shedLimit");
            return Promise.resolve(err(limitError));
        }
        // The request's route may go to another service by now.
        return serviceScheduler?.acquireSlot(request) ?? Promise.resolve(err(errors.createError("overloaded", `the service ${request.service} is no longer configured`)));
    }

    /** Returns whether requests to the service are limited because it sheds. */
    isLimited(service: string): boolean {
        return this.options.shedControl.isLimited(service);
    }

    /**
     * Creates the error of a request that upstreams have shed and that is not sent again.
     * @param message - Why the upstream shed it.
     */
    createShedError({ service, rankIndex }: Pick<types.SlotRequest, "service" | "rankIndex">, message: string): errors.FleetError {
        this.recordRefusal(service, rankIndex, "shed");
        const retryAfterMs = this.options.shedControl.computeRetryAfterMs(service);
        return { ...errors.createError("overloaded", message), ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
    }

    /** Acquires a slot that is free now, without queueing; undefined if there is none, or if other requests wait. */
    acquireFreeSlot(request: types.SlotRequest): types.Slot | undefined {
        const isKeyWithdrawn = workspaces.getWithdrawnKeyError(this.options.configuration.getCurrent(), request) !== undefined;
        return isKeyWithdrawn ? undefined : this.schedulers.get(request.service)?.acquireFreeSlot(request);
    }

    /** Returns the share of a service's slots that are in use, from 0 to 1; 1 if it has none. */
    getUtilization(service: string): number {
        return this.schedulers.get(service)?.getUtilization() ?? 1;
    }

    /** Rejects every queued request; those that hold a slot go on. */
    rejectAllQueued(error: errors.FleetError): void {
        this.schedulers.forEach(serviceScheduler => serviceScheduler.rejectQueued(() => error));
    }

    /** Returns the queued and in-flight requests of this instance by service and rank. */
    getDemand(): ReadonlyMap<string, readonly types.RankDemand[]> {
        return new Map([...this.schedulers].map(([service, serviceScheduler]) => [service, serviceScheduler.getDemand()]));
    }

    /** Returns the number of queued requests of all services. */
    getQueuedCount(): number {
        return [...this.getDemand().values()].flat().reduce((sum, { queued }) => sum + queued, 0);
    }

    /** Returns the state of every scheduler for the operators' dump. */
    getDump(): unknown {
        return Object.fromEntries([...this.schedulers].map(([service, serviceScheduler]) => [service, serviceScheduler.getDump()]));
    }

    private recordRefusal(service: string, rankIndex: number, reason: types.RefusalReason): void {
        const rank = this.options.configuration.getCurrent()?.document.ranks[rankIndex]?.name ?? String(rankIndex);
        this.refusals.inc({ service, rank, reason });
    }

    private setConfiguration(compiled: configuration.CompiledConfiguration): void {
        const { document, retiredFeatures } = compiled;
        const currentRanksJson = JSON.stringify(document.ranks);
        const haveRanksChanged = currentRanksJson !== this.ranksJson;
        this.ranksJson = currentRanksJson;
        for (const [service, serviceScheduler] of this.schedulers) {
            serviceScheduler.rejectQueued(request =>
                request.feature !== undefined && retiredFeatures.has(request.feature)
                    ? errors.createError("featureRetired", `the feature ${request.feature} was retired while the request waited`)
                    : workspaces.getWithdrawnKeyError(compiled, request)
            );
            if (!Object.hasOwn(document.services, service) || haveRanksChanged) {
                serviceScheduler.rejectQueued(() => errors.createError("overloaded", "the service's ranks changed while the request waited"));
                this.schedulers.delete(service);
                this.options.shedControl.removeService(service);
            }
        }
        for (const service of Object.keys(document.services)) {
            if (!this.schedulers.has(service)) {
                this.options.shedControl.setService(service, document.ranks.map(rank => rank.guaranteedShare));
                this.schedulers.set(
                    service,
                    new scheduler.Scheduler({
                        ...this.options,
                        service,
                        ranks: document.ranks,
                        recordQueueTime: (rank, queuedMs) => this.queueTimes.observe({ service, rank }, queuedMs / millisecondsPerSecond),
                        recordRefusal: (rankIndex, reason) => this.recordRefusal(service, rankIndex, reason),
                        isShedding: () => this.options.shedControl.isShedding(service),
                        hasFairShares: () => this.options.configuration.getCurrent()?.needsKeys ?? false,
                    }),
                );
            }
        }
    }
}

/** The service key of `Admission`. */
export const admissionKey = serviceRegistry.createServiceKey<Admission>("admission");
