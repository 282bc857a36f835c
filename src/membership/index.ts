/** The plug-in that lets instances discover each other through the store. It does nothing if `memberLeaseS` is zero. */

import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as store from "../store/index.js";
import * as registration from "./registration.js";

plugins.registerPlugin({
    name: "membership",
    dependsOn: ["peers", "store"],
    create: context => {
        if (context.settings.memberLeaseS === 0) {
            return {};
        }
        const created = new registration.Registration({ context, mesh: context.services.getService(peers.meshKey), store: context.services.getService(store.storeKey) });
        return { start: async () => created.start(), drain: () => created.drain() };
    },
});
