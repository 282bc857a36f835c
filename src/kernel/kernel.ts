/** Starts, drains and stops the plug-ins of one process. */

import * as promClient from "prom-client";
import type * as settings from "../settings/index.js";
import * as clock from "./clock.js";
import type * as context from "./context.js";
import * as events from "./events.js";
import * as logger from "./logger.js";
import * as logSink from "./logSink.js";
import * as loop from "./loop.js";
import * as plugins from "./plugins.js";
import * as randomness from "./randomness.js";
import * as serviceRegistry from "./serviceRegistry.js";

/** Milliseconds between two looks at whether the process stood still. */
const stillLookMs = 250;
/** A gap of this many milliseconds beyond a look is told in a log line, since it explains what follows. */
const stillMs = 1_000;

/** The longest wait for the reader of the log before the process ends, in milliseconds. */
const lastLinesMs = 200;

/** Where the process is in its life. */
export type LifecycleState = "starting" | "running" | "draining" | "stopped";

/** What plug-ins may ask of the process's lifecycle. */
export interface Lifecycle {
    /** Returns the current state. */
    readonly getState: () => LifecycleState;
    /** Begins the graceful shutdown; repeats join the first. */
    readonly drain: () => Promise<void>;
    /** Returns the state of every plug-in. */
    readonly getDump: () => Readonly<Record<string, unknown>>;
}

/** The key of the lifecycle service. */
export const lifecycleKey = serviceRegistry.createServiceKey<Lifecycle>("lifecycle");

/** The kernel of one process. */
export class Kernel implements Lifecycle {
    /** What plug-ins are given. */
    readonly context: context.Context;
    private readonly instances: { readonly name: string; readonly instance: plugins.RunningPlugin; }[] = [];
    private state: LifecycleState = "starting";
    private draining?: Promise<void>;
    private readonly stopListeners: (() => void)[] = [];
    private readonly sink: logSink.LogSink;

    constructor(options: settings.ServeSettings) {
        const time = clock.createSystemClock();
        this.sink = new logSink.LogSink({ clock: time });
        this.context = createContext(options, time, this.sink);
        this.context.services.setService(lifecycleKey, {
            getState: () => this.getState(),
            drain: () => this.drain(),
            getDump: () => this.getDump(),
        });
    }

    /** Creates and starts every registered plug-in, in the order of their dependencies. */
    async start(): Promise<void> {
        const { identity, logger: log } = this.context;
        for (const plugin of plugins.listPlugins()) {
            this.instances.push({ name: plugin.name, instance: plugin.create(this.context) });
        }
        for (const { instance } of this.instances) {
            await instance.start?.();
        }
        this.state = "running";
        this.watchStandstill();
        log.writeInfo("instance-started", `instance ${identity.instanceId} runs`, { version: process.version });
    }

    /**
     * Tells the plug-ins that the settings have changed.
     * @param changed - The settings as they are now.
     */
    setSettings(changed: settings.ServeSettings): void {
        this.instances.forEach(({ instance }) => instance.setSettings?.(changed));
    }

    /** Returns the current state. */
    getState(): LifecycleState {
        return this.state;
    }

    /** Drains every plug-in, the outermost first, then stops them all. */
    drain(): Promise<void> {
        this.draining ??= this.drainAndStop();
        return this.draining;
    }

    /**
     * Calls back when the graceful shutdown is complete.
     * @param listener - The callback.
     */
    addStopListener(listener: () => void): void {
        this.stopListeners.push(listener);
    }

    /** Returns the state of every plug-in. */
    getDump(): Readonly<Record<string, unknown>> {
        const parts = this.instances.map(({ name, instance }) => [name, instance.getDump?.()] as const);
        const { identity, clock: time } = this.context;
        return {
            instance: { ...identity, state: this.state, wallTimeMs: time.getWallTime(), rssBytes: process.memoryUsage.rss() },
            ...Object.fromEntries(parts.filter(([, part]) => part !== undefined)),
        };
    }

    /** A process that was suspended or starved tells so afterwards. */
    private watchStandstill(): void {
        const { loop: timers, clock: time, logger: log } = this.context;
        let lookedAt = time.getNow();
        timers.scheduleRepeatedly(stillLookMs, () => {
            const gapMs = time.getNow() - lookedAt;
            lookedAt = time.getNow();
            if (gapMs - stillLookMs < stillMs) {
                return;
            }
            log.writeWarning("process-stood-still", `the process stood still for ${Math.round(gapMs)} ms`, { gapMs: Math.round(gapMs) });
        });
    }

    private async drainAndStop(): Promise<void> {
        this.state = "draining";
        this.context.logger.writeInfo("instance-draining", "the graceful shutdown began");
        const outermostFirst = [...this.instances].reverse();
        for (const { instance } of outermostFirst) {
            await instance.drain?.();
        }
        this.context.loop.stop();
        for (const { instance } of outermostFirst) {
            await instance.stop?.();
        }
        this.state = "stopped";
        this.context.logger.writeInfo("instance-stopped", "the graceful shutdown is complete");
        await this.sink.waitUntilWritten(lastLinesMs);
        this.stopListeners.forEach(listener => listener());
    }
}

function createContext(options: settings.ServeSettings, time: clock.Clock, sink: logSink.LogSink): context.Context {
    const random = randomness.createSystemRandomness();
    const identity = {
        instanceId: options.instanceId === "" ? `i-${random.getIdentifier(6)}` : options.instanceId,
        incarnation: time.getWallTime(),
        failureDomain: options.failureDomain,
    };
    const eventLog = new events.EventLog();
    const metrics = new promClient.Registry();
    const droppedLines: promClient.Counter = new promClient.Counter({
        name: "agatebend_log_lines_dropped_total",
        help: "Log lines dropped over the limits.",
        registers: [metrics],
        collect: () => {
            droppedLines.reset();
            droppedLines.inc(sink.countDroppedLines());
        },
    });
    const log = logger.createLogger({
        level: options.logLevel,
        values: { instance: identity.instanceId, failureDomain: identity.failureDomain },
        sink,
        onRecord: record => eventLog.addRecord(record, time.getWallTime()),
    });
    return {
        settings: options,
        identity,
        clock: time,
        randomness: random,
        logger: log,
        loop: new loop.Loop({ clock: time, getLogger: () => log }),
        metrics,
        services: new serviceRegistry.ServiceRegistry(),
        eventLog: eventLog,
    };
}
