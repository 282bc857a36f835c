/** The plug-in that queues requests by rank. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as pool from "../pool/index.js";
import * as admission from "./admission.js";

export { Admission, admissionKey } from "./admission.js";
export type { Allowance, RankDemand, Slot, SlotRequest } from "./types.js";

const noHome: ReadonlySet<string> = new Set();

plugins.registerPlugin({
    name: "admission",
    dependsOn: ["configuration", "pool"],
    create: shared => {
        const created = new admission.Admission({
            context: shared,
            pool: shared.services.getService(pool.poolKey),
            configuration: shared.services.getService(configuration.configurationKey),
            allowance: { isStartAllowed: () => true, getHome: () => noHome },
        });
        shared.services.setService(admission.admissionKey, created);
        return { getDump: () => created.getDump() };
    },
});
