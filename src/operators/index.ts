/** Registers the plug-in that serves operators. */

import * as promClient from "prom-client";
import * as callers from "../callers/index.js";
import * as configuration from "../configuration/index.js";
import * as kernel from "../kernel/kernel.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as operatorServer from "./operatorServer.js";

/** How often the event loop delay is sampled, in milliseconds. Each sample wakes the process, so the interval is long. */
const eventLoopPrecisionMs = 500;

plugins.registerPlugin({
    name: "operators",
    dependsOn: ["callers", "configuration", "peers", "pool"],
    create: context => {
        promClient.collectDefaultMetrics({ register: context.metrics, prefix: "agatebend_", eventLoopMonitoringPrecision: eventLoopPrecisionMs });
        const options = {
            context,
            configuration: context.services.getService(configuration.configurationKey),
            mesh: context.services.getService(peers.meshKey),
            pool: context.services.getService(pool.poolKey),
            handler: context.services.getService(callers.callerRequestHandlerKey),
            lifecycle: context.services.getService(kernel.lifecycleKey),
            secret: peers.readSharedSecret(context.settings),
            tlsFiles: peers.readTlsFiles(context.settings),
        };
        const server = new operatorServer.OperatorServer(options);
        return { open: () => server.start(), stop: shutdown => server.stop(shutdown) };
    },
});
