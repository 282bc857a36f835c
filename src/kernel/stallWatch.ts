/** Notices stalls of the process, in which it was suspended or short of CPU time, and since when a signal may have waited. */

import type * as clock from "./clock.js";
import type * as logger from "./logger.js";
import type * as loop from "./loop.js";

/** Interval between two checks for a stall of the process. */
const checkIntervalMs = 250;
/** A check delayed by at least this much is logged as a stall, since it explains the events logged after it. */
const loggedStallMs = 1_000;
/** A check delayed by more than this shows that the process was stalled, as for timers of the loop. */
const lateThresholdMs = 50;
/** How far back the arrival of a signal is dated at most; during a longer stall it more likely came later. */
const maximumBackdatingMs = 1_000;

/** Options of `StallWatch`. */
export interface CreateStallWatchOptions {
    readonly clock: clock.Clock;
    readonly loop: Pick<loop.Loop, "scheduleRepeatedly">;
    readonly logger: Pick<logger.Logger, "writeWarning">;
    /** Runs a task once the event loop has polled for input; `setImmediate` by default. */
    readonly scheduleAfterPoll?: (task: () => void) => void;
}

/** Checks periodically whether the event loop runs, and logs long stalls. */
export class StallWatch {
    private lastCheckAt: number | undefined;
    /** The last two checks after which the event loop has polled, and the end of the last poll. Signals that had arrived by such a check have been handled. */
    private lastPolledCheckAt: number | undefined;
    private previousPolledCheckAt: number | undefined;
    private lastPollAt = -Infinity;
    private lastDelayMs = 0;
    private longestStallMs = 0;

    constructor(private readonly options: CreateStallWatchOptions) {}

    /** Starts the periodic check. */
    start(): void {
        this.lastCheckAt = this.options.clock.getNow();
        this.lastPolledCheckAt = this.lastCheckAt;
        this.options.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /**
     * Returns by how much the current check is overdue or the last one was, in milliseconds. The event loop has stood still
     * for up to one interval longer.
     * @remarks After a stall, timers run before signal handlers, so the delay of the last check counts too.
     */
    getCheckDelayMs(): number {
        return Math.max(this.computeDelayMs(), this.lastDelayMs);
    }

    /**
     * Returns the earliest time at which a signal that is handled now may have arrived, in monotonic milliseconds: now
     * while the process keeps running, otherwise the last check before the stall.
     * @remarks After a stall, timers run before signal handlers, so the delayed check may have run already.
     */
    getEarliestArrivalAt(): number {
        const now = this.options.clock.getNow();
        // Another thread may have received the signal and resume later than the event loop.
        const isJustResumed = this.lastDelayMs > lateThresholdMs && now - this.lastPollAt <= lateThresholdMs;
        const checkedAt = (isJustResumed ? this.previousPolledCheckAt : this.lastPolledCheckAt) ?? now;
        return now - checkedAt > checkIntervalMs + lateThresholdMs ? checkedAt : now;
    }

    /** Returns when such a signal is assumed to have arrived: at the earliest time, at most one second ago. */
    getAssumedArrivalAt(): number {
        return Math.max(this.getEarliestArrivalAt(), this.options.clock.getNow() - maximumBackdatingMs);
    }

    /** Returns the longest stall since the last call, in milliseconds, and begins anew. */
    takeLongestStallMs(): number {
        const stallMs = Math.max(this.longestStallMs, this.computeDelayMs());
        this.longestStallMs = 0;
        return stallMs;
    }

    private runCheck(): void {
        const { clock: systemClock, scheduleAfterPoll = setImmediate } = this.options;
        const checkedAt = systemClock.getNow();
        this.lastDelayMs = this.computeDelayMs();
        this.longestStallMs = Math.max(this.longestStallMs, this.lastDelayMs);
        this.lastCheckAt = checkedAt;
        scheduleAfterPoll(() => {
            this.previousPolledCheckAt = this.lastPolledCheckAt;
            this.lastPolledCheckAt = checkedAt;
            this.lastPollAt = systemClock.getNow();
        });
        if (this.lastDelayMs >= loggedStallMs) {
            const gapMs = Math.round(this.lastDelayMs + checkIntervalMs);
            this.options.logger.writeWarning("process-stood-still", `the process was stalled for ${gapMs} ms`, { gapMs });
        }
    }

    /** Returns by how much the next check is overdue. */
    private computeDelayMs(): number {
        const { lastCheckAt } = this;
        return lastCheckAt === undefined ? 0 : Math.max(0, this.options.clock.getNow() - lastCheckAt - checkIntervalMs);
    }
}
