/** The plug-in that runs orders at most once. */

import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as store from "../store/index.js";
import * as claims from "./claims.js";
import * as orders from "./orders.js";

export type { KeptOutcome } from "./ledger.js";
export { type IssuedPrefix, Orders, ordersKey } from "./orders.js";

plugins.registerPlugin({
    name: "orders",
    dependsOn: ["peers", "requests", "store"],
    create: shared => {
        const created = new orders.Orders({
            context: shared,
            executor: shared.services.getService(requests.executorKey),
            mesh: shared.services.getService(peers.meshKey),
            claims: new claims.Claims(shared, shared.services.getService(store.storeKey)),
        });
        shared.services.setService(orders.ordersKey, created);
        return { start: async () => created.start(), getDump: () => created.getDump() };
    },
});
