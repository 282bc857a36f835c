/** The plug-in that maintains the upstreams of every service. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as leavingUpstreams from "./leavingUpstreams.js";
import * as peers from "../peers/index.js";
import * as pool from "./pool.js";
import * as poolMetrics from "./poolMetrics.js";

export { chooseUpstream, type ChooseUpstreamOptions } from "./chooseUpstream.js";
export type { LeavingCause } from "./leavingMarks.js";
export { LeavingUpstreams, leavingUpstreamsKey } from "./leavingUpstreams.js";
export { computeOverdueAgeMs } from "./overdue.js";
export { type AttemptObserver, type DiscoveredUpstream, Pool, poolKey, type ServicePool } from "./pool.js";
export type { AttemptOutcome, AttemptRecord, Routability, UpstreamKey } from "./types.js";
export { Upstream } from "./upstream.js";

plugins.registerPlugin({
    name: "pool",
    dependsOn: ["configuration", "peers"],
    create: context => {
        const created = new pool.Pool(context);
        poolMetrics.createUpstreamGauge(context, created);
        const leaving = new leavingUpstreams.LeavingUpstreams({ context, pool: created, mesh: context.services.getService(peers.meshKey) });
        context.services.setService(pool.poolKey, created);
        context.services.setService(leavingUpstreams.leavingUpstreamsKey, leaving);
        context.services.getService(configuration.configurationKey).addListener(({ document }) => created.setConfiguration(document));
        return { start: async () => leaving.start(), getDump: () => created.getDump() };
    },
});
