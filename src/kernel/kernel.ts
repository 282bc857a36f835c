/** Creates, starts, drains and stops the plug-ins of the process. */

import * as promClient from "prom-client";
import type * as settings from "../settings/index.js";
import * as clock from "./clock.js";
import type * as context from "./context.js";
import * as events from "./events.js";
import * as heldBytes from "./heldBytes.js";
import * as logger from "./logger.js";
import * as logSink from "./logSink.js";
import * as loop from "./loop.js";
import * as plugins from "./plugins.js";
import * as randomness from "./randomness.js";
import * as serviceRegistry from "./serviceRegistry.js";
import * as shutdown from "./shutdown.js";
import * as stallWatch from "./stallWatch.js";

/** Maximum wait for the remaining log lines to be written before the process exits. */
const finalLogFlushTimeoutMs = 200;

/** How long after the end of a shutdown plug-ins may still record what they cut. */
const drainOverrunMs = 50;

const millisecondsPerSecond = 1_000;

/** The lifecycle state of the process. */
export type LifecycleState = "starting" | "running" | "draining" | "stopped";

/** The process's lifecycle, as offered to plug-ins. */
export interface Lifecycle {
    /** Returns the current state. */
    readonly getState: () => LifecycleState;
    /** Starts the graceful shutdown; further calls return the promise of the first. */
    readonly drain: () => Promise<void>;
    /** Returns the state of every plug-in. */
    readonly getDump: () => Readonly<Record<string, unknown>>;
}

/** Key of the lifecycle service. */
export const lifecycleKey = serviceRegistry.createServiceKey<Lifecycle>("lifecycle");

/** Owns the shared context and the plug-ins of the process. */
export class Kernel implements Lifecycle {
    /** The context that is passed to every plug-in. */
    readonly context: context.Context;
    private readonly runningPlugins: { readonly name: string; readonly dependsOn: readonly string[]; readonly plugin: plugins.RunningPlugin; }[] = [];
    private state: LifecycleState = "starting";
    /** Settles when the ports are open; undefined before the first one opens. */
    private openPromise?: Promise<void>;
    private drainPromise?: Promise<void>;
    private readonly stopListeners: (() => void)[] = [];
    private readonly sink: logSink.LogSink;
    private readonly stalls: stallWatch.StallWatch;

    constructor(options: settings.ServeSettings) {
        const systemClock = clock.createSystemClock();
        this.sink = new logSink.LogSink({ clock: systemClock });
        this.context = createContext(options, systemClock, this.sink);
        this.stalls = new stallWatch.StallWatch(this.context);
        this.context.services.setService(lifecycleKey, {
            getState: () => this.getState(),
            drain: () => this.drain(),
            getDump: () => this.getDump(),
        });
    }

    /** Creates and starts every registered plug-in in dependency order. Gives up if a shutdown begins before the ports are opened. */
    async start(): Promise<void> {
        for (const plugin of plugins.listPlugins()) {
            this.runningPlugins.push({ name: plugin.name, dependsOn: plugin.dependsOn, plugin: plugin.create(this.context) });
        }
        for (const { plugin } of this.runningPlugins) {
            await plugin.start?.();
        }
        for (const { plugin } of this.runningPlugins) {
            await plugin.waitUntilReady?.();
        }
        // A signal that came while the process was busy is handled before callers are served.
        await new Promise(resolve => setImmediate(resolve));
        if (this.drainPromise === undefined) {
            this.openPromise = this.openPorts();
            await this.openPromise;
        }
    }

    /**
     * Passes changed settings to the plug-ins.
     * @param changed - The complete new settings.
     */
    setSettings(changed: settings.ServeSettings): void {
        this.runningPlugins.forEach(({ plugin }) => plugin.setSettings?.(changed));
    }

    /** Returns the current state. */
    getState(): LifecycleState {
        return this.state;
    }

    /** Drains the plug-ins, each one after those that depend on it, then stops them all. */
    drain(): Promise<void> {
        this.drainPromise ??= this.drainAndStop();
        return this.drainPromise;
    }

    /**
     * Adds a listener for the end of the graceful shutdown.
     * @param listener - Called once, after every plug-in has stopped.
     */
    addStopListener(listener: () => void): void {
        this.stopListeners.push(listener);
    }

    /** Returns the state of every plug-in. */
    getDump(): Readonly<Record<string, unknown>> {
        const sections = this.runningPlugins.map(({ name, plugin }) => [name, plugin.getDump?.()] as const);
        const { identity, clock: systemClock } = this.context;
        return {
            instance: { ...identity, state: this.state, wallTimeMs: systemClock.getWallTime(), rssBytes: process.memoryUsage.rss() },
            ...Object.fromEntries(sections.filter(([, section]) => section !== undefined)),
        };
    }

