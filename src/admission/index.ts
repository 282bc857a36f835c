/** The plug-in that queues requests by rank. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as admission from "./admission.js";
import * as pressure from "./pressure.js";

export { Admission, admissionKey } from "./admission.js";
export type { Allowance, RankDemand, Slot, SlotRequest } from "./types.js";

plugins.registerPlugin({
    name: "admission",
    dependsOn: ["configuration", "peers", "pool"],
    create: shared => {
        const upstreamPool = shared.services.getService(pool.poolKey);
        const configurations = shared.services.getService(configuration.configurationKey);
        const allowance: pressure.Pressure = new pressure.Pressure({
            context: shared,
            mesh: shared.services.getService(peers.meshKey),
            pool: upstreamPool,
            configuration: configurations,
            getDemand: () => created.getDemand(),
        });
        const created: admission.Admission = new admission.Admission({ context: shared, pool: upstreamPool, configuration: configurations, allowance });
        shared.services.setService(admission.admissionKey, created);
        return { start: async () => allowance.start(), getDump: () => ({ queues: created.getDump(), parts: allowance.getDump() }) };
    },
});
