/** Applies the decisions about shedding services: whether a service sheds, and which requests are admitted while it does. */

import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";
import * as shedDetector from "./shedDetector.js";
import * as shedLimiter from "./shedLimiter.js";
import type * as types from "./types.js";

/** An upstream with a higher failure probability is suspected. */
const suspectProbability = 0.5;

/** Options of `ShedControl`. */
export interface CreateShedControlOptions {
    readonly context: context.Context;
    readonly pool: pool.Pool;
    /** Returns the probability that an upstream fails, as the fleet knows it; undefined if instances do not share it. */
    readonly getFailureProbability: (upstream: pool.Upstream, now: number) => number | undefined;
}

interface ServiceControl {
    readonly limiter: shedLimiter.ShedLimiter;
    readonly detector: shedDetector.ShedDetector;
}

/** One detector and one limiter for each service. Does nothing unless the setting `shed-limit` is `adaptive`. */
export class ShedControl {
    private readonly services = new Map<string, ServiceControl>();
    private readonly isEnabled: boolean;

    constructor(private readonly options: CreateShedControlOptions) {
        this.isEnabled = options.context.settings.shedLimit === "adaptive";
        options.pool.addObserver({
            onEnd: (upstream, _attempt, outcome, now) => {
                const isShed = match(outcome)
                    .with("shed", () => true)
                    .with("answered", "failed", "timedOut", () => false)
                    // Nothing was accepted or refused, or nobody waited to learn which.
                    .with("unreachable", "cancelled", "superseded", () => undefined)
                    .exhaustive();
                const control = this.services.get(upstream.service);
                if (isShed !== undefined && control !== undefined) {
                    control.detector.recordAttempt(upstream.getId(), isShed, now);
                    control.limiter.recordAttempt(upstream.getId(), isShed, now);
                }
            },
        });
        const gauge: promClient.Gauge<"service"> = new promClient.Gauge({
            name: "agatebend_shed_limit",
            help: "Requests per second that are admitted to a service that sheds as a whole; no value without such a limit.",
            labelNames: ["service"],
            registers: [options.context.metrics],
            collect: () => {
                gauge.reset();
                this.services.forEach(({ limiter }, service) => {
                    const limitPerS = limiter.getLimitPerS();
                    if (limitPerS !== undefined) {
                        gauge.set({ service }, limitPerS);
                    }
                });
            },
        });
    }

    /**
     * Starts to observe a service, and forgets what was observed before.
     * @param guaranteedShares - The guaranteed share of each rank, from 0 to 1, the most urgent rank first.
     */
    setService(service: string, guaranteedShares: readonly number[]): void {
        if (!this.isEnabled) {
            return;
        }
        const now = this.options.context.clock.getNow();
        const getSuspectShare = (at: number) => this.getSuspectShare(service, at);
        this.services.set(service, {
            detector: new shedDetector.ShedDetector(getSuspectShare, now),
            limiter: new shedLimiter.ShedLimiter({ guaranteedShares, getSuspectShare, onChange: change => this.writeChange(service, change) }, now),
        });
    }

    /** Forgets a service that is no longer configured. */
    removeService(service: string): void {
        this.services.delete(service);
    }

    /** Returns the error of a request that is refused because its service sheds; undefined if it is admitted. */
    getLimitError(request: types.SlotRequest): errors.FleetError | undefined {
        const limiter = this.services.get(request.service)?.limiter;
        const now = this.options.context.clock.getNow();
        if (request.isRetry) {
            limiter?.recordRetry(now);
            return undefined;
        }
        if (limiter === undefined || limiter.admitRequest(request.rankIndex, now)) {
            return undefined;
        }
        const limit = (limiter.getLimitPerS() ?? 0).toFixed(1);
        return { ...errors.createError("overloaded", `the service sheds, and this instance admits ${limit} requests per second to it`), retryAfterMs: this.computeRetryAfterMs(request.service) };
    }

    /** Returns whether requests to the service are limited because it sheds, and whether that has been found to be of use. */
    isLimited(service: string): boolean {
        return this.services.get(service)?.limiter.isProven() ?? false;
    }

    /** Returns whether several upstreams of a service shed, so that one that does is not merely full. */
    isShedding(service: string): boolean {
        return this.services.get(service)?.detector.isShedding(this.options.context.clock.getNow()) ?? false;
    }

    /** Computes the delay after which the caller of a shed request may come back, in milliseconds; undefined for the default. */
    computeRetryAfterMs(service: string): number | undefined {
        const { clock, randomness } = this.options.context;
        return this.services.get(service)?.limiter.computeRetryAfterMs(randomness.getFraction(), clock.getNow());
    }

    /** Returns which services shed, with their limits in requests per second, for the operators' dump. */
    getDump(): unknown {
        return Object.fromEntries([...this.services].filter(([service]) => this.isShedding(service)).map(([service, { limiter }]) => [service, { limitPerS: limiter.getLimitPerS() }]));
    }

    private getSuspectShare(service: string, now: number): number | undefined {
        const upstreams = (this.options.pool.getServicePool(service)?.upstreams ?? []).filter(upstream => !upstream.isLeaving(now));
        const probabilities = upstreams.map(upstream => this.options.getFailureProbability(upstream, now)).filter(probability => probability !== undefined);
        return probabilities.length === 0 ? undefined : probabilities.filter(probability => probability > suspectProbability).length / probabilities.length;
    }

    private writeChange(service: string, change: shedLimiter.LimiterChange): void {
        const { logger } = this.options.context;
        const values = {
            service,
            demandPerS: formatNumber(change.demandPerS),
            limitPerS: formatNumber(change.limitPerS),
            shedShare: formatNumber(change.shedShare),
            shedUpstreams: change.shedUpstreams,
            suspectShare: formatNumber(change.suspectShare),
        };
        match(change.kind)
            .with("closed", () => logger.writeWarning("shed-limit-closed", `the service ${service} sheds, so requests to it are limited`, values))
            .with("opened", () => logger.writeInfo("shed-limit-opened", `the service ${service} accepts requests again, and they are no longer limited`, values))
            .with("suspended", () => logger.writeInfo("shed-limit-suspended", `the service ${service} sheds as much with a limit as without, so requests to it are not limited for some seconds`, values))
            .exhaustive();
    }
}

function formatNumber(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value * 1_000) / 1_000;
}
