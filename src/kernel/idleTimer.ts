/** Detects that nothing has arrived for a time. */

import type * as clock from "./clock.js";
import type * as loop from "./loop.js";

/** The longest time between two checks, since the limit may become smaller meanwhile. */
const maximumCheckIntervalMs = 1_000;

/** Options of an idle timer. */
export interface CreateIdleTimerOptions {
    readonly clock: Pick<clock.Clock, "getNow">;
    readonly loop: Pick<loop.Loop, "scheduleOnce">;
    /** Returns the idle time after which `onIdle` is called, in milliseconds. */
    readonly getLimitMs: () => number;
    readonly onIdle: () => void;
}

/**
 * Calls back once nothing has arrived for a time.
 * @remarks A restart only notes the time, and a timer that fires too early is set again. A body may arrive in many
 * thousand pieces a second, and a timer for each of them would take a large part of the processor time.
 */
export class IdleTimer {
    private restartedAt = 0;
    private cancel: loop.Cancel | undefined;

    constructor(private readonly options: CreateIdleTimerOptions) {}

    /** Counts the idle time from now. */
    restart(): void {
        this.restartedAt = this.options.clock.getNow();
        if (this.cancel === undefined) {
            this.scheduleCheck(this.options.getLimitMs());
        }
    }

    /** Stops until the next restart. */
    stop(): void {
        this.cancel?.();
        this.cancel = undefined;
    }

    private scheduleCheck(delayMs: number): void {
        this.cancel = this.options.loop.scheduleOnce(Math.min(delayMs, maximumCheckIntervalMs), () => this.checkIdle());
    }

    private checkIdle(): void {
        const remainingMs = this.restartedAt + this.options.getLimitMs() - this.options.clock.getNow();
        if (remainingMs > 0) {
            this.scheduleCheck(remainingMs);
            return;
        }
        this.cancel = undefined;
        this.options.onIdle();
    }
}
