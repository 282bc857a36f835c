/** Decides which requests are sent to an upstream for the sake of the observation. Needs no network, timers or logs. */

import type * as configuration from "../configuration/index.js";
import type * as pool from "../pool/index.js";
import type * as chooseByExpectedCost from "./chooseByExpectedCost.js";
import * as failureShare from "./failureShare.js";
import * as requestMix from "./requestMix.js";

/** If a larger share of the recent attempts at a service failed, an idle upstream is no worse for a request that cannot be retried. */
const failingServiceShare = 0.1;
/** The same for orders. Half of the tenth of failing requests from which on the sound upstreams must be used, since the measure lags behind and refusals of other parts, such as quotas, do not count in it. */
const failingOrdersShare = 0.05;
/**
 * Of the orders of a failing service, one in this many tries an upstream that got nothing for long, whatever its estimate is.
 * With every order free to do so, 0.11 of the requests of a calm day failed in place of 0.04, since many such upstreams still fail.
 */
const ordersPerLongIdleTrial = 25;
/** Attempts of a cell are many enough to be averaged over a shorter time than those of one instance, within the 2 s in which idle upstreams must be used. */
const cellDecayTimeMs = 1_000;

/** A request that needs an upstream. */
export interface ExplorationQuery {
    readonly service: string;
    /** Whether the request may safely run twice, as configured for its route. */
    readonly isRepeatable: boolean;
    /** Whether this is a later attempt of the request. */
    readonly isRetry: boolean;
    /** Whether the request can be retried if this attempt fails. */
    readonly canRetry: boolean;
    /** The current time, in monotonic milliseconds. */
    readonly now: number;
}

/** Decides by the recent failures of a service and by its mix of requests. Times are in monotonic milliseconds. */
export class ExplorationPolicy {
    private readonly failureShare = new failureShare.FailureShare();
    /** The failures of all instances of the own cell. At a few requests a second, those of one instance are too few to tell. */
    private readonly cellFailureShare = new failureShare.FailureShare({ decayTimeMs: cellDecayTimeMs });
    /** Orders of failing services since the last one that tried an upstream which got nothing for long. */
    private readonly orderCounts = new Map<string, number>();
    private readonly requestMix = new requestMix.RequestMix();
    private nonRepeatableRoutes: ReadonlySet<string> = new Set();
    /** The services of routes whose requests are not repeatable. These requests depend on fresh observations of all upstreams. */
    private nonRepeatableServices: ReadonlySet<string> = new Set();

    /** Sets the routes of the active configuration. */
    setRoutes(routes: readonly configuration.RouteDefinition[]): void {
        const nonRepeatableRoutes = routes.filter(route => !route.repeatable);
        this.nonRepeatableRoutes = new Set(nonRepeatableRoutes.map(({ name }) => name));
        this.nonRepeatableServices = new Set(nonRepeatableRoutes.flatMap(route => [...route.service === undefined ? [] : [route.service], ...route.split.map(part => part.service)]));
    }

    /** Records that this instance began an attempt of a route. */
    recordStart(service: string, route: string, now: number): void {
        this.requestMix.recordAttempt(service, !this.nonRepeatableRoutes.has(route), now);
    }

    /** Records the end of an attempt of this instance. */
    recordEnd(service: string, outcome: pool.AttemptOutcome, now: number): void {
        this.failureShare.recordAttempt(service, outcome, now);
        this.cellFailureShare.recordAttempt(service, outcome, now);
    }

    /** Records outcomes of another instance of the own cell. */
    recordCellOutcomes(service: string, counts: { readonly failures: number; readonly successes: number; }, now: number): void {
        this.cellFailureShare.recordOutcomes(service, counts, now);
    }

    /** Chooses the upstreams that a request explores. */
    chooseExploration({ service, canRetry, isRepeatable, isRetry, now }: ExplorationQuery): chooseByExpectedCost.Exploration {
        if (canRetry) {
            return this.nonRepeatableServices.has(service) ? "oldest" : "idle";
        }
        if (isRetry) {
            return "none";
        }
        if (isRepeatable) {
            return this.failureShare.getShare(service, now) > failingServiceShare ? "idle" : "none";
        }
        return this.cellFailureShare.getShare(service, now) > failingOrdersShare ? this.chooseOrderExploration(service) : "none";
    }

    private chooseOrderExploration(service: string): chooseByExpectedCost.Exploration {
        const count = (this.orderCounts.get(service) ?? 0) + 1;
        const isTrial = count >= ordersPerLongIdleTrial;
        this.orderCounts.set(service, isTrial ? 0 : count);
        return isTrial ? "longIdle" : "idleAtPrior";
    }

    /**
     * Returns how much the observation of a request is worth to others, from 0 to 1. A request that explores risks its own retry,
     * which pays only if enough requests that cannot be retried profit.
     */
    getObservationWeight(service: string, now: number): number {
        return Math.min(1, this.requestMix.getRatio(service, now));
    }
}