    private async openPorts(): Promise<void> {
        const { identity, logger: log } = this.context;
        for (const { plugin } of this.runningPlugins) {
            await plugin.open?.();
        }
        this.state = "running";
        this.stalls.start();
        log.writeInfo("instance-started", `instance ${identity.instanceId} started`, { version: process.version });
    }

    /** Lists the plug-ins to drain. Before the ports open, those that would wait for callers are left out. */
    private async listDrainingPlugins(): Promise<typeof this.runningPlugins> {
        if (this.openPromise === undefined) {
            return this.runningPlugins.filter(({ plugin }) => plugin.open === undefined);
        }
        // `start` reports a failure.
        await this.openPromise.catch(() => {});
        return this.runningPlugins;
    }

    private async drainAndStop(): Promise<void> {
        const { clock: systemClock, loop: timers, logger: log, settings: serveSettings } = this.context;
        const startedAt = systemClock.getNow();
        const current = shutdown.computeShutdown({ settings: serveSettings, requestedAt: this.stalls.getAssumedArrivalAt(), earliestRequestAt: this.stalls.getEarliestArrivalAt(), startedAt });
        const draining = await this.listDrainingPlugins();
        const timeoutMs = Math.round(current.endsAt - startedAt);
        this.state = "draining";
        const killAfterMs = serveSettings.killAfterS === 0 ? undefined : Math.round(serveSettings.killAfterS * millisecondsPerSecond);
        log.writeInfo("instance-draining", "graceful shutdown started", {
            timeoutMs,
            killAfterMs,
            delayMs: Math.round(startedAt - current.requestedAt),
            maximumDelayMs: Math.round(startedAt - current.earliestRequestAt),
            stalledMs: Math.round(this.stalls.getCheckDelayMs()),
        });
        this.stalls.takeLongestStallMs();
        const drained = shutdown.drainPlugins({ plugins: draining, shutdown: current, logger: log });
        // A plug-in that waits for an external system must not delay the exit past the time at which the platform kills the process.
        await Promise.race([drained, this.waitForOverrun(current)]);
        timers.stop();
        this.sink.removeLowSeverityLimit();
        for (const { plugin } of [...this.runningPlugins].reverse()) {
            await plugin.stop?.(current);
        }
        this.state = "stopped";
        const durationMs = Math.round(systemClock.getNow() - startedAt);
        log.writeInfo("instance-stopped", "graceful shutdown completed", { durationMs, overrunMs: Math.max(0, durationMs - timeoutMs), longestStallMs: Math.round(this.stalls.takeLongestStallMs()) });
        await this.sink.waitUntilWritten(Math.min(finalLogFlushTimeoutMs, Math.max(0, current.exitsAt - systemClock.getNow())));
        this.stopListeners.forEach(listener => listener());
    }

    /** Waits until the time of a shutdown is over, and then until plug-ins have had time to end, also after a stall. */
    private waitForOverrun({ endsAt, readsEndAt }: plugins.Shutdown): Promise<void> {
        const { clock: systemClock, loop: timers } = this.context;
        return new Promise(resolve =>
            timers.scheduleOnce(endsAt - systemClock.getNow(), () => {
                const latestAt = Math.max(endsAt + drainOverrunMs, readsEndAt);
                timers.scheduleOnce(Math.max(0, Math.min(drainOverrunMs, latestAt - systemClock.getNow())), resolve);
            })
        );
    }
}

function createContext(options: settings.ServeSettings, systemClock: clock.Clock, sink: logSink.LogSink): context.Context {
    const random = randomness.createSystemRandomness();
    const identity = {
        instanceId: options.instanceId === "" ? `i-${random.getIdentifier(6)}` : options.instanceId,
        incarnation: systemClock.getWallTime(),
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
        onRecord: record => eventLog.addRecord(record, systemClock.getWallTime()),
    });
    return {
        settings: options,
        identity,
        clock: systemClock,
        randomness: random,
        logger: log,
        loop: new loop.Loop({ clock: systemClock, getLogger: () => log }),
        metrics,
        services: new serviceRegistry.ServiceRegistry(),
        eventLog: eventLog,
        heldBytes: new heldBytes.HeldBytes({ limitBytes: heldBytes.computeLimitBytes(options), logger: log, registry: metrics }),
    };
}
