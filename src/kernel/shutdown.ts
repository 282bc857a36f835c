/** The graceful shutdown: when it ends, and in which order plug-ins drain. */

import type * as settings from "../settings/index.js";
import * as errors from "./errors.js";
import type * as logger from "./logger.js";
import type * as plugins from "./plugins.js";

/** Time before the platform kills the process in which connections close and the last log lines are written. */
const exitReserveMs = 400;
/** The part of the reserve, from its beginning, in which the other ports' responses may still be written. */
const finalResponsesMs = 100;
/** The part of the reserve, from its beginning, after which the process exits; the rest is for a process that is short of CPU time. */
const exitMs = 250;
const millisecondsPerSecond = 1_000;

/**
 * By how much a shutdown is shortened at most because its first step was delayed. The platform excuses cut requests only in
 * the last sixth of its grace, 1 s of 6; with the reserve and a margin for the network, this is what is left of it.
 */
const maximumShorteningMs = 550;

/** Options of computing a shutdown. Times are in monotonic milliseconds. */
export interface ComputeShutdownOptions {
    readonly settings: Pick<settings.ServeSettings, "drainTimeoutMs" | "killAfterS">;
    /** When the shutdown was requested. */
    readonly requestedAt: number;
    /** The earliest time at which it may have been requested. */
    readonly earliestRequestAt: number;
    /** When its first step ran. */
    readonly startedAt: number;
}

/** Computes when a graceful shutdown ends. The platform counts the time until it kills the process from the request. */
export function computeShutdown({ settings: { drainTimeoutMs, killAfterS }, requestedAt, earliestRequestAt, startedAt }: ComputeShutdownOptions): plugins.Shutdown {
    const servedMs = killAfterS === 0 ? Infinity : killAfterS * millisecondsPerSecond - exitReserveMs;
    const countedFrom = Math.max(requestedAt, startedAt - maximumShorteningMs);
    const endsAt = Math.min(startedAt + drainTimeoutMs, Math.max(startedAt, countedFrom + servedMs));
    // What is in flight may finish as long as the process lives, but nothing is taken that the platform might cut.
    const admitsUntil = Math.min(endsAt, earliestRequestAt + servedMs);
    // A delay that did not shorten the shutdown has used up a part of the reserve.
    const readsEndAt = Math.max(endsAt, endsAt + exitMs - (countedFrom - requestedAt));
    return { requestedAt, earliestRequestAt, startedAt, endsAt, admitsUntil, readsEndAt, closesAt: endsAt + finalResponsesMs, exitsAt: endsAt + exitMs };
}

/** A plug-in that is to drain. */
export interface DrainingPlugin {
    readonly name: string;
    readonly dependsOn: readonly string[];
    readonly plugin: Pick<plugins.RunningPlugin, "drain">;
}

/** Options of draining the plug-ins. */
export interface DrainPluginsOptions {
    /** The plug-ins in dependency order. */
    readonly plugins: readonly DrainingPlugin[];
    readonly shutdown: plugins.Shutdown;
    readonly logger: logger.Logger;
}

/**
 * Drains every plug-in once all plug-ins that depend on it have drained. Plug-ins that do not depend on each other drain
 * at the same time, so that none is delayed by another one's wait for an external system.
 * @param options - The plug-ins and the shutdown.
 */
export async function drainPlugins({ plugins: draining, shutdown, logger: log }: DrainPluginsOptions): Promise<void> {
    const drained = new Map<string, Promise<void>>();
    for (const { name, plugin } of [...draining].reverse()) {
        const dependents = draining.filter(({ dependsOn }) => dependsOn.includes(name)).flatMap(dependent => drained.get(dependent.name) ?? []);
        const runDrain = async () => {
            await Promise.all(dependents);
            await plugin.drain?.(shutdown);
        };
        drained.set(name, runDrain().catch((thrown: unknown) => log.writeError("plugin-drain-failed", `the plug-in ${name} failed to drain; the shutdown goes on without it`, { plugin: name, error: errors.getErrorMessage(thrown) })));
    }
    await Promise.all(drained.values());
}
