/** Chooses an upstream by what the whole fleet has just seen of it. */

import type * as pool from "../pool/index.js";
import type * as upstreamHealthTable from "./upstreamHealthTable.js";

/** What a request that may be sent again loses where its first attempt fails, as a part of a whole failure. */
const repeatCost = 0.12;
/** What finding out is worth for a request that may be sent again, against a whole failure. */
const findingOutWorth = 0.1;
/** The age at which an outcome has lost most of its worth, in milliseconds. */
const findingOutAgeMs = 600;
/** What a slot's use costs against a whole failure: an upstream that is nearly full is slower. */
const loadCost = 0.01;
/** What it costs to wait at an upstream until the target latency is used up, against a whole failure. */
const waitCost = 0.5;
/** How many requests may wait at an upstream, as a multiple of its slots. */
const queuedPerSlot = 1;
/** An upstream that fails more surely than this gets a request that can't be repeated only when waiting has not helped. */
const hopelessFailing = 0.7;
/** The part of the target latency for which such a request waits for a better upstream. */
const patientPart = 0.4;
/** What an answer's kilobyte between failure domains costs against a whole failure. */
const crossDomainCostPerKilobyte = 0.003;
const bytesPerKilobyte = 1_000;

/** Options of a choice. */
export interface ChooseByExpectedCostOptions {
    readonly upstreams: readonly pool.Upstream[];
    readonly table: upstreamHealthTable.UpstreamHealthTable;
    readonly now: number;
    /** The instance's failure domain. */
    readonly failureDomain: string;
    /** Whether the request may be sent once more if this attempt fails. */
    readonly canRepeat: boolean;
    /** How long the request has waited here, in milliseconds. */
    readonly waitedMs: number;
    /** The time within which its answer is worth most, in milliseconds. */
    readonly targetMs: number;
    /** How long its route's requests usually take, in milliseconds. */
    readonly medianLatencyMs: number;
    /** Whether the service has requests that may not be repeated, for whose sake it is worth finding out. */
    readonly isExplorationUseful: boolean;
    /** The usual size of the route's answers, in bytes. */
    readonly averageResponseBytes: number;
    /** Identifiers of upstreams that the request has been at. */
    readonly excluded: ReadonlySet<string>;
    /** A number from 0 to 1 that tells equals apart. */
    readonly getFraction: () => number;
}

/**
 * Chooses the upstream with the least expected cost among those with room; undefined where it is better to wait.
 * @param options - The upstreams and the request.
 * @remarks A request that may be sent again goes where the evidence is oldest, since its failure costs little and tells
 * the fleet much; any other goes where failure is least likely.
 */
export function chooseByExpectedCost(options: ChooseByExpectedCostOptions): pool.Upstream | undefined {
    const { upstreams, table, now, excluded } = options;
    const open = upstreams.filter(candidate => !candidate.isLeaving(now) && !candidate.isPaused(now) && !excluded.has(candidate.getId()) && table.getFleetInFlight(candidate) < candidate.getSlots() * (1 + queuedPerSlot));
    const scored = open.map(candidate => ({ candidate, cost: computeCost(candidate, options) }));
    const best = scored.reduce<{ readonly candidate: pool.Upstream; readonly cost: number; } | undefined>((least, next) => least === undefined || next.cost < least.cost ? next : least, undefined)?.candidate;
    if (best === undefined) {
        return undefined;
    }
    const isHopeless = !options.canRepeat && table.getEstimate(best).getFailureProbability(now) > hopelessFailing;
    return isHopeless && options.waitedMs < options.targetMs * patientPart ? undefined : best;
}

/** Computes what the use of an upstream costs that works on so many requests, waiting there included. */
function computeLoadCost(inFlight: number, slots: number, { targetMs, medianLatencyMs: usualMs }: ChooseByExpectedCostOptions): number {
    if (inFlight < slots) {
        return (inFlight / slots) * loadCost;
    }
    const waitMs = ((inFlight - slots + 1) / slots) * usualMs;
    return loadCost + Math.min(1, waitMs / Math.max(1, targetMs - usualMs)) * waitCost;
}

function computeCost(candidate: pool.Upstream, options: ChooseByExpectedCostOptions): number {
    const { table, now, failureDomain, canRepeat, isExplorationUseful: isFindingOutWorthwhile, averageResponseBytes: answerBytes, getFraction } = options;
    const belief = table.getEstimate(candidate);
    const failing = belief.getFailureProbability(now);
    const distance = candidate.getFailureDomain() === failureDomain ? 0 : (answerBytes / bytesPerKilobyte) * crossDomainCostPerKilobyte;
    const shared = computeLoadCost(table.getFleetInFlight(candidate), candidate.getSlots(), options) + distance + getFraction() * 0.001;
    if (!canRepeat) {
        return failing + shared;
    }
    const ageMs = now - Math.max(belief.getUpdatedAt(), table.getLastSentAt(candidate));
    const finding = isFindingOutWorthwhile ? findingOutWorth * (1 - Math.exp(-ageMs / findingOutAgeMs)) : 0;
    return failing * repeatCost - finding + shared;
}
