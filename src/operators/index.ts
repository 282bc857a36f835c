/** The plug-in that serves operators. */

import * as promClient from "prom-client";
import * as callers from "../callers/index.js";
import * as configuration from "../configuration/index.js";
import * as kernel from "../kernel/kernel.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as operatorServer from "./operatorServer.js";

/** How often the event loop delay is sampled, in milliseconds; each sample wakes the process. */
const eventLoopPrecisionMs = 500;

plugins.registerPlugin({
    name: "operators",
    dependsOn: ["callers", "configuration", "peers", "pool"],
    create: shared => {
        promClient.collectDefaultMetrics({ register: shared.metrics, prefix: "agatebend_", eventLoopMonitoringPrecision: eventLoopPrecisionMs });
        const options = {
            context: shared,
            configuration: shared.services.getService(configuration.configurationKey),
            mesh: shared.services.getService(peers.meshKey),
            pool: shared.services.getService(pool.poolKey),
            handler: shared.services.getService(callers.callerRequestHandlerKey),
            lifecycle: shared.services.getService(kernel.lifecycleKey),
            secret: peers.readSharedSecret(shared.settings),
            tlsFiles: peers.readTlsFiles(shared.settings),
        };
        const server = new operatorServer.OperatorServer(options);
        return { start: () => server.start(), stop: () => server.stop() };
    },
});
