/** Judges the upstreams of a service by the evidence of all instances. */

import type * as attemptStatistics from "./attemptStatistics.js";

/** The bad part of an upstream's attempts from which it is an outlier. */
const minimumBadRatio = 0.4;
/** Bad attempts that the ratio needs. */
const minimumBad = 3;
/** Attempts gone wrong with no success after them that a stall needs. */
const minimumStreak = 2;
/** Attempts gone wrong in a row that an ejection needs where each instance counts errors alone. */
const consecutiveErrors = 5;
/** How many times worse than the rest of its service an outlier is. */
const relativeFactor = 2;
/** Where more than this part of the active upstreams shows symptoms, the service as a whole is slow. */
const serviceWidePart = 0.5;
/** Attempts that a failure domain's own view needs. */
const minimumDomainAttempts = 3;
/** A failure domain that sees a smaller bad part than this vouches for the upstream. */
const goodDomainRatio = 0.2;

/** One instance's report. */
export interface InstanceReport {
    readonly instanceId: string;
    readonly failureDomain: string;
    readonly entries: readonly attemptStatistics.UpstreamStatistics[];
}

/** What is judged. */
export interface ClassificationInput {
    readonly reports: readonly InstanceReport[];
    /** How many instances must have seen the symptoms: two, or one in a fleet of one. */
    readonly requiredInstances: number;
    /** How many failure domains must have seen the symptoms: two, or one in a fleet of one domain. */
    readonly requiredDomains: number;
}

/** The evidence on an upstream, summed over instances. */
export interface StatisticsSummary {
    readonly ok: number;
    readonly bad: number;
    readonly overdue: number;
    readonly streak: number;
    readonly newestBadMs: number;
    readonly okAgeMs: number;
}

/** A judgement. */
export type Classification =
    | { readonly kind: "healthy"; readonly summary: StatisticsSummary; }
    /** It shows symptoms that do not suffice for an ejection. */
    | { readonly kind: "suspect"; readonly summary: StatisticsSummary; readonly reason: string; }
    | { readonly kind: "outlier"; readonly summary: StatisticsSummary; readonly reason: string; };

interface Observation extends attemptStatistics.UpstreamStatistics {
    readonly instanceId: string;
    readonly failureDomain: string;
}

/**
 * Judges every upstream that the reports mention.
 * @param input - The reports of all instances on one service.
 */
export function classifyUpstreams(input: ClassificationInput): ReadonlyMap<string, Classification> {
    const observations = new Map<string, Observation[]>();
    for (const { instanceId, failureDomain, entries } of input.reports) {
        for (const entry of entries) {
            const known = observations.get(entry.upstream) ?? [];
            known.push({ ...entry, instanceId, failureDomain });
            observations.set(entry.upstream, known);
        }
    }
    const summaries = new Map([...observations].map(([upstream, seen]) => [upstream, createSummary(seen)]));
    const symptomatic = [...summaries.values()].filter(hasSymptoms).length;
    const isServiceWide = symptomatic > summaries.size * serviceWidePart && summaries.size > 1;
    return new Map([...summaries].map(([upstream, summary]): [string, Classification] => {
        if (!hasSymptoms(summary)) {
            return [upstream, { kind: "healthy", summary }];
        }
        const doubt = getDoubt(upstream, summary, observations.get(upstream)!, summaries, isServiceWide, input);
        return doubt === undefined
            ? [upstream, { kind: "outlier", summary, reason: formatSymptoms(summary) }]
            : [upstream, { kind: "suspect", summary, reason: `${formatSymptoms(summary)}; ${doubt}` }];
    }));
}

/**
 * Judges by errors in a row alone, as proxies commonly do; the baseline of the measurements.
 * @param entries - This instance's own evidence.
 */
