/** The plug-in that shares what instances see of upstreams, and chooses by it. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as services from "../kernel/services.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as standing from "./standing.js";

export { Belief } from "./belief.js";
export { chooseByStanding } from "./chooseByStanding.js";
export { Standing } from "./standing.js";
export { StandingTable } from "./standingTable.js";

/** The key of the standing service; offered where the settings choose it. */
export const standingKey = services.createKey<standing.Standing>("standing");

plugins.registerPlugin({
    name: "standing",
    dependsOn: ["configuration", "peers", "pool"],
    create: shared => {
        if (shared.settings.detection !== "fresh") {
            return {};
        }
        const created = new standing.Standing({
            context: shared,
            pool: shared.services.getService(pool.poolKey),
            mesh: shared.services.getService(peers.meshKey),
            configuration: shared.services.getService(configuration.configurationKey),
        });
        shared.services.setService(standingKey, created);
        return { start: async () => created.start(), getDump: () => created.getDump() };
    },
});
