/** The requests of one workspace at this instance: those that wait for a token, and what is known of when there will be one. */

import type * as quotaLimits from "./quotaLimits.js";
import * as tokenStock from "./tokenStock.js";

/** The longest that a request waits for a token, in milliseconds. It covers the way to an owner and a bucket that is empty for a moment. */
const usualWaitMs = 100;
/**
 * The longest wait while the workspace has no owner to which this instance has delegated, after a start or a change of the
 * owner. Then nothing says that the quota is used up, and a delegation takes up to a second.
 */
const ownerWaitMs = 1_000;
/** More requests than this, besides those for which the limit accrues a token while they wait, are not held. */
const minimumWaiting = 8;
/** An owner that had no token is asked again after this time at the latest, in milliseconds. */
const askAgainMs = 50;
/** A workspace that had a request this lately is likely to have another, in milliseconds. */
const activeMs = 3_000;
/** The least and the most that a caller is asked to wait, in milliseconds. */
const minimumRetryAfterMs = 20;
const maximumRetryAfterMs = 10_000;

/** How a request for a token ended. */
export type Decision =
    /** A token until the given time, and how long the request waited for it. */
    | { readonly kind: "granted"; readonly expiresAt: number; readonly waitedMs: number; }
    | { readonly kind: "refused"; readonly retryAfterMs: number; readonly waitedMs: number; };

interface Waiter {
    readonly since: number;
    /** When the request is refused. */
    readonly until: number;
    readonly resolve: (decision: Decision) => void;
}

/** Holds what this instance knows of one limited workspace. */
export class WorkspaceDemand {
    readonly stock: tokenStock.TokenStock;
    private waiters: Waiter[] = [];
    /** Tokens asked for in messages without a reply so far. */
    private asked = 0;
    /** When the owner expects to have a token for this instance. */
    private roomAt = 0;
    private askAt = 0;
    private refusals = 0;
    private usedAt: number;

    constructor(private limit: quotaLimits.QuotaLimit, now: number) {
        this.stock = new tokenStock.TokenStock(now);
        this.usedAt = now;
    }

    /** Returns the limit. */
    getLimit(): quotaLimits.QuotaLimit {
        return this.limit;
    }

    /** Applies a changed limit; tokens of a higher one are not used any longer. */
    setLimit(limit: quotaLimits.QuotaLimit): void {
        if (limit.requestsPerSecond < this.limit.requestsPerSecond || limit.burst < this.limit.burst) {
            this.stock.removeTokens();
        }
        this.limit = limit;
    }

    /**
     * Admits a request if there is a token, refuses it if there will be none soon, and lets it wait otherwise.
     * @param hasOwner - Whether the part of this instance is delegated to the owner of the workspace.
     * @returns How long the request waits at most, in milliseconds; undefined if it does not wait.
     */
    addRequest(now: number, hasOwner: boolean, resolve: (decision: Decision) => void): number | undefined {
        const maximumWaitMs = hasOwner ? usualWaitMs : ownerWaitMs;
        this.usedAt = now;
        this.stock.recordRequest(now);
        const expiresAt = this.waiters.length === 0 ? this.stock.takeToken(now) : undefined;
        if (expiresAt !== undefined) {
            resolve({ kind: "granted", expiresAt, waitedMs: 0 });
            return undefined;
        }
        const isFull = this.waiters.length >= minimumWaiting + this.limit.tokensPerMs * maximumWaitMs;
        if (isFull || this.roomAt > now + maximumWaitMs) {
            resolve(this.createRefusal(now, now));
            return undefined;
        }
        this.waiters.push({ since: now, until: now + maximumWaitMs, resolve });
        return maximumWaitMs;
    }

    /**
     * Computes the tokens to ask the owner for now: those for requests that wait or are certain to come, and those ahead of need.
     * @param isAhead - Whether tokens are wanted for requests that have not come, too.
     */
    computeWanted(now: number, isAhead: boolean): { readonly needed: number; readonly ahead: number; } {
        if (now < this.askAt) {
            return { needed: 0, ahead: 0 };
        }
        const held = this.stock.countTokens(now) + this.asked;
        if (!isAhead) {
            return { needed: Math.max(0, this.waiters.length - held), ahead: 0 };
        }
        const needed = Math.max(0, this.waiters.length + this.stock.computeCertainDemand(now, this.limit) - held);
        const likely = now - this.usedAt > activeMs ? 0 : this.stock.computeLikelyDemand(now, this.limit);
        return { needed, ahead: Math.max(0, this.waiters.length + likely - held - needed) };
    }

    /** Returns whether fewer tokens are left than requests are certain to come. */
    isLow(now: number): boolean {
        return now >= this.askAt && this.stock.countTokens(now) + this.asked < this.stock.computeCertainDemand(now, this.limit);
    }

    /** Records that a message asks for tokens. */
    recordAsk(tokens: number): void {
        this.asked += tokens;
    }

    /** Records that a message with this many tokens has got its reply, or none in time. */
    recordAskEnd(tokens: number): void {
        this.asked -= tokens;
    }

    /**
     * Applies an owner's answer.
     * @param tokens - Tokens granted.
     * @param retryAfterMs - After how long the owner expects a token for this instance; 0 if it granted all that was asked for.
     * @param expiresAt - When the tokens expire.
     */
    applyGrant(tokens: number, retryAfterMs: number, expiresAt: number, now: number): void {
        if (expiresAt > now) {
            this.stock.addTokens(tokens, expiresAt);
        }
        this.roomAt = retryAfterMs === 0 ? 0 : now + retryAfterMs;
        this.askAt = retryAfterMs === 0 ? 0 : now + Math.min(askAgainMs, retryAfterMs);
        this.refusals = 0;
        this.resolveWaiters(now);
    }

    /** Admits waiting requests, oldest first, and refuses those for which there will be no token in time. */
    resolveWaiters(now: number): void {
        while (this.waiters.length > 0) {
            const expiresAt = this.stock.takeToken(now);
            if (expiresAt === undefined) {
                break;
            }
            const { since, resolve } = this.waiters.shift()!;
            resolve({ kind: "granted", expiresAt, waitedMs: now - since });
        }
        const late = this.waiters.filter(({ until }) => this.isLate(until, now));
        this.waiters = this.waiters.filter(({ until }) => !this.isLate(until, now));
        late.forEach(({ since, resolve }) => resolve(this.createRefusal(since, now)));
    }

    /** Returns whether requests wait for a token. */
    hasWaiters(): boolean {
        return this.waiters.length > 0;
    }

    /** Returns when the owner may be asked again, or 0 if it may be at any time. */
    getAskAt(): number {
        return this.askAt;
    }

    /** Forgets when there will be a token, because another instance is the owner now. */
    removeForecast(): void {
        this.roomAt = 0;
        this.askAt = 0;
    }

    /** Returns whether the workspace had no request for a time and nothing is under way. */
    isIdle(idleMs: number, now: number): boolean {
        return now - this.usedAt > idleMs && this.waiters.length === 0 && this.asked === 0;
    }

    private isLate(until: number, now: number): boolean {
        return now >= until || this.roomAt > until;
    }

    private createRefusal(since: number, now: number): Decision {
        // One refused caller after the other is told a later time, so that they do not come back together.
        const spreadMs = this.refusals / this.limit.tokensPerMs;
        this.refusals += 1;
        const roomInMs = Math.max(minimumRetryAfterMs, this.roomAt - now);
        return { kind: "refused", retryAfterMs: Math.ceil(Math.min(maximumRetryAfterMs, roomInMs + spreadMs)), waitedMs: now - since };
    }
}
