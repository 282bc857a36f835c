/** Loops that must run as long as the process: an exception restarts them, and a metric shows how long ago each made progress. */

import * as promClient from "prom-client";
import type * as context from "./context.js";
import * as errors from "./errors.js";

/** Pause before a loop continues after an exception. */
const restartDelayMs = 250;
const millisecondsPerSecond = 1_000;

/** Options of a supervised loop. */
export interface CreateSupervisedLoopOptions {
    readonly context: context.Context;
    /** The name in logs and metrics. */
    readonly name: string;
    /** Makes one step and returns the delay before the next one, in milliseconds. */
    readonly runStep: () => Promise<number>;
    /** Returns whether the loop has anything to do; it ends if not, until it is started again. */
    readonly isNeeded: () => boolean;
}

/** The time of the last step by loop, for each registry of metrics. */
const lastStepTimes = new WeakMap<promClient.Registry, Map<string, () => number>>();

/** Runs steps one after the other. A step that throws is logged and does not end the loop. */
export class SupervisedLoop {
    private isRunning = false;
    private lastStepAt: number;

    constructor(private readonly options: CreateSupervisedLoopOptions) {
        this.lastStepAt = options.context.clock.getNow();
        getLoopAges(options.context).set(options.name, () => this.isRunning ? options.context.clock.getNow() - this.lastStepAt : 0);
    }

    /** Starts the loop if it is not running. */
    start(): void {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        void this.runSteps();
    }

    private async runSteps(): Promise<void> {
        while (this.options.isNeeded()) {
            await this.wait(await this.runStep());
        }
        this.isRunning = false;
    }

    private async runStep(): Promise<number> {
        const { context: { clock, logger }, name, runStep } = this.options;
        this.lastStepAt = clock.getNow();
        try {
            return await runStep();
        }
        catch (thrown) {
            logger.writeError("loop-restarted", `the loop ${name} threw an error and continues in ${restartDelayMs} ms`, { loop: name, error: errors.getErrorMessage(thrown) });
            return restartDelayMs;
        }
    }

    private wait(delayMs: number): Promise<void> {
        return delayMs === 0 ? Promise.resolve() : new Promise(resolve => this.options.context.loop.scheduleOnce(delayMs, resolve));
    }
}

/** Returns the ages of the loops of a process, which one gauge shows. */
function getLoopAges({ metrics }: context.Context): Map<string, () => number> {
    const known = lastStepTimes.get(metrics);
    if (known !== undefined) {
        return known;
    }
    const ages = new Map<string, () => number>();
    lastStepTimes.set(metrics, ages);
    const gauge: promClient.Gauge<"loop"> = new promClient.Gauge({
        name: "agatebend_loop_age_seconds",
        help: "Seconds since each loop that must run as long as the process began its last step.",
        labelNames: ["loop"],
        registers: [metrics],
        collect: () => ages.forEach((getAgeMs, loop) => gauge.set({ loop }, getAgeMs() / millisecondsPerSecond)),
    });
    return ages;
}
