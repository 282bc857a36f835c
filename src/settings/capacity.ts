/** The capacity of an instance by its settings. */

import type * as serveSettings from "./serveSettings.js";

/** The link rate that one core keeps busy: 500 requests a second with 5 KB for request and response, which is assumed, not measured. */
const linkMbpsPerCore = 20;

/** Returns the capacity that the settings give, in cores of usual speed; undefined if they give none. */
export function computeCapacity({ capacityCores, capacityCoreSpeed, capacityLinkMbps }: Pick<serveSettings.ServeSettings, "capacityCores" | "capacityCoreSpeed" | "capacityLinkMbps">): number | undefined {
    const limits = [capacityCores * capacityCoreSpeed, capacityLinkMbps / linkMbpsPerCore].filter(limit => limit > 0);
    return limits.length === 0 ? undefined : Math.min(...limits);
}
