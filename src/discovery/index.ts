/** The plug-in that discovers upstreams in a directory of the store. It does nothing if `upstreamDirectory` is empty. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as store from "../store/index.js";
import * as directory from "./directory.js";

export { type DiscoveredUpstream, type EntryContent, type ParseEntry, parseEntryKey } from "./directory.js";

plugins.registerPlugin({
    name: "discovery",
    dependsOn: ["configuration", "peers", "pool", "store"],
    create: context => {
        if (context.settings.upstreamDirectory === "") {
            return {};
        }
        const created = new directory.UpstreamDirectory({
            context,
            store: context.services.getService(store.storeKey),
            pool: context.services.getService(pool.poolKey),
            mesh: context.services.getService(peers.meshKey),
            setConfigurationWatch: isNeeded => context.services.getService(configuration.configurationKey).setStoreWatch(isNeeded),
        });
        return {
            start: async () => created.start(),
            stop: async () => created.stop(),
            getDump: () => created.getDump(),
        };
    },
});
