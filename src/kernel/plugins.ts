/** The registry that plug-ins add themselves to when their folder is imported. */

import type * as settings from "../settings/index.js";
import type * as context from "./context.js";

/** A running plug-in. */
export interface RunningPlugin {
    /** Opens ports and starts timers. */
    readonly start?: () => Promise<void>;
    /** Takes over changed settings, as far as a running process can. */
    readonly setSettings?: (changed: settings.ServeSettings) => void;
    /** Takes no new work and finishes what is in flight. */
    readonly drain?: () => Promise<void>;
    /** Closes everything. */
    readonly stop?: () => Promise<void>;
    /** Returns the plug-in's state for the dump; plain data. */
    readonly getDump?: () => unknown;
}

/** A plug-in's description. */
export interface Plugin {
    /** The name, also the key of its part of the dump. */
    readonly name: string;
    /** The plug-ins whose services it uses; they start before it and stop after it. */
    readonly dependsOn: readonly string[];
    /** Creates the running plug-in and offers its services. */
    readonly create: (context: context.Context) => RunningPlugin;
}

const plugins = new Map<string, Plugin>();

/**
 * Registers a plug-in.
 * @param plugin - Its description.
 */
export function registerPlugin(plugin: Plugin): void {
    plugins.set(plugin.name, plugin);
}

/** Lists the registered plug-ins, each after those it depends on. */
export function listPlugins(): readonly Plugin[] {
    const sorted = new Map<string, Plugin>();
    const addWithDependencies = (plugin: Plugin) => {
        if (sorted.has(plugin.name)) {
            return;
        }
        for (const name of plugin.dependsOn) {
            const dependency = plugins.get(name);
            if (dependency === undefined) {
                throw new Error(`plug-in ${plugin.name} depends on ${name}, which is not registered`);
            }
            addWithDependencies(dependency);
        }
        sorted.set(plugin.name, plugin);
    };
    [...plugins.values()].sort((a, b) => a.name.localeCompare(b.name)).forEach(addWithDependencies);
    return [...sorted.values()];
}
