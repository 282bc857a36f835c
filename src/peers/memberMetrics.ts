/** The metric of the fleet's instances. */

import * as promClient from "prom-client";
import type * as members from "./members.js";

/**
 * Creates the gauge of known instances, which is read anew at each collection.
 * @param registry - Where it is registered.
 * @param listMembers - Returns the known instances, this one included.
 */
export function createMemberGauge(registry: promClient.Registry, listMembers: () => readonly members.Member[]): void {
    const gauge: promClient.Gauge<"state"> = new promClient.Gauge({
        name: "agatebend_members",
        help: "Known instances by state, this one included.",
        labelNames: ["state"],
        registers: [registry],
        collect: () => {
            gauge.reset();
            listMembers().forEach(known => gauge.inc({ state: known.state }));
        },
    });
}