export function classifyByConsecutiveErrors(entries: readonly attemptStatistics.UpstreamStatistics[]): ReadonlyMap<string, Classification> {
    return new Map(entries.map((entry): [string, Classification] => {
        const summary = createSummary([{ ...entry, instanceId: "", failureDomain: "" }]);
        const isOutlier = entry.streak - entry.overdue >= consecutiveErrors;
        return [entry.upstream, isOutlier ? { kind: "outlier", summary, reason: `${entry.streak} errors in a row` } : { kind: "healthy", summary }];
    }));
}

function createSummary(seen: readonly Observation[]): StatisticsSummary {
    const badAges = seen.filter(entry => entry.streak > 0).map(entry => entry.newestBadMs);
    return {
        ok: seen.reduce((sum, entry) => sum + entry.ok, 0),
        bad: seen.reduce((sum, entry) => sum + entry.bad, 0),
        overdue: seen.reduce((sum, entry) => sum + entry.overdue, 0),
        streak: seen.reduce((sum, entry) => sum + entry.streak, 0),
        newestBadMs: badAges.length === 0 ? 0 : Math.min(...badAges),
        okAgeMs: Math.min(...seen.map(entry => entry.okAgeMs)),
    };
}

/** Returns whether nothing has ended well since the youngest attempt that went wrong was sent. */
function isStalled(summary: StatisticsSummary): boolean {
    return summary.streak >= minimumStreak && summary.okAgeMs >= summary.newestBadMs;
}

function getBadRatio({ ok, bad, overdue }: Pick<StatisticsSummary, "ok" | "bad" | "overdue">): number {
    const total = ok + bad + overdue;
    return total === 0 ? 0 : (bad + overdue) / total;
}

function isFailing(summary: StatisticsSummary): boolean {
    return summary.bad + summary.overdue >= minimumBad && getBadRatio(summary) >= minimumBadRatio;
}

function hasSymptoms(summary: StatisticsSummary): boolean {
    return isStalled(summary) || isFailing(summary);
}

function formatSymptoms(summary: StatisticsSummary): string {
    const kind = isStalled(summary) ? "stalled" : "failing";
    return `${kind}: ${summary.overdue} overdue, ${summary.bad} bad, ${summary.ok} ok`;
}

/** Returns why symptoms do not make an outlier; undefined where they do. */
function getDoubt(upstream: string, summary: StatisticsSummary, seen: readonly Observation[], summaries: ReadonlyMap<string, StatisticsSummary>, isServiceWide: boolean, input: ClassificationInput): string | undefined {
    if (isServiceWide) {
        return "most of the service shows the same";
    }
    const witnesses = seen.filter(entry => entry.bad + entry.overdue > 0);
    if (new Set(witnesses.map(entry => entry.instanceId)).size < input.requiredInstances) {
        return "seen by too few instances";
    }
    const domains = new Set(witnesses.map(entry => entry.failureDomain));
    if (domains.size < input.requiredDomains) {
        return `seen from the failure domain ${[...domains].join(", ")} only`;
    }
    const vouching = findVouchingDomain(seen, isStalled(summary));
    if (vouching !== undefined) {
        return `the failure domain ${vouching} sees it well`;
    }
    const others = [...summaries].filter(([id]) => id !== upstream).map(([, other]) => other);
    const rest = {
        ok: others.reduce((sum, other) => sum + other.ok, 0),
        bad: others.reduce((sum, other) => sum + other.bad, 0),
        overdue: others.reduce((sum, other) => sum + other.overdue, 0),
    };
    if (!isStalled(summary) && getBadRatio(rest) * relativeFactor > getBadRatio(summary)) {
        return "the rest of the service is nearly as bad";
    }
    return undefined;
}

/** Finds a failure domain in which the upstream does well; a stall is judged by the last success, which no domain has. */
function findVouchingDomain(seen: readonly Observation[], stalled: boolean): string | undefined {
    if (stalled) {
        return undefined;
    }
    const domains = [...new Set(seen.map(entry => entry.failureDomain))];
    return domains.find(domain => {
        const own = createSummary(seen.filter(entry => entry.failureDomain === domain));
        return own.ok + own.bad + own.overdue >= minimumDomainAttempts && getBadRatio(own) < goodDomainRatio;
    });
}
