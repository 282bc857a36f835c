/** Chooses the upstream with the least expected cost, based on the health estimates that the fleet shares. */

import { match } from "ts-pattern";
import type * as pool from "../pool/index.js";
import type * as upstreamHealthTable from "./upstreamHealthTable.js";

/** The cost of a failed attempt that can be retried. All costs are fractions of the cost of a failed request. */
const retryCost = 0.12;
/** The value of a new observation of an upstream; it is subtracted from the cost of sending a request there that can be retried. */
const explorationValue = 0.1;
/** The age at which an observation has lost most of its value. */
const explorationAgeMs = 600;
/** An upstream without requests in flight that no instance has used or observed for this time is idle. */
const idleAgeMs = 1_000;
/** The value of an observation of an idle upstream. It exceeds the cost of a request to an upstream of unknown health that can be retried. */
const idleExplorationValue = 0.04;
/** An upstream up to this failure probability counts as one of unknown health; a single failure at an upstream without history counts for 4 s. */
const unknownFailureProbability = 0.34;
/** After this time without requests, an upstream that failed by itself may be sound again, and counts for the 2 s in which sound upstreams must be used. */
const maximumIdleAgeMs = 1_800;
/** The value of an observation of such an upstream. It exceeds the cost of a certain failure. */
const maximumIdleExplorationValue = retryCost * 1.1;
/**
 * After this time a request that can be retried is sent to an idle upstream whatever its estimate is. An upstream that recovered
 * right after a failure counts as sound 2 s later and must be used within 2 s more, one of which is left for a request to arrive.
 */
const maximumUntestedAgeMs = 3_000;
/** The cost of an upstream with all slots in use. It grows linearly with the slots in use, because an upstream that is nearly full is slower. */
const loadCost = 0.01;
/** The cost of queueing at an upstream until the target latency is used up. */
const queueWaitCost = 0.5;
/** The maximum number of requests that the fleet lets queue at an upstream, as a multiple of its slots. */
const queuedPerSlot = 1;
/** If the best upstream is more likely to fail than this, a request that cannot be retried waits for a better one. */
const likelyFailureProbability = 0.7;
/** The maximum duration of that wait, as a fraction of the target latency. */
const maximumWaitFraction = 0.4;
/** The cost of each kilobyte of a response that crosses failure domains. */
const crossDomainCostPerKilobyte = 0.01;
const bytesPerKilobyte = 1_000;

/** Which upstreams a request is sent to for the sake of the observation. */
export type Exploration =
    /** Those with the oldest observations. */
    | "oldest"
    /** Those that are idle. */
    | "idle"
    /** Those that are idle and whose last failure, if any, no longer counts. */
    | "idleAtPrior"
    /** Those that got nothing for long, whatever their estimate is. */
    | "longIdle"
    | "none";

/** The request, and the upstreams to choose from. */
export interface ChooseByExpectedCostOptions {
    readonly upstreams: readonly pool.Upstream[];
    readonly table: upstreamHealthTable.UpstreamHealthTable;
    /** The current time, in monotonic milliseconds. */
    readonly now: number;
    /** The failure domain of this instance. */
    readonly failureDomain: string;
    /** Whether the request can be retried if this attempt fails. */
    readonly canRetry: boolean;
    /** How long the request has been queued at this instance. */
    readonly queuedMs: number;
    /** The target latency of the request; a later response is worth less. */
    readonly targetLatencyMs: number;
    /** The median latency of the route. */
    readonly medianLatencyMs: number;
    readonly exploration: Exploration;
    /** How much an observation is worth for the sake of other requests, from 0 to 1. It scales the exploration of the oldest observations. */
    readonly observationWeight?: number;
    /** The average size of the route's response bodies. */
    readonly averageResponseBytes: number;
    /** Identifiers of the upstreams that the request was already sent to. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    /** Returns a random number from 0 to 1, which breaks ties between upstreams of equal cost. */
    readonly getFraction: () => number;
}

