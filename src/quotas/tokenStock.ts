/** The tokens of one workspace that an instance holds, and how many it should hold. */

import type * as quotaLimits from "./quotaLimits.js";

/** The time constant of the estimated rate of requests, in milliseconds. Short, because demand moves within a second. */
const rateWindowMs = 1_000;
/** The demand of this time is certain to come while tokens are valid, so it is asked for as if it were there, in milliseconds. */
const certainDemandMs = 100;
/**
 * The demand of this time may come while tokens are valid, as requests come unevenly; tokens for it are granted only while
 * they are plenty, in milliseconds. In a calm load, 6 % of the requests that followed another within 3 s found no token, and
 * 11 % with half of this time and one spare token.
 */
const likelyDemandMs = 800;
const spareTokens = 3;
/** Tokens that expire sooner than this are as good as gone when a message is sent, in milliseconds. */
const expiringMs = 100;

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

    /** Takes the tokens that expire soon or have expired since the last call, to return them to the owner. */
    takeUnused(now: number): number {
        this.removeExpired(now + expiringMs);
        const { unused } = this;
        this.unused = 0;
        return unused;
    }

    /** Returns the number of tokens that can still be used for a while. */
    countTokens(now: number): number {
        this.removeExpired(now);
        return this.batches.reduce((sum, { tokens, expiresAt }) => sum + (expiresAt > now + expiringMs ? tokens : 0), 0);
    }

    /** Returns the number of requests that are certain to come soon. */
    computeCertainDemand(now: number, { tokensPerMs }: Pick<quotaLimits.QuotaLimit, "tokensPerMs">): number {
        return Math.floor(Math.min(this.getRate(now), tokensPerMs) * certainDemandMs);
    }

    /** Returns the number of tokens to hold if they are plenty: some at least, so that requests that come now and then do not wait. */
    computeLikelyDemand(now: number, { tokensPerMs }: Pick<quotaLimits.QuotaLimit, "tokensPerMs">): number {
        return spareTokens + Math.round(Math.min(this.getRate(now), tokensPerMs) * likelyDemandMs);
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
