/** The tokens of one workspace that an instance holds, and how many it should hold. */

import type * as quotaLimits from "./quotaLimits.js";

/** The time constant of the estimated rate of requests, in milliseconds. Short, because demand moves within a second. */
const rateWindowMs = 1_000;
/** Tokens are held for the requests that are expected in this time, in milliseconds; half of the lifetime of tokens, so that few expire. */
const heldDemandMs = 200;

interface Batch {
    tokens: number;
    readonly expiresAt: number;
}

/** Holds tokens until they expire, and estimates the rate of requests. */
export class TokenStock {
    private batches: Batch[] = [];
    private rate = 0;
    private rateAt: number;
    /** Tokens that no request used, to be reported to the owner. */
    private unused = 0;

    constructor(now: number) {
        this.rateAt = now;
    }

    /** Records the arrival of a request. */
    recordRequest(now: number): void {
        this.rate = this.getRate(now) + 1 / rateWindowMs;
        this.rateAt = now;
    }

    /** Adds tokens. */
    addTokens(tokens: number, expiresAt: number): void {
        if (tokens > 0) {
            this.batches.push({ tokens, expiresAt });
            this.batches.sort((a, b) => a.expiresAt - b.expiresAt);
        }
    }

    /** Takes the token that expires first. Returns when it expires; undefined if there is none. */
    takeToken(now: number): number | undefined {
        this.removeExpired(now);
        const [batch] = this.batches;
        if (batch === undefined) {
            return undefined;
        }
        batch.tokens -= 1;
        this.batches = batch.tokens === 0 ? this.batches.slice(1) : this.batches;
        return batch.expiresAt;
    }

    /** Takes back a token whose request was not executed. After its expiry only the owner can make up for it. */
    restoreToken(expiresAt: number, now: number): void {
        if (expiresAt > now) {
            this.addTokens(1, expiresAt);
            return;
        }
        this.unused += 1;
    }

    /** Removes all tokens, after the limit was lowered. */
    removeTokens(): void {
        this.batches = [];
        this.unused = 0;
    }

    /** Returns the tokens that no request used since the last call. */
    takeUnused(now: number): number {
        this.removeExpired(now);
        const { unused } = this;
        this.unused = 0;
        return unused;
    }

    /** Returns the number of tokens that can be used. */
    countTokens(now: number): number {
        this.removeExpired(now);
        return this.batches.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Returns the number of tokens to hold for the requests that are expected soon. */
    computeTarget(now: number, { burst, tokensPerMs }: Pick<quotaLimits.QuotaLimit, "burst" | "tokensPerMs">): number {
        return Math.min(Math.round(Math.min(this.getRate(now), tokensPerMs) * heldDemandMs), Math.ceil(burst));
    }

    /** Returns the estimated rate, in requests per millisecond. */
    getRate(now: number): number {
        return this.rate * Math.exp(-Math.max(0, now - this.rateAt) / rateWindowMs);
    }

    private removeExpired(now: number): void {
        const expired = this.batches.filter(({ expiresAt }) => expiresAt <= now);
        if (expired.length > 0) {
            this.unused += expired.reduce((sum, { tokens }) => sum + tokens, 0);
            this.batches = this.batches.filter(({ expiresAt }) => expiresAt > now);
        }
    }
}
