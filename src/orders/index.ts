/** The plug-in that provides the order service, which runs orders at most once. */

import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as store from "../store/index.js";
import * as orderKeyClaims from "./orderKeyClaims.js";
import * as orderService from "./orderService.js";

export type { OrderResult } from "./orderLedger.js";
export { type IssuedPrefix, OrderService, orderServiceKey } from "./orderService.js";

plugins.registerPlugin({
    name: "orders",
    dependsOn: ["peers", "requests", "store"],
    create: context => {
        const created = new orderService.OrderService({
            context,
            executor: context.services.getService(requests.executorKey),
            mesh: context.services.getService(peers.meshKey),
            claims: new orderKeyClaims.OrderKeyClaims(context, context.services.getService(store.storeKey), context.services.getService(peers.meshKey)),
        });
        context.services.setService(orderService.orderServiceKey, created);
        return { start: async () => created.start(), getDump: () => created.getDump() };
    },
});
