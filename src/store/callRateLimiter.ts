/** A token bucket over the calls that an instance makes to the store. */

import type * as clock from "../kernel/clock.js";

/** The seconds of unused budget that may be saved up. */
const burstSeconds = 10;

/** Options of a budget. */
export interface CreateCallRateLimiterOptions {
    /** The average rate. */
    readonly callsPerSecond: number;
    readonly clock: clock.Clock;
}

/** Counts calls against a rate. */
export class CallRateLimiter {
    private tokens: number;
    private refilledAt: number;

    constructor(private readonly options: CreateCallRateLimiterOptions) {
        this.tokens = options.callsPerSecond * burstSeconds;
        this.refilledAt = options.clock.getNow();
    }

    /** Returns whether a call may be made now. */
    isCallAllowed(): boolean {
        this.addTokens();
        return this.tokens >= 1;
    }

    /** Counts a call. */
    recordCall(): void {
        this.addTokens();
        this.tokens -= 1;
    }

    private addTokens(): void {
        const now = this.options.clock.getNow();
        const { callsPerSecond } = this.options;
        this.tokens = Math.min(callsPerSecond * burstSeconds, this.tokens + ((now - this.refilledAt) / 1_000) * callsPerSecond);
        this.refilledAt = now;
    }
}
