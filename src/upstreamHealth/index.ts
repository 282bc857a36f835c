/** The plug-in that shares health estimates of upstreams between instances and chooses upstreams by them. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as upstreamHealth from "./upstreamHealth.js";

export { chooseByExpectedCost } from "./chooseByExpectedCost.js";
export { HealthEstimate } from "./healthEstimate.js";
export { UpstreamHealth } from "./upstreamHealth.js";
export { UpstreamHealthTable } from "./upstreamHealthTable.js";

/** The service key of the health sharing, which is registered only if the setting `detection` is `fresh`. */
export const upstreamHealthKey = serviceRegistry.createServiceKey<upstreamHealth.UpstreamHealth>("standing");

plugins.registerPlugin({
    name: "standing",
    dependsOn: ["configuration", "peers", "pool"],
    create: context => {
        if (context.settings.detection !== "fresh") {
            return {};
        }
        const created = new upstreamHealth.UpstreamHealth({
            context,
            pool: context.services.getService(pool.poolKey),
            mesh: context.services.getService(peers.meshKey),
            configuration: context.services.getService(configuration.configurationKey),
        });
        context.services.setService(upstreamHealthKey, created);
        return { start: async () => created.start(), getDump: () => created.getDump() };
    },
});
