/** The plug-in registry. A plug-in registers itself when its folder is imported. */

import type * as settings from "../settings/index.js";
import type * as context from "./context.js";

/** A graceful shutdown of the process. */
export interface Shutdown {
    /** When it was requested, in monotonic milliseconds; before `startedAt` if the process was stalled meanwhile. */
    readonly requestedAt: number;
    /** The earliest time at which it may have been requested, in monotonic milliseconds; before `requestedAt` after a long stall. */
    readonly earliestRequestAt: number;
    /** When its first step ran, in monotonic milliseconds. */
    readonly startedAt: number;
    /** When the shutdown ends and what is still in flight is cut, in monotonic milliseconds. */
    readonly endsAt: number;
    /** Until when responses that upstreams have sent are still read, if a stall delayed the end. */
    readonly readsEndAt: number;
    /** When requests that are still taken must end, in monotonic milliseconds; before `endsAt` if the platform may kill the process before that. */
    readonly admitsUntil: number;
    /** When connections on which a response is still being written are closed at the latest. */
    readonly closesAt: number;
    /** When the process exits at the latest. */
    readonly exitsAt: number;
}

/** A running plug-in. */
export interface RunningPlugin {
    /** Starts timers and opens the ports for peers. */
    readonly start?: () => Promise<void>;
    /** Waits, for a limited time, for what must be known before the ports for callers open; called after every plug-in has started. */
    readonly waitUntilReady?: () => Promise<void>;
    /** Opens the ports for callers and operators, without waiting for other systems. */
    readonly open?: () => Promise<void>;
    /** Applies changed settings, as far as that is possible without a restart. */
    readonly setSettings?: (changed: settings.ServeSettings) => void;
    /** Accepts no new work and completes the work in flight, until the shutdown ends. */
    readonly drain?: (shutdown: Shutdown) => Promise<void>;
    /** Closes ports and connections. */
    readonly stop?: (shutdown: Shutdown) => Promise<void>;
    /** Returns the plug-in's state for the dump, as plain data. */
    readonly getDump?: () => unknown;
}

/** Describes a plug-in to the kernel. */
export interface Plugin {
    /** Also the key of the plug-in's section in the dump. */
    readonly name: string;
    /** Names of the plug-ins whose services this one uses; they start before it and stop after it. */
    readonly dependsOn: readonly string[];
    /** Creates the running plug-in and registers its services. */
    readonly create: (context: context.Context) => RunningPlugin;
}

const registeredPlugins = new Map<string, Plugin>();

/** Registers a plug-in, replacing an earlier one of the same name. */
export function registerPlugin(plugin: Plugin): void {
    registeredPlugins.set(plugin.name, plugin);
}

/** Lists the registered plug-ins in dependency order. */
export function listPlugins(): readonly Plugin[] {
    const sorted = new Map<string, Plugin>();
    const addWithDependencies = (plugin: Plugin) => {
        if (sorted.has(plugin.name)) {
            return;
        }
        for (const name of plugin.dependsOn) {
            const dependency = registeredPlugins.get(name);
            if (dependency === undefined) {
                throw new Error(`plug-in ${plugin.name} depends on ${name}, which is not registered`);
            }
            addWithDependencies(dependency);
        }
        sorted.set(plugin.name, plugin);
    };
    [...registeredPlugins.values()].sort((a, b) => a.name.localeCompare(b.name)).forEach(addWithDependencies);
    return [...sorted.values()];
}
