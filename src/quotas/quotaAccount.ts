/** The tokens of one workspace at its owner: a token bucket that fills at the owner's share of the limit. */

import * as quotaLimits from "./quotaLimits.js";
import type * as quotaMessages from "./quotaMessages.js";

/** A share of at least this holds one whole token even if less is due to it; there are at most ten such shares of a limit. */
const wholeTokenShare = 0.1;
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

    constructor(private limit: quotaLimits.QuotaLimit, private updated: AccountShare) {}

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
        this.level = Math.min(Math.max(0, capacity - this.countLent()), this.level + limit.tokensPerMs * creditMs);
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
        const regained = Math.max(0, Math.min(this.owed, this.slack, needed - this.level));
        this.owed -= regained;
        this.slack -= regained;
        const available = this.level + regained;
        const granted = Math.min(needed, Math.floor(available));
        const plenty = Math.max(0, Math.floor(available - granted - limit.burst * current.share / 2));
        const lent = Math.min(ahead, plenty);
        const tokens = granted + lent;
        this.level = available - tokens;
        if (lent > 0) {
            this.lent.push({ tokens: lent, until: current.now + quotaLimits.tokenLifetimeMs });
        }
        const missing = needed - granted;
        if (missing === 0) {
            return { tokens, retryAfterMs: 0 };
        }
        const tokensPerMs = limit.tokensPerMs * current.share;
        const waitMs = (Math.max(0, 1 - this.level) + this.unmet) / tokensPerMs;
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
        return tokens;
    }

    private countLent(): number {
        return this.lent.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    /** Returns the tokens that the account held when it was last updated. */
    getLevel(): number {
        return this.level;
    }
}
