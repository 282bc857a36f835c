/**
 * Load pattern: most upstreams of a service shed for some seconds. Trying one after another then costs attempts and retries
 * and helps nobody, so an instance admits the rate that the service accepts, and refuses the rest at once.
 */

import { match } from "ts-pattern";
import * as decayedCount from "./decayedCount.js";
import * as rankTokens from "./rankTokens.js";
import * as shedRate from "./shedRate.js";

/** Attempts and sheds lose all but 1/e of their weight in this time. */
const decayTimeMs = 2_000;
/** The rate of requests is measured over this time. */
const demandTimeMs = 5_000;
/**
 * The limit takes effect at this weight and share of shed attempts, at this number of upstreams. The fleet's estimates of
 * upstreams are no reason for it: while a few upstreams accept, requests are sent to those.
 */
const minimumSheds = 5;
const minimumShedShare = 0.5;
const minimumShedUpstreams = 3;
/** The limit starts at the accepted part of the recent attempts, between these parts of the demand. */
const minimumInitialPart = 0.3;
const maximumInitialPart = 0.7;
/** The limit ends once it exceeds the demand by this factor. */
const openingFactor = 1.3;
/**
 * Shedding that goes on although less is sent does not depend on the rate, and a limit only serves fewer requests. It is
 * judged by a cumulative sum of log-likelihood ratios: whether the attempts under the limit look more like four in ten
 * being shed than like one in ten.
 */
const shedEvidence = Math.log(0.4 / 0.1);
const acceptedEvidence = Math.log(0.6 / 0.9);
/** Three sheds with up to two accepted attempts between them exceed it. */
const maximumEvidence = 3.3;
/** After this time, the limit ends unless that many attempts have shown that it is of use, and few upstreams are suspected. */
const trialMs = 1_200;
const minimumTrialAttempts = 4;
const maximumSuspectShare = 0.4;
/** Then there is no limit for this time. */
const suspensionMs = 8_000;
/** A refused caller comes back after a random time between the minimum and, at twice the limit, twice the spread. */
const minimumRetryAfterMs = 500;
const retryAfterSpreadMs = 1_000;
const maximumRetryAfterSpreadMs = 6_000;

/** Whether the limit is in effect. Times are monotonic milliseconds. */
type LimiterState =
    | { readonly kind: "open"; }
    | ClosedState
    /** A limit was of no use a short time ago. */
    | { readonly kind: "suspended"; readonly until: number; };

interface ClosedState {
    readonly kind: "closed";
    readonly rate: shedRate.ShedRate;
    readonly tokens: rankTokens.RankTokens;
    /** When it is judged whether the limit is of use; undefined if it was found to be. */
    trialUntil: number | undefined;
    /** The attempts that ended under the limit. */
    attempts: number;
    /** The evidence that the shedding does not depend on the rate, at least 0. */
    evidence: number;
}

/** A change of state, with what it was decided by. */
export interface LimiterChange {
    readonly kind: "closed" | "opened" | "suspended";
    /** The requests per second that arrive, and those that are admitted from now on if there is a limit. */
    readonly demandPerS: number;
    readonly limitPerS: number | undefined;
    /** The share of the recent attempts that was shed, and the number of upstreams that shed recently. */
    readonly shedShare: number;
    readonly shedUpstreams: number;
    /** The share of the upstreams that the fleet takes for failing; undefined if it is not known. */
    readonly suspectShare: number | undefined;
}

/** Options of `ShedLimiter`. */
export interface CreateShedLimiterOptions {
    /** The guaranteed share of each rank, from 0 to 1, the most urgent rank first. */
    readonly guaranteedShares: readonly number[];
    /** Returns the share of the service's upstreams that the fleet takes for failing; undefined if it is not known. */
    readonly getSuspectShare: (now: number) => number | undefined;
    readonly onChange: (change: LimiterChange) => void;
}

/** Decides for one service which requests are admitted while it sheds. Callers pass the time, in monotonic milliseconds. */
export class ShedLimiter {
    private state: LimiterState = { kind: "open" };
    private readonly demand: decayedCount.DecayedCount;
    private readonly attempts: decayedCount.DecayedCount;
    private readonly sheds: decayedCount.DecayedCount;
    /** When each upstream last shed. */
    private readonly shedTimes = new Map<string, number>();

    constructor(private readonly options: CreateShedLimiterOptions, now: number) {
        this.demand = new decayedCount.DecayedCount(demandTimeMs, now);
        this.attempts = new decayedCount.DecayedCount(decayTimeMs, now);
        this.sheds = new decayedCount.DecayedCount(decayTimeMs, now);
    }

