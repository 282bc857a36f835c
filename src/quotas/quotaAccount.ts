/**
 * The tokens of one workspace at its owner. A quota allows its rate times 5 s and its burst in any 5 s, so two token buckets
 * are kept, and a token is granted if either has one: one with the rate and the burst, for demand that comes after a quiet
 * time, and one with the rate at which the burst is spread over the window, for demand that lasts. Each token is taken from
 * both; their levels may be negative.
 */

import * as quotaLimits from "./quotaLimits.js";
import type * as quotaMessages from "./quotaMessages.js";

/** A share of at least this holds one whole token even if less is due to it; there are at most ten such shares of a limit. */
const wholeTokenShare = 0.1;
/** A smaller share is that of a new owner, which most instances are about to delegate to; forecasts assume this one. */
const minimumForecastShare = 0.5;
/** How fast demand that was not met is forgotten, in milliseconds. */
const unmetDecayMs = 200;
/** A caller is asked to come back within this time even if it would find no token yet, in milliseconds. */
const maximumRetryAfterMs = 5_000;

interface Loan {
    tokens: number;
    readonly until: number;
}

/** What of an account's limit is due to its owner at one time. */
export interface AccountShare {
    readonly now: number;
    /** The part of the limit that is delegated to the owner, from 0 to 1. */
    readonly share: number;
    /** For how long the limit accrued at its full rate, in milliseconds. */
    readonly creditMs: number;
}

/** The answer to a request for tokens. */
export interface Grant {
    readonly tokens: number;
    /** After how long the bucket will have a token for the asking instance, in milliseconds; 0 if it got all that it needs. */
    readonly retryAfterMs: number;
}

/** Holds the tokens of one workspace. An account begins without tokens, since another owner may have granted them just before. */
export class QuotaAccount {
    private level = 0;
    /** The level of the bucket for lasting demand. It begins with a debt of the burst, which another owner may have granted. */
    private windowLevel: number;
    /** Tokens that may be granted beyond the limit. */
    private slack = 0;
    /** Tokens that did not reach a request: those returned, and those of instances that delegate to nobody. Only the slack can make up for them. */
    private owed = 0;
    private unmet = 0;
    /**
     * Tokens granted ahead of need that may still be valid. They count as held, so that those that come back to the bucket and
     * are granted again never add up to more than the burst.
     */
    private lent: Loan[] = [];

    constructor(private limit: quotaLimits.QuotaLimit, private updated: AccountShare) {
        this.windowLevel = -limit.burst * updated.share;
    }

    /** Applies a changed limit at once. A lower burst removes tokens. */
    setLimit(limit: quotaLimits.QuotaLimit, current: AccountShare): void {
        this.applyShare(current);
        this.limit = limit;
        this.applyShare(current);
    }

    /** Adds the tokens that have accrued, and removes those beyond the capacity. */
    applyShare(current: AccountShare): void {
        const { limit, updated } = this;
        const { share } = current;
        const elapsedMs = Math.max(0, current.now - updated.now);
        const creditMs = Math.max(0, current.creditMs - updated.creditMs);
        this.lent = this.lent.filter(({ until }) => until > current.now);
        const capacity = share >= wholeTokenShare ? Math.max(1, limit.burst * share) : limit.burst * share;
        this.level = Math.min(Math.max(0, capacity - this.countLent()), Math.max(-limit.burst, this.level) + limit.tokensPerMs * creditMs);
        const addedShare = Math.max(0, share - updated.share);
        this.windowLevel = Math.min(limit.windowSaved * share, this.windowLevel + limit.windowTokensPerMs * creditMs - limit.burst * addedShare);
        this.slack = Math.min(limit.slack / 2 * share, this.slack + quotaLimits.computeSlackPerMs(limit) * creditMs);
        this.owed = Math.min(limit.slack, this.owed + limit.tokensPerMs * Math.max(0, elapsedMs - creditMs));
        this.unmet *= Math.exp(-elapsedMs / unmetDecayMs);
        this.updated = current;
    }

    /**
     * Grants up to the wanted number of tokens. Those wanted ahead of need come from the upper half of the bucket only, so
     * that demand near the limit does not lose tokens that expire elsewhere.
     */
    takeTokens({ needed, ahead, returned }: Pick<quotaMessages.Want, "needed" | "ahead" | "returned">, current: AccountShare): Grant {
        this.applyShare(current);
        const { limit } = this;
        this.owed = Math.min(limit.slack, this.owed + returned - this.applyReturn(returned));
        const held = Math.max(0, this.level, this.windowLevel);
        const regained = Math.max(0, Math.min(this.owed, this.slack, needed - held));
        this.owed -= regained;
        this.slack -= regained;
        const available = held + regained;
        const granted = Math.min(needed, Math.floor(available));
        const plenty = Math.max(0, Math.floor(this.level + regained - granted - limit.burst * current.share / 2));
        const lent = Math.min(ahead, plenty);
        const tokens = granted + lent;
        this.level += regained - tokens;
        this.windowLevel += regained - tokens;
        if (lent > 0) {
            this.lent.push({ tokens: lent, until: current.now + quotaLimits.tokenLifetimeMs });
        }
        const missing = needed - granted;
        if (missing === 0) {
            return { tokens, retryAfterMs: 0 };
        }
        const windowWaitMs = Math.max(0, 1 - this.windowLevel) / limit.windowTokensPerMs;
        const waitMs = (Math.min(windowWaitMs, Math.max(0, 1 - this.level) / limit.tokensPerMs) + this.unmet / limit.tokensPerMs) / Math.max(minimumForecastShare, current.share);
        this.unmet += missing;
        return { tokens, retryAfterMs: Math.max(1, Math.min(maximumRetryAfterMs, Math.ceil(waitMs))) };
    }

    /** Puts tokens that were granted ahead of need back into the bucket, as long as they count as held. Returns their number. */
    private applyReturn(returned: number): number {
        const tokens = Math.min(returned, this.countLent());
        let left = tokens;
        for (const loan of this.lent) {
            const part = Math.min(left, loan.tokens);
            loan.tokens -= part;
            left -= part;
        }
        this.level += tokens;
        this.windowLevel += tokens;
        return tokens;
    }

    private countLent(): number {
        return this.lent.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Returns the tokens that the account held when it was last updated. */
    getLevel(): number {
        return Math.max(this.level, this.windowLevel);
    }
}
