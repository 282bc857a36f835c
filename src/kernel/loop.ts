/** Timers of the process's one event loop, all cancelled together at a stop. */

import type * as logger from "./logger.js";
import * as errors from "./errors.js";

/** Cancels a timer. */
export type Cancel = () => void;

/** Runs tasks later on the one thread. */
export class Loop {
    private readonly cancels = new Set<Cancel>();
    private isStopped = false;

    constructor(private readonly getLogger: () => logger.Logger) {}

    /**
     * Runs a task once.
     * @param delayMs - Milliseconds until then.
     * @param task - The task.
     */
    scheduleOnce(delayMs: number, task: () => void): Cancel {
        const timer = setTimeout(() => {
            this.cancels.delete(cancel);
            this.runTask(task);
        }, delayMs);
        const cancel = () => {
            clearTimeout(timer);
            this.cancels.delete(cancel);
        };
        return this.addCancel(cancel);
    }

    /**
     * Runs a task again and again.
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
            this.getLogger().writeError("task-failed", "a scheduled task threw", { error: errors.getThrownMessage(thrown) });
        }
    }
}