    /** Returns whether a request that has not been sent yet is admitted. */
    admitRequest(rank: number, now: number): boolean {
        this.demand.add(now);
        const { state } = this;
        return match(state)
            .with({ kind: "open" }, { kind: "suspended" }, () => true)
            .with({ kind: "closed" }, closed => {
                if (closed.trialUntil !== undefined && now >= closed.trialUntil) {
                    const isUseful = closed.attempts >= minimumTrialAttempts && closed.evidence <= 0 && (this.options.getSuspectShare(now) ?? 0) < maximumSuspectShare;
                    if (!isUseful) {
                        this.stopLimit(now);
                        return true;
                    }
                    closed.trialUntil = undefined;
                }
                const ratePerS = closed.rate.getRatePerS();
                closed.rate.recordTime(now, this.options.getSuspectShare(now));
                if (ratePerS >= this.demand.getRatePerS(now) * openingFactor) {
                    this.setState({ kind: "open" }, "opened", now);
                    return true;
                }
                return closed.tokens.take(rank, ratePerS, now);
            })
            .exhaustive();
    }

    /** Records that a request is sent again, which counts against the limit. */
    recordRetry(now: number): void {
        if (this.state.kind === "closed" && this.isProven()) {
            this.state.tokens.takeUnconditionally(this.state.rate.getRatePerS(), now);
        }
    }

    /** Records that an upstream accepted or shed an attempt. */
    recordAttempt(upstreamId: string, isShed: boolean, now: number): void {
        this.attempts.add(now);
        if (isShed) {
            this.sheds.add(now);
            this.shedTimes.set(upstreamId, now);
        }
        const { state } = this;
        match(state)
            .with({ kind: "open" }, () => {
                if (isShed && this.isShedding(now)) {
                    this.startLimit(now);
                }
            })
            .with({ kind: "suspended" }, ({ until }) => {
                if (now >= until) {
                    this.state = { kind: "open" };
                }
            })
            .with({ kind: "closed" }, closed => {
                closed.attempts += 1;
                closed.evidence = Math.max(0, closed.evidence + (isShed ? shedEvidence : acceptedEvidence));
                if (isShed) {
                    closed.rate.recordShed();
                }
                else {
                    closed.rate.recordAccepted();
                }
                if (closed.evidence > maximumEvidence) {
                    this.stopLimit(now);
                }
            })
            .exhaustive();
    }

    /** Returns the requests per second that are admitted; undefined without a limit. */
    getLimitPerS(): number | undefined {
        return this.state.kind === "closed" ? this.state.rate.getRatePerS() : undefined;
    }

    /** Returns whether there is a limit that has been found to be of use. */
    isProven(): boolean {
        return this.state.kind === "closed" && this.state.trialUntil === undefined;
    }

    /**
     * Computes the delay after which a refused caller may come back, in milliseconds. The delays are spread over a time that
     * grows with the excess of the demand, so that the callers do not come back together.
     * @param fraction - A random number from 0 to 1.
     */
    computeRetryAfterMs(fraction: number, now: number): number {
        const excess = this.demand.getRatePerS(now) / (this.getLimitPerS() ?? Infinity);
        return Math.round(minimumRetryAfterMs + fraction * Math.min(maximumRetryAfterSpreadMs, retryAfterSpreadMs * Math.max(1, excess)));
    }

    private startLimit(now: number): void {
        const acceptedPart = Math.min(maximumInitialPart, Math.max(minimumInitialPart, 1 - this.getShedShare(now)));
        const rate = new shedRate.ShedRate(this.demand.getRatePerS(now) * acceptedPart, now);
        const tokens = new rankTokens.RankTokens(this.options.guaranteedShares, now);
        this.setState({ kind: "closed", rate, tokens, trialUntil: now + trialMs, attempts: 0, evidence: 0 }, "closed", now);
    }

    /** Ends the limit for some time, because the service sheds with it as well. */
    private stopLimit(now: number): void {
        this.setState({ kind: "suspended", until: now + suspensionMs }, "suspended", now);
    }

    /** Returns whether the service sheds as a whole, and not a few upstreams that are full. */
    private isShedding(now: number): boolean {
        return this.sheds.getWeight(now) >= minimumSheds && this.getShedShare(now) >= minimumShedShare && this.countShedUpstreams(now) >= minimumShedUpstreams;
    }

    private getShedShare(now: number): number {
        const attempts = this.attempts.getWeight(now);
        return attempts === 0 ? 0 : this.sheds.getWeight(now) / attempts;
    }

    private countShedUpstreams(now: number): number {
        this.shedTimes.forEach((shedAt, upstreamId) => {
            if (now - shedAt > decayTimeMs) {
                this.shedTimes.delete(upstreamId);
            }
        });
        return this.shedTimes.size;
    }

    private setState(state: LimiterState, change: LimiterChange["kind"], now: number): void {
        this.state = state;
        this.options.onChange({
            kind: change,
            demandPerS: this.demand.getRatePerS(now),
            limitPerS: this.getLimitPerS(),
            shedShare: this.getShedShare(now),
            shedUpstreams: this.countShedUpstreams(now),
            suspectShare: this.options.getSuspectShare(now),
        });
    }
}
