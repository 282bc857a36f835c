/** Limits retries to a fraction of the requests, so that they cannot amplify an overload. */

import { match } from "ts-pattern";
import type * as clock from "../kernel/clock.js";

/** The sliding window is divided into this many buckets. */
const bucketsPerWindow = 20;
/** The fraction of its budget that an instance uses. The reserve is needed because retries reach the upstreams later than they are counted. */
const usableFraction = 0.9;
/** How long a lent retry may be used. It is short because the lender counts it as used until the window after that has ended. */
export const loanValidityMs = 3_000;
/** The fraction of its slack that an instance lends; the rest stays with it, so that its own first retries need no peer. */
const lendableFraction = 2 / 3;
/** An instance lends nothing of its own for this time after it wanted a retry. */
const ownDemandMs = 2_000;
/** Smaller loans are not worth a message. */
const minimumLoan = 0.1;
/** The most retries that are asked for at once; requests that wait for a retry ask for it again and again. */
const maximumShortage = 8;
/** A shorter window is counted as this one. */
const minimumWindowMs = 100;

/** Options of a retry budget. */
export interface CreateRetryBudgetOptions {
    readonly clock: clock.Clock;
    /** The retries that the whole fleet may send, as a fraction of its requests. */
    readonly ratio: number;
    /** The retries that the whole fleet may send per window in addition to that fraction. */
    readonly slack: number;
    readonly windowMs: number;
    /** Returns the number of instances that share the slack. */
    readonly countInstances: () => number;
    /**
     * When the instance started, in monotonic milliseconds. Its share of the slack grows linearly over the first window,
     * because the process that it replaces may have used that share just before.
     */
    readonly startedAt: number;
    /**
     * Whether the slack stays split equally, the default, or is lent to instances that need more. A share that can be lent is
     * available only after the first window and the validity of a loan, because the process that this one replaces may have
     * lent or used the whole share at its end.
     */
    readonly slackSharing?: "equal" | "demand";
}

/** The right to send retries. It is counted as used by the instance whose share it comes from. */
export interface Loan {
    readonly amount: number;
    /** The time left to use it, in milliseconds. */
    readonly validMs: number;
}

/** An amount that counts until a time, in monotonic milliseconds. */
interface TimedAmount {
    amount: number;
    readonly until: number;
}

interface Bucket {
    /** When the bucket was opened, in monotonic milliseconds. */
    readonly startedAt: number;
    requests: number;
    retries: number;
}

/** Counts one service's requests and retries at this instance over a sliding window. */
export class RetryBudget {
    private buckets: Bucket[] = [];
    /** What this instance lent of its own share, until no window can contain the retries. */
    private lent: TimedAmount[] = [];
    /** What it holds of others' shares, until it expires. */
    private borrowed: TimedAmount[] = [];
    private wantedAt = -Infinity;
    private wantedCount = 0;

    private readonly windowMs: number;

    constructor(private readonly options: CreateRetryBudgetOptions) {
        this.windowMs = Math.max(minimumWindowMs, options.windowMs);
    }

    /** Records a request; its retries are recorded by `acquireRetry`. */
    recordRequest(): void {
        this.getCurrentBucket().requests += 1;
    }

    /** Takes one retry from the budget, first of what was borrowed; returns false if none is left. */
    acquireRetry(): boolean {
        const bucket = this.getCurrentBucket();
        this.wantedAt = this.options.clock.getNow();
        this.wantedCount += 1;
        if (this.getRemainingRetries() < 1) {
            return false;
        }
        bucket.retries += 1 - this.takeBorrowed(1);
        return true;
    }

    /** Returns the retries that are left; fractional, and negative if the budget has shrunk since they were sent. */
    getRemainingRetries(): number {
        return this.getOwnRetries() + this.getBorrowedRetries();
    }