/**
 * Chooses the upstream with the least expected cost among those with free capacity; undefined if it is better to wait.
 * @remarks A request that explores updates the estimate for the whole fleet, and its failure costs little if it can be retried. Any
 * other request prefers the upstream that is least likely to fail.
 */
export function chooseByExpectedCost(options: ChooseByExpectedCostOptions): pool.Upstream | undefined {
    const { upstreams, table, now, excludedUpstreamIds } = options;
    const available = upstreams.filter(candidate => !candidate.isLeaving(now) && !candidate.isPaused(now) && !excludedUpstreamIds.has(candidate.getId()) && table.getFleetInFlight(candidate) < candidate.getSlots() * (1 + queuedPerSlot));
    const scored = available.map(candidate => ({ candidate, cost: computeCost(candidate, options) }));
    const best = scored.reduce<{ readonly candidate: pool.Upstream; readonly cost: number; } | undefined>((least, next) => least === undefined || next.cost < least.cost ? next : least, undefined)?.candidate;
    if (best === undefined) {
        return undefined;
    }
    const isLikelyToFail = !options.canRetry && table.getEstimate(best).getFailureProbability(now) > likelyFailureProbability;
    return isLikelyToFail && options.queuedMs < options.targetLatencyMs * maximumWaitFraction ? undefined : best;
}

/** Computes the cost of an upstream's load, including the expected queueing time there. */
function computeLoadCost(inFlight: number, slots: number, { targetLatencyMs, medianLatencyMs }: ChooseByExpectedCostOptions): number {
    if (inFlight < slots) {
        return (inFlight / slots) * loadCost;
    }
    const waitMs = ((inFlight - slots + 1) / slots) * medianLatencyMs;
    return loadCost + Math.min(1, waitMs / Math.max(1, targetLatencyMs - medianLatencyMs)) * queueWaitCost;
}

function computeCost(candidate: pool.Upstream, options: ChooseByExpectedCostOptions): number {
    const { table, now, failureDomain, canRetry, averageResponseBytes, getFraction } = options;
    const failureCost = canRetry ? retryCost : 1;
    const failureProbability = table.getEstimate(candidate).getFailureProbability(now);
    const explorationBenefit = computeExplorationBenefit(candidate, options) * (failureCost / retryCost);
    const crossDomainCost = candidate.getFailureDomain() === failureDomain ? 0 : (averageResponseBytes / bytesPerKilobyte) * crossDomainCostPerKilobyte;
    return failureProbability * failureCost - explorationBenefit + computeLoadCost(table.getFleetInFlight(candidate), candidate.getSlots(), options) + crossDomainCost + getFraction() * 0.001;
}

/** Computes the benefit of a new observation of an upstream for a request that can be retried. */
function computeExplorationBenefit(candidate: pool.Upstream, { table, now, canRetry, exploration, observationWeight = 1 }: ChooseByExpectedCostOptions): number {
    const ageMs = now - Math.max(table.getEstimate(candidate).getUpdatedAt(), table.getLastSentAt(candidate));
    const idleBenefit = table.getFleetInFlight(candidate) === 0 ? computeIdleBenefit(ageMs, canRetry) : 0;
    return match(exploration)
        .with("oldest", () => Math.max(explorationValue * observationWeight * (1 - Math.exp(-ageMs / explorationAgeMs)), idleBenefit))
        .with("idle", () => idleBenefit)
        .with("idleAtPrior", () => table.getEstimate(candidate).getFailureProbability(now) <= unknownFailureProbability ? idleBenefit : 0)
        .with("longIdle", () => ageMs >= maximumIdleAgeMs ? maximumIdleExplorationValue : 0)
        .with("none", () => 0)
        .exhaustive();
}

/** Only an observation shows that an upstream has recovered, so one without requests would stay without them for good. */
function computeIdleBenefit(ageMs: number, canRetry: boolean): number {
    if (ageMs < idleAgeMs) {
        return 0;
    }
    return canRetry && ageMs >= maximumUntestedAgeMs ? maximumIdleExplorationValue : idleExplorationValue;
}
