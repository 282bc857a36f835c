/** Classifies the upstreams of a service as healthy, suspect or outlier, from the statistics of all instances. */

import type * as attemptStatistics from "./attemptStatistics.js";

/** The minimum fraction of bad attempts at which an upstream counts as failing. */
const minimumBadRatio = 0.4;
/** That fraction is used only with at least this many bad attempts. */
const minimumBadAttempts = 3;
/** The minimum number of bad attempts without a later success at which an upstream counts as stalled. */
const minimumStreak = 2;
/** The number of consecutive errors that makes an outlier if each instance counts errors by itself. */
const consecutiveErrorThreshold = 5;
/** An outlier that is not stalled has at least this multiple of the other upstreams' fraction of bad attempts. */
const outlierFactor = 2;
/** If more than this fraction of the active upstreams shows symptoms, the whole service is slow. */
const serviceWideFraction = 0.5;
/** The minimum number of attempts from a failure domain at which its own fraction of bad attempts counts. */
const minimumDomainAttempts = 3;
/** If a failure domain observes a smaller fraction of bad attempts than this, the upstream is not an outlier. */
const healthyDomainBadRatio = 0.2;

/** The statistics that one instance reports. */
export interface InstanceReport {
    readonly instanceId: string;
    readonly failureDomain: string;
    readonly entries: readonly attemptStatistics.UpstreamStatistics[];
}

/** The reports to classify from, and the required agreement. */
export interface ClassificationInput {
    readonly reports: readonly InstanceReport[];
    /** How many instances must have observed bad or overdue attempts: two, or one in a fleet of one instance. */
    readonly requiredInstances: number;
    /** How many failure domains must have observed bad or overdue attempts: two, or one in a fleet of one domain. */
    readonly requiredDomains: number;
}

/** The statistics of an upstream over all instances: sums of counts and minima of ages. */
export interface StatisticsSummary {
    readonly ok: number;
    readonly bad: number;
    readonly overdue: number;
    readonly streak: number;
    readonly newestBadMs: number;
    readonly okAgeMs: number;
}

/** The classification of an upstream. */
export type Classification =
    | { readonly kind: "healthy"; readonly summary: StatisticsSummary; }
    /** The upstream shows symptoms that do not justify an ejection. */
    | { readonly kind: "suspect"; readonly summary: StatisticsSummary; readonly reason: string; }
    | { readonly kind: "outlier"; readonly summary: StatisticsSummary; readonly reason: string; };

interface InstanceStatistics extends attemptStatistics.UpstreamStatistics {
    readonly instanceId: string;
    readonly failureDomain: string;
}

/** Classifies every upstream of a service that the reports contain. */
export function classifyUpstreams(input: ClassificationInput): ReadonlyMap<string, Classification> {
    const statisticsByUpstream = new Map<string, InstanceStatistics[]>();
    for (const { instanceId, failureDomain, entries } of input.reports) {
        for (const entry of entries) {
            const statistics = statisticsByUpstream.get(entry.upstream) ?? [];
            statistics.push({ ...entry, instanceId, failureDomain });
            statisticsByUpstream.set(entry.upstream, statistics);
        }
    }
    const summaries = new Map([...statisticsByUpstream].map(([upstream, statistics]) => [upstream, createSummary(statistics)]));
    const symptomatic = [...summaries.values()].filter(hasSymptoms).length;
    const isServiceWide = symptomatic > summaries.size * serviceWideFraction && summaries.size > 1;
    return new Map([...summaries].map(([upstream, summary]): [string, Classification] => {
        if (!hasSymptoms(summary)) {
            return [upstream, { kind: "healthy", summary }];
        }
        const suspectReason = getSuspectReason(upstream, summary, statisticsByUpstream.get(upstream)!, summaries, isServiceWide, input);
        return suspectReason === undefined
            ? [upstream, { kind: "outlier", summary, reason: formatSymptoms(summary) }]
            : [upstream, { kind: "suspect", summary, reason: `${formatSymptoms(summary)}; ${suspectReason}` }];
    }));
}

/**
 * Classifies by consecutive errors only, as proxies commonly do. This is the baseline for measurements.
 * @param entries - The statistics of this instance.
 */
