/** The metric that counts the known instances by state. */

import * as promClient from "prom-client";
import type * as members from "./members.js";

/**
 * Creates the gauge of known instances; each scrape computes it again.
 * @param registry - The registry to add the gauge to.
 * @param listMembers - Returns the known instances, including this one.
 */
export function createMemberGauge(registry: promClient.Registry, listMembers: () => readonly members.Member[]): void {
    const gauge: promClient.Gauge<"state"> = new promClient.Gauge({
        name: "agatebend_members",
        help: "Known instances by state, this one included.",
        labelNames: ["state"],
        registers: [registry],
        collect: () => {
            gauge.reset();
            listMembers().forEach(member => gauge.inc({ state: member.state }));
        },
    });
}
