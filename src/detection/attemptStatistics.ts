/** What this instance has seen of each upstream in the last seconds. */

import { z } from "zod";
import * as pool from "../pool/index.js";

/** The length of the window and of its parts, in milliseconds. */
export const windowMs = 3_000;
const bucketMs = 250;
/** Attempts gone wrong in a row from which an instance prefers other upstreams by itself. */
const avoidAfterBad = 2;
/** How long such a preference lasts, doubled with each further attempt up to the maximum, in milliseconds. */
const avoidMs = 1_000;
const maximumAvoidMs = 8_000;
/** The greatest age reported, in milliseconds. */
const maximumAgeMs = 60_000;

/** What one instance reports of one upstream. */
export const upstreamStatisticsSchema = z.strictObject({
    upstream: z.string(),
    /** Attempts in the window that ended well in time. */
    ok: z.number(),
    /** Attempts in the window that failed or ended overdue. */
    bad: z.number(),
    /** Attempts under way that are overdue. */
    overdue: z.number(),
    /** Attempts that went wrong since one ended well, those under way that are overdue included. */
    streak: z.number(),
    /** Milliseconds since the youngest attempt of the streak was sent; 0 where there is none. */
    newestBadMs: z.number(),
    /** Milliseconds since an attempt last ended well. */
    okAgeMs: z.number(),
});

/** What one instance reports of one upstream. */
export type UpstreamStatistics = z.infer<typeof upstreamStatisticsSchema>;

interface Bucket {
    readonly startedAt: number;
    ok: number;
    bad: number;
}

interface History {
    buckets: Bucket[];
    okAt: number;
    /** Attempts that ended badly since one ended well, and when the youngest of them was sent. */
    badInARow: number;
    newestBadSentAt: number;
    /** When an attempt last ended badly. */
    badAt: number;
}

/** Options of the evidence. */
export interface CreateAttemptStatisticsOptions {
    /** Returns the median latency of a route in milliseconds. */
    readonly getMedianLatencyMs: (service: string, route: string) => number | undefined;
    /** Returns the least age at which a service's request may count as overdue, in milliseconds. */
    readonly getMinimumStallMs: (service: string) => number;
}

/** Collects evidence; it is told the time, in monotonic milliseconds. */
export class AttemptStatistics {
    private readonly histories = new WeakMap<pool.Upstream, History>();
    private laggingUntil = -Infinity;

    constructor(private readonly options: CreateAttemptStatisticsOptions) {}

    /**
     * Returns the age at which an attempt is overdue, in milliseconds.
     * @param target - The upstream.
     * @param route - The route's name.
     */
    getOverdueAgeMs(target: pool.Upstream, route: string): number {
        return pool.computeOverdueMs({
            medianMs: this.options.getMedianLatencyMs(target.service, route),
            minimumStallMs: this.options.getMinimumStallMs(target.service),
            routability: target.routability.kind,
        });
    }

    /**
     * Takes nothing that goes wrong until a time as evidence, since this instance itself is slow.
     * @param until - Monotonic milliseconds.
     */
    setLaggingUntil(until: number): void {
        this.laggingUntil = until;
    }

    /**
     * Records the end of an attempt.
     * @param target - The upstream.
     * @param attempt - The attempt.
     * @param outcome - How it ended.
     * @param now - The time.
     */
    recordEnd(target: pool.Upstream, attempt: pool.AttemptRecord, outcome: pool.AttemptOutcome, now: number): void {
        const ageMs = (attempt.answeredAt ?? now) - attempt.startedAt;
        const isOverdue = ageMs >= this.getOverdueAgeMs(target, attempt.route);
        // Shedding is load. A caller that leaves, or whose deadline passes, says nothing unless it had waited for too long.
        const isCutShort = (outcome === "cancelled" || outcome === "timedOut") && !isOverdue;
        const isOwnFault = isOverdue && now < this.laggingUntil;
        if (outcome === "shed" || isCutShort || isOwnFault) {
            return;
        }
        const history = this.getHistory(target);
        const bucket = this.getBucket(history, now);
        if (outcome === "answered" && !isOverdue) {
            bucket.ok += 1;
            history.okAt = now;
            history.badInARow = 0;
            return;
        }
        bucket.bad += 1;
        history.badInARow += 1;
        history.badAt = now;
        history.newestBadSentAt = Math.max(history.newestBadSentAt, attempt.startedAt);
    }

    /**
     * Returns until when this instance should prefer others; the past where it need not.
     * @param target - The upstream.
     * @param now - The time.
     * @remarks It ends by itself, so that an upstream that has recovered gets work again.
     */
    getAvoidedUntil(target: pool.Upstream, now: number): number {
        if (this.listOverdueAges(target, now).length > 0) {
            return now + avoidMs;
        }
        const { badInARow, badAt } = this.getHistory(target);
        return badInARow < avoidAfterBad ? -Infinity : badAt + Math.min(maximumAvoidMs, avoidMs * 2 ** (badInARow - avoidAfterBad));
    }

    /**
     * Returns what there is to report of an upstream; undefined where nothing happened in the window.
     * @param target - The upstream.
     * @param now - The time.
     */
    getStatistics(target: pool.Upstream, now: number): UpstreamStatistics | undefined {
        const history = this.getHistory(target);
        history.buckets = history.buckets.filter(bucket => now - bucket.startedAt < windowMs);
        const overdueAges = this.listOverdueAges(target, now);
        const ok = history.buckets.reduce((sum, bucket) => sum + bucket.ok, 0);
        const bad = history.buckets.reduce((sum, bucket) => sum + bucket.bad, 0);
        if (ok + bad + overdueAges.length === 0) {
            return undefined;
        }
        const endedBad = now - history.newestBadSentAt < windowMs ? history.badInARow : 0;
        const streak = endedBad + overdueAges.length;
        return {
            upstream: target.getId(),
            ok,
            bad,
            overdue: overdueAges.length,
            streak,
            newestBadMs: Math.round(streak === 0 ? 0 : Math.min(now - history.newestBadSentAt, ...overdueAges)),
            okAgeMs: Math.round(Math.min(maximumAgeMs, now - history.okAt)),
        };
    }

    private listOverdueAges(target: pool.Upstream, now: number): readonly number[] {
        if (now < this.laggingUntil) {
            return [];
        }
        return [...target.attempts]
            .filter(attempt => attempt.answeredAt === undefined && now - attempt.startedAt >= this.getOverdueAgeMs(target, attempt.route))
            .map(attempt => now - attempt.startedAt);
    }

    private getHistory(target: pool.Upstream): History {
        const known = this.histories.get(target) ?? { buckets: [], okAt: -Infinity, badInARow: 0, newestBadSentAt: -Infinity, badAt: -Infinity };
        this.histories.set(target, known);
        return known;
    }

    private getBucket(history: History, now: number): Bucket {
        const newest = history.buckets.at(-1);
        if (newest !== undefined && now - newest.startedAt < bucketMs) {
            return newest;
        }
        const created = { startedAt: now, ok: 0, bad: 0 };
        history.buckets.push(created);
        return created;
    }
}
