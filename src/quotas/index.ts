/** The plug-in that keeps the requests of a workspace, summed over all instances, within its quota. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as quotaService from "./quotaService.js";

export { type QuotaPermit, type QuotaService, quotaServiceKey } from "./quotaService.js";

plugins.registerPlugin({
    name: "quotas",
    dependsOn: ["configuration", "peers"],
    create: context => {
        const service = new quotaService.QuotaService({
            context,
            mesh: context.services.getService(peers.meshKey),
            configuration: context.services.getService(configuration.configurationKey),
            processAgeMs: process.uptime() * 1_000,
        });
        context.services.setService(quotaService.quotaServiceKey, service);
        return { start: async () => service.start(), getDump: () => service.getDump() };
    },
});