    /**
     * Computes how many retries to ask other instances for: as many as were wanted since the last call and are not left, and one
     * ahead. Zero if no retry was wanted lately.
     */
    computeShortage(): number {
        const wanted = this.wantedCount;
        this.wantedCount = 0;
        return wanted === 0 ? 0 : Math.max(0, Math.min(maximumShortage, wanted + 1 - this.getRemainingRetries()));
    }

    /** Adds a loan that was asked for at a time, in monotonic milliseconds. */
    addLoan({ amount, validMs }: Loan, askedAt: number): void {
        this.borrowed.push({ amount, until: askedAt + Math.min(validMs, loanValidityMs) });
    }

    /**
     * Takes a loan for another instance: first of what was borrowed, then of the own share.
     * @param wanted - How many retries it asks for.
     */
    takeLoan(wanted: number): Loan {
        const now = this.options.clock.getNow();
        this.removeExpired();
        const validMs = this.borrowed.reduce((shortest, { until }) => Math.min(shortest, until - now), loanValidityMs);
        const borrowed = this.takeBorrowed(wanted);
        const own = Math.min(wanted - borrowed, this.getLendableRetries(now));
        if (own < minimumLoan) {
            return { amount: borrowed, validMs };
        }
        this.lent.push({ amount: own, until: now + loanValidityMs + this.windowMs });
        return { amount: borrowed + own, validMs };
    }

    private getLendableRetries(now: number): number {
        if (now - this.wantedAt < ownDemandMs) {
            return 0;
        }
        return Math.min(this.getOwnRetries(), usableFraction * lendableFraction * this.getSlackShare() - this.getLentRetries());
    }

    private takeBorrowed(wanted: number): number {
        let taken = 0;
        for (const loan of this.borrowed) {
            const part = Math.min(loan.amount, wanted - taken);
            loan.amount -= part;
            taken += part;
        }
        return taken;
    }

    private getBorrowedRetries(): number {
        this.removeExpired();
        return this.borrowed.reduce((sum, { amount }) => sum + amount, 0);
    }

    private getLentRetries(): number {
        return this.lent.reduce((sum, { amount }) => sum + amount, 0);
    }

    /** Returns the share of the slack that this instance may use or lend in a window. */
    private getSlackShare(): number {
        const { clock: time, slack, countInstances, startedAt, slackSharing = "equal" } = this.options;
        const ageMs = time.getNow() - startedAt;
        const growth = match(slackSharing)
            .with("equal", () => Math.min(1, ageMs / this.windowMs))
            .with("demand", () => ageMs >= this.windowMs * (1 + 1 / bucketsPerWindow) + loanValidityMs ? 1 : 0)
            .exhaustive();
        return (slack / countInstances()) * growth;
    }

    private getOwnRetries(): number {
        const { clock: time, ratio } = this.options;
        this.removeExpired();
        const windowStart = time.getNow() - this.windowMs;
        const requests = this.buckets.reduce((sum, bucket) => sum + (bucket.startedAt >= windowStart ? bucket.requests : 0), 0);
        const retries = this.buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
        return usableFraction * (ratio * requests + this.getSlackShare()) - retries - this.getLentRetries();
    }

    private getCurrentBucket(): Bucket {
        const now = this.options.clock.getNow();
        const newest = this.buckets.at(-1);
        if (newest !== undefined && now - newest.startedAt < this.windowMs / bucketsPerWindow) {
            return newest;
        }
        const created = { startedAt: now, requests: 0, retries: 0 };
        this.buckets.push(created);
        return created;
    }

    /**
     * Removes expired buckets and loans. A bucket's retries count until the whole bucket has left the window. Its requests count
     * only while the whole bucket is inside the window.
     */
    private removeExpired(): void {
        const now = this.options.clock.getNow();
        const { windowMs } = this;
        this.buckets = this.buckets.filter(bucket => now - bucket.startedAt < windowMs + windowMs / bucketsPerWindow);
        this.lent = this.lent.filter(({ until }) => until > now);
        this.borrowed = this.borrowed.filter(({ amount, until }) => amount > 0 && until > now);
    }
}
