/** Timers on the process's event loop, which are all cancelled when the process stops. */

import type * as clock from "./clock.js";
import * as errors from "./errors.js";
import type * as logger from "./logger.js";

/** A timer that fires later than this was delayed by a stall: the process was suspended or short of CPU time. The value is well above the duration of a busy event loop iteration. */
const lateThresholdMs = 50;

/** Cancels a timer. */
export type Cancel = () => void;

/** Options of `Loop`. */
export interface CreateLoopOptions {
    readonly clock: clock.Clock;
    readonly getLogger: () => logger.Logger;
}

/** Options of a task that runs once. */
export interface ScheduleOnceOptions {
    /**
     * Whether pending input is read before the task, even if it is not late. For time-outs of other processes: while one iteration
     * of the event loop lasts, their answers are not read, however little the time-out itself is late.
     */
    readonly readsInputFirst?: boolean;
}

/**
 * Schedules tasks on the process's event loop.
 * @remarks A one-time task that is late runs only after pending input has been read. Otherwise a timeout could expire
 * although the response had already arrived.
 */
export class Loop {
    private readonly cancelFunctions = new Set<Cancel>();
    private isStopped = false;

    constructor(private readonly options: CreateLoopOptions) {}

    /**
     * Runs a task once.
     * @param delayMs - Delay in milliseconds.
     */
    scheduleOnce(delayMs: number, task: () => void, { readsInputFirst = false }: ScheduleOnceOptions = {}): Cancel {
        let immediate: NodeJS.Immediate | undefined;
        const run = () => {
            this.cancelFunctions.delete(cancel);
            this.runTask(task);
        };
        const dueAt = this.options.clock.getNow() + delayMs;
        const timer = setTimeout(() => {
            if (readsInputFirst || this.isLate(dueAt)) {
                immediate = setImmediate(run);
                return;
            }
            run();
        }, delayMs);
        const cancel = () => {
            clearTimeout(timer);
            clearImmediate(immediate);
            this.cancelFunctions.delete(cancel);
        };
        return this.addCancel(cancel);
    }

    /**
     * Runs a task periodically. A late run is not postponed: a periodic check must notice a stall of the process before
     * the input that arrived during the stall is read.
     * @param intervalMs - Time between two runs in milliseconds.
     */
    scheduleRepeatedly(intervalMs: number, task: () => void): Cancel {
        const timer = setInterval(() => this.runTask(task), intervalMs);
        const cancel = () => {
            clearInterval(timer);
            this.cancelFunctions.delete(cancel);
        };
        return this.addCancel(cancel);
    }

    /** Cancels every timer; timers that are scheduled later are cancelled immediately. */
    stop(): void {
        this.isStopped = true;
        [...this.cancelFunctions].forEach(cancel => cancel());
    }

    private isLate(dueAt: number): boolean {
        return this.options.clock.getNow() - dueAt > lateThresholdMs;
    }

    private addCancel(cancel: Cancel): Cancel {
        this.cancelFunctions.add(cancel);
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
            this.options.getLogger().writeError("task-failed", "a scheduled task threw an error", { error: errors.getErrorMessage(thrown) });
        }
    }
}
