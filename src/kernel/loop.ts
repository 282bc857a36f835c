/** Timers of the process's one event loop, all cancelled together at a stop. */

import type * as clock from "./clock.js";
import * as errors from "./errors.js";
import type * as logger from "./logger.js";

/** A timer that fires this much late was held up: the process stood still or was short of processor time. In milliseconds; well over a busy turn of the loop. */
const heldUpMs = 50;

/** Cancels a timer. */
export type Cancel = () => void;

/** Options of a loop. */
export interface CreateLoopOptions {
    readonly clock: clock.Clock;
    readonly getLogger: () => logger.Logger;
}

/**
 * Runs tasks later on the one thread.
 * @remarks A task that runs once and was held up runs only after what has arrived meanwhile is read, so that a time
 * limit does not overtake the answer that lies ready.
 */
export class Loop {
    private readonly cancels = new Set<Cancel>();
    private isStopped = false;

    constructor(private readonly options: CreateLoopOptions) {}

    /**
     * Runs a task once.
     * @param delayMs - Milliseconds until then.
     * @param task - The task.
     */
    scheduleOnce(delayMs: number, task: () => void): Cancel {
        let immediate: NodeJS.Immediate | undefined;
        const run = () => {
            this.cancels.delete(cancel);
            this.runTask(task);
        };
        const dueAt = this.options.clock.getNow() + delayMs;
        const timer = setTimeout(() => {
            if (this.isHeldUp(dueAt)) {
                immediate = setImmediate(run);
                return;
            }
            run();
        }, delayMs);
        const cancel = () => {
            clearTimeout(timer);
            clearImmediate(immediate);
            this.cancels.delete(cancel);
        };
        return this.addCancel(cancel);
    }

    /**
     * Runs a task again and again; a look at what is believed, it notices a standstill before anything that lay ready is read.
     * @param intervalMs - Milliseconds between two runs.
     * @param task - The task.
     */
    scheduleRepeatedly(intervalMs: number, task: () => void): Cancel {
        const timer = setInterval(() => this.runTask(task), intervalMs);
        const cancel = () => {
            clearInterval(timer);
            this.cancels.delete(cancel);
        };
        return this.addCancel(cancel);
    }

    /** Cancels every timer; later ones are cancelled at once. */
    stop(): void {
        this.isStopped = true;
        [...this.cancels].forEach(cancel => cancel());
    }

    private isHeldUp(dueAt: number): boolean {
        return this.options.clock.getNow() - dueAt > heldUpMs;
    }

    private addCancel(cancel: Cancel): Cancel {
        this.cancels.add(cancel);
        if (this.isStopped) {
            cancel();
        }
        return cancel;
    }

    private runTask(task: () => void): void {
        try {
            task();
        }
        catch (thrown) {
            this.options.getLogger().writeError("task-failed", "a scheduled task threw", { error: errors.getErrorMessage(thrown) });
        }
    }
}
