/** A token bucket that limits the rate of an instance's calls to the store. */

import type * as clock from "../kernel/clock.js";

/** The bucket holds the calls of this many seconds. */
const maximumBurstSeconds = 10;

/** Options of a rate limiter. */
export interface CreateCallRateLimiterOptions {
    /** The maximum average rate. */
    readonly callsPerSecond: number;
    readonly clock: clock.Clock;
}

/** Limits calls to an average rate, with bursts of up to ten seconds' calls. */
export class CallRateLimiter {
    private tokens: number;
    private lastRefilledAt: number;

    constructor(private readonly options: CreateCallRateLimiterOptions) {
        this.tokens = options.callsPerSecond * maximumBurstSeconds;
        this.lastRefilledAt = options.clock.getNow();
    }

    /** Returns whether a token is left for a call. */
    isCallAllowed(): boolean {
        this.addTokens();
        return this.tokens >= 1;
    }

    /** Takes a token for a call, even if none is left. */
    recordCall(): void {
        this.addTokens();
        this.tokens -= 1;
    }

    private addTokens(): void {
        const now = this.options.clock.getNow();
        const { callsPerSecond } = this.options;
        this.tokens = Math.min(callsPerSecond * maximumBurstSeconds, this.tokens + ((now - this.lastRefilledAt) / 1_000) * callsPerSecond);
        this.lastRefilledAt = now;
    }
}
