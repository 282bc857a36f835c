/** Metrics of the active configuration. */

import * as promClient from "prom-client";
import type * as context from "../kernel/context.js";
import type * as configurationState from "./configurationState.js";

const millisecondsPerSecond = 1_000;

/** Creates the gauges of the active version and its age. Their values are computed at each collection. */
export function createConfigurationGauges({ clock, metrics }: context.Context, state: configurationState.ConfigurationState): void {
    let activeSince = clock.getNow();
    state.addListener(() => {
        activeSince = clock.getNow();
    });
    const version: promClient.Gauge = new promClient.Gauge({ name: "agatebend_configuration_version", help: "The configuration version in force; 0 before the first.", registers: [metrics], collect: () => version.set(state.getVersion()) });
    const age: promClient.Gauge = new promClient.Gauge({
        name: "agatebend_configuration_age_seconds",
        help: "Seconds since the version in force came into force here.",
        registers: [metrics],
        collect: () => age.set((clock.getNow() - activeSince) / millisecondsPerSecond),
    });
}

/** Creates the counter of entries that a configuration of another program holds and this instance does not use. */
export function createOmissionCounter({ metrics }: context.Context): promClient.Counter {
    return new promClient.Counter({ name: "agatebend_configuration_entries_omitted_total", help: "Entries of the configuration that are not used, because their kind is unknown or they are unusable.", registers: [metrics] });
}
