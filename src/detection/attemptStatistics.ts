/** Statistics of this instance's recent attempts at each upstream. */

import * as z from "zod";
import * as pool from "../pool/index.js";

/** The length of the sliding window over attempts. */
export const windowMs = 3_000;
/** The length of the buckets that the window consists of. */
const bucketMs = 250;
/** The number of consecutive bad attempts after which an instance avoids an upstream by itself. */
const avoidAfterBadAttempts = 2;
/** The duration of the first avoidance; each further bad attempt doubles it, up to the maximum. */
const initialAvoidanceMs = 1_000;
const maximumAvoidanceMs = 8_000;
/** Greater ages are reported as this. */
const maximumAgeMs = 60_000;

/** The part of a report that describes one upstream. */
export const upstreamStatisticsSchema = z.strictObject({
    upstream: z.string(),
    /** Attempts in the window that succeeded in time. */
    ok: z.number(),
    /** Attempts in the window that failed, or that ended after they were overdue. */
    bad: z.number(),
    /** Attempts in flight that are overdue. */
    overdue: z.number(),
    /** Bad attempts since the last success, including the attempts in flight that are overdue. */
    streak: z.number(),
    /** Milliseconds since the newest attempt of the streak was sent; 0 if the streak is empty. */
    newestBadMs: z.number(),
    /** Milliseconds since the last success. */
    okAgeMs: z.number(),
});

/** One instance's statistics of one upstream. */
export type UpstreamStatistics = z.infer<typeof upstreamStatisticsSchema>;

interface Bucket {
    readonly startedAt: number;
    ok: number;
    bad: number;
}

interface UpstreamHistory {
    buckets: Bucket[];
    lastOkAt: number;
    /** Attempts that ended badly since the last success. */
    consecutiveBad: number;
    /** When the newest attempt that ended badly was sent. */
    newestBadSentAt: number;
    /** When an attempt last ended badly. */
    lastBadAt: number;
}

/** Options of the statistics. */
export interface CreateAttemptStatisticsOptions {
    /** Returns the median latency of a route in milliseconds. */
    readonly getMedianLatencyMs: (service: string, route: string) => number | undefined;
    /** Returns the minimum age at which an attempt at a service counts as overdue, in milliseconds. */
    readonly getMinimumStallMs: (service: string) => number;
}

/** Collects statistics of attempts. Callers pass the time, in monotonic milliseconds. */
export class AttemptStatistics {
    private readonly histories = new WeakMap<pool.Upstream, UpstreamHistory>();
    private laggingUntil = -Infinity;

    constructor(private readonly options: CreateAttemptStatisticsOptions) {}

    /**
     * Returns the age at which an attempt is overdue, in milliseconds.
     * @param route - The name of the attempt's route.
     */
    getOverdueAgeMs(upstream: pool.Upstream, route: string): number {
        return pool.computeOverdueAgeMs({
            medianMs: this.options.getMedianLatencyMs(upstream.service, route),
            minimumStallMs: this.options.getMinimumStallMs(upstream.service),
            routability: upstream.routability.kind,
        });
    }

    /**
     * Sets the time until which overdue attempts are not counted, because this instance itself is slow.
     * @param until - The time, in monotonic milliseconds.
     */
    setLaggingUntil(until: number): void {
        this.laggingUntil = until;
    }

    /** Records the end of an attempt, unless its outcome says nothing about the health of the upstream. */
    recordEnd(upstream: pool.Upstream, attempt: pool.AttemptRecord, outcome: pool.AttemptOutcome, now: number): void {
        const ageMs = (attempt.respondedAt ?? now) - attempt.startedAt;
        const isOverdue = ageMs >= this.getOverdueAgeMs(upstream, attempt.route);
        // A shed request indicates load, not failure. A cancellation or an expired deadline counts only if the attempt was already overdue.
        const isInconclusive = (outcome === "cancelled" || outcome === "timedOut") && !isOverdue;
        const isCausedByLocalLag = isOverdue && now < this.laggingUntil;
        if (outcome === "shed" || outcome === "superseded" || isInconclusive || isCausedByLocalLag) {
            return;
        }
        const history = this.getHistory(upstream);
        const bucket = this.getBucket(history, now);
        if (outcome === "answered" && !isOverdue) {
            bucket.ok += 1;
            history.lastOkAt = now;
            history.consecutiveBad = 0;
            return;
        }
        bucket.bad += 1;
        history.consecutiveBad += 1;
        history.lastBadAt = now;
        history.newestBadSentAt = Math.max(history.newestBadSentAt, attempt.startedAt);
    }

    /**
     * Returns until when this instance should prefer other upstreams; a past time if it need not.
     * @remarks Avoidance expires without a new success, so that an upstream that has recovered receives requests again.
     */
    getAvoidedUntil(upstream: pool.Upstream, now: number): number {
        if (this.listOverdueAges(upstream, now).length > 0) {
            return now + initialAvoidanceMs;
        }
        const { consecutiveBad, lastBadAt } = this.getHistory(upstream);
        return consecutiveBad < avoidAfterBadAttempts ? -Infinity : lastBadAt + Math.min(maximumAvoidanceMs, initialAvoidanceMs * 2 ** (consecutiveBad - avoidAfterBadAttempts));
    }

    /** Returns the statistics of an upstream; undefined if no attempt ended in the window and none is overdue. */
    getStatistics(upstream: pool.Upstream, now: number): UpstreamStatistics | undefined {
        const history = this.getHistory(upstream);
        history.buckets = history.buckets.filter(bucket => now - bucket.startedAt < windowMs);
        const overdueAges = this.listOverdueAges(upstream, now);
        const ok = history.buckets.reduce((sum, bucket) => sum + bucket.ok, 0);
        const bad = history.buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
        if (ok + bad + overdueAges.length === 0) {
            return undefined;
        }
        const endedBad = now - history.newestBadSentAt < windowMs ? history.consecutiveBad : 0;
        const streak = endedBad + overdueAges.length;
        return {
            upstream: upstream.getId(),
            ok,
            bad,
            overdue: overdueAges.length,
            streak,
            newestBadMs: Math.round(streak === 0 ? 0 : Math.min(now - history.newestBadSentAt, ...overdueAges)),
            okAgeMs: Math.round(Math.min(maximumAgeMs, now - history.lastOkAt)),
        };
    }

    private listOverdueAges(upstream: pool.Upstream, now: number): readonly number[] {
        if (now < this.laggingUntil) {
            return [];
        }
        return [...upstream.attempts]
            .filter(attempt => attempt.respondedAt === undefined && now - attempt.startedAt >= this.getOverdueAgeMs(upstream, attempt.route))
            .map(attempt => now - attempt.startedAt);
    }

    private getHistory(upstream: pool.Upstream): UpstreamHistory {
        const history = this.histories.get(upstream) ?? { buckets: [], lastOkAt: -Infinity, consecutiveBad: 0, newestBadSentAt: -Infinity, lastBadAt: -Infinity };
        this.histories.set(upstream, history);
        return history;
    }

    private getBucket(history: UpstreamHistory, now: number): Bucket {
        const newest = history.buckets.at(-1);
        if (newest !== undefined && now - newest.startedAt < bucketMs) {
            return newest;
        }
        const created = { startedAt: now, ok: 0, bad: 0 };
        history.buckets.push(created);
        return created;
    }
}
