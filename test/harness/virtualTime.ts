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
        while (this.runNext(until)) {
            // Each timer may schedule others that become due as well.
        }
        this.now = until;
    }

    /** Advances the clock like `addTime`, and runs the pending promise callbacks after each timer, as Node.js does. */
    async runTime(durationMs: number, runPending: () => Promise<void>): Promise<void> {
        const until = this.now + durationMs;
        while (this.runNext(until)) {
            await runPending();
        }
        this.now = until;
    }

    private runNext(until: number): boolean {
        const next = this.tasks.filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0];
        if (next === undefined) {
            return false;
        }
        this.tasks = this.tasks.filter(scheduled => scheduled !== next);
        this.now = next.at;
        next.run();
        return true;
    }
}
