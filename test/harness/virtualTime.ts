/** A clock with timers that advances only on demand. */

import type * as loop from "../../src/kernel/loop.js";

/** Monotonic time in milliseconds, and the timers of a loop. */
export class VirtualTime {
    now = 1_000;
    private tasks: { readonly at: number; readonly run: () => void; }[] = [];

    readonly scheduleOnce = (delayMs: number, task: () => void): loop.Cancel => {
        const entry = { at: this.now + delayMs, run: task };
        this.tasks.push(entry);
        return () => {
            this.tasks = this.tasks.filter(scheduled => scheduled !== entry);
        };
    };

    readonly scheduleRepeatedly = (intervalMs: number, task: () => void): void => {
        this.scheduleOnce(intervalMs, () => {
            task();
            this.scheduleRepeatedly(intervalMs, task);
        });
    };

    /** Advances the clock and runs the timers that become due. */
    addTime(durationMs: number): void {
        const until = this.now + durationMs;
        while (true) {
            const next = this.tasks.filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0];
            if (next === undefined) {
                break;
            }
            this.tasks = this.tasks.filter(scheduled => scheduled !== next);
            this.now = next.at;
            next.run();
        }
        this.now = until;
    }
}
