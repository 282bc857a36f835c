/** Metrics of the configuration in force. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as configurationState from "./configurationState.js";

const millisecondsPerSecond = 1_000;

/**
 * Creates the gauges of the version in force and of its age, which are read anew at each collection.
 * @param shared - The process's objects.
 * @param state - The configuration's state.
 */
export function createConfigurationGauges({ clock, metrics }: context.Context, state: configurationState.ConfigurationState): void {
    let inForceSince = clock.getNow();
    state.addListener(() => {
        inForceSince = clock.getNow();
    });
    const version: promClient.Gauge = new promClient.Gauge({ name: "agatebend_configuration_version", help: "The configuration version in force; 0 before the first.", registers: [metrics], collect: () => version.set(state.getVersion()) });
    const age: promClient.Gauge = new promClient.Gauge({
        name: "agatebend_configuration_age_seconds",
        help: "Seconds since the version in force came into force here.",
        registers: [metrics],
        collect: () => age.set((clock.getNow() - inForceSince) / millisecondsPerSecond),
    });
}
