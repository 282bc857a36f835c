/** The plug-in that detects and ejects upstreams that fail live requests. */

import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as outlierDetector from "./outlierDetector.js";

plugins.registerPlugin({
    name: "detection",
    dependsOn: ["peers", "pool"],
    create: context => {
        if (context.settings.detection === "fresh") {
            return {};
        }
        const created = new outlierDetector.OutlierDetector({
            context,
            pool: context.services.getService(pool.poolKey),
            mesh: context.services.getService(peers.meshKey),
        });
        return { start: async () => created.start(), getDump: () => created.getDump() };
    },
});