export function classifyByConsecutiveErrors(entries: readonly attemptStatistics.UpstreamStatistics[]): ReadonlyMap<string, Classification> {
    return new Map(entries.map((entry): [string, Classification] => {
        const summary = createSummary([{ ...entry, instanceId: "", failureDomain: "" }]);
        const isOutlier = entry.streak - entry.overdue >= consecutiveErrorThreshold;
        return [entry.upstream, isOutlier ? { kind: "outlier", summary, reason: `${entry.streak} errors in a row` } : { kind: "healthy", summary }];
    }));
}

function createSummary(statistics: readonly InstanceStatistics[]): StatisticsSummary {
    const badAges = statistics.filter(entry => entry.streak > 0).map(entry => entry.newestBadMs);
    return {
        ok: statistics.reduce((sum, entry) => sum + entry.ok, 0),
        bad: statistics.reduce((sum, entry) => sum + entry.bad, 0),
        overdue: statistics.reduce((sum, entry) => sum + entry.overdue, 0),
        streak: statistics.reduce((sum, entry) => sum + entry.streak, 0),
        newestBadMs: badAges.length === 0 ? 0 : Math.min(...badAges),
        okAgeMs: Math.min(...statistics.map(entry => entry.okAgeMs)),
    };
}

/** Returns whether no attempt has succeeded since the newest bad attempt was sent. */
function isStalled(summary: StatisticsSummary): boolean {
    return summary.streak >= minimumStreak && summary.okAgeMs >= summary.newestBadMs;
}

function getBadRatio({ ok, bad, overdue }: Pick<StatisticsSummary, "ok" | "bad" | "overdue">): number {
    const total = ok + bad + overdue;
    return total === 0 ? 0 : (bad + overdue) / total;
}

function isFailing(summary: StatisticsSummary): boolean {
    return summary.bad + summary.overdue >= minimumBadAttempts && getBadRatio(summary) >= minimumBadRatio;
}

function hasSymptoms(summary: StatisticsSummary): boolean {
    return isStalled(summary) || isFailing(summary);
}

function formatSymptoms(summary: StatisticsSummary): string {
    const kind = isStalled(summary) ? "stalled" : "failing";
    return `${kind}: ${summary.overdue} overdue, ${summary.bad} bad, ${summary.ok} ok`;
}

/** Returns why an upstream with symptoms is not an outlier; undefined if it is one. */
function getSuspectReason(upstream: string, summary: StatisticsSummary, statistics: readonly InstanceStatistics[], summaries: ReadonlyMap<string, StatisticsSummary>, isServiceWide: boolean, input: ClassificationInput): string | undefined {
    if (isServiceWide) {
        return "most upstreams of the service show the same symptoms";
    }
    const reporters = statistics.filter(entry => entry.bad + entry.overdue > 0);
    if (new Set(reporters.map(entry => entry.instanceId)).size < input.requiredInstances) {
        return "observed by too few instances";
    }
    const domains = new Set(reporters.map(entry => entry.failureDomain));
    if (domains.size < input.requiredDomains) {
        return `observed only from the failure domain ${[...domains].join(", ")}`;
    }
    const healthyDomain = findHealthyDomain(statistics, isStalled(summary));
    if (healthyDomain !== undefined) {
        return `healthy as observed from the failure domain ${healthyDomain}`;
    }
    const others = [...summaries].filter(([id]) => id !== upstream).map(([, other]) => other);
    const rest = {
        ok: others.reduce((sum, other) => sum + other.ok, 0),
        bad: others.reduce((sum, other) => sum + other.bad, 0),
        overdue: others.reduce((sum, other) => sum + other.overdue, 0),
    };
    if (!isStalled(summary) && getBadRatio(rest) * outlierFactor > getBadRatio(summary)) {
        return "the other upstreams of the service are nearly as bad";
    }
    return undefined;
}

/** Finds a failure domain from which the upstream is healthy. In a stall there is none, because no domain has had a success since. */
function findHealthyDomain(statistics: readonly InstanceStatistics[], isStall: boolean): string | undefined {
    if (isStall) {
        return undefined;
    }
    const domains = [...new Set(statistics.map(entry => entry.failureDomain))];
    return domains.find(domain => {
        const own = createSummary(statistics.filter(entry => entry.failureDomain === domain));
        return own.ok + own.bad + own.overdue >= minimumDomainAttempts && getBadRatio(own) < healthyDomainBadRatio;
    });
}
