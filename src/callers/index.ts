/** The plug-in that serves callers. */

import * as configuration from "../configuration/index.js";
import * as kernel from "../kernel/kernel.js";
import * as plugins from "../kernel/plugins.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as orders from "../orders/index.js";
import * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as callerServer from "./callerServer.js";
import * as callerRequestHandler from "./callerRequestHandler.js";
import * as auxiliaryPorts from "./auxiliaryPorts.js";

export type { CallerRequestHandler } from "./callerRequestHandler.js";

/** The key of the callers' handler. */
export const callerRequestHandlerKey = serviceRegistry.createServiceKey<callerRequestHandler.CallerRequestHandler>("handler");

plugins.registerPlugin({
    name: "callers",
    dependsOn: ["configuration", "orders", "peers", "requests"],
    create: shared => {
        const mesh = shared.services.getService(peers.meshKey);
        const orderService = shared.services.getService(orders.orderServiceKey);
        const created = new callerRequestHandler.CallerRequestHandler({
            context: shared,
            configuration: shared.services.getService(configuration.configurationKey),
            mesh,
            executor: shared.services.getService(requests.executorKey),
            orders: orderService,
            lifecycle: shared.services.getService(kernel.lifecycleKey),
        });
        shared.services.setService(callerRequestHandlerKey, created);
        const server = new callerServer.CallerServer({ context: shared, handler: created, mesh, orders: orderService });
        const side = new auxiliaryPorts.AuxiliaryPorts({ context: shared, handler: created });
        shared.services.getService(configuration.configurationKey).addListener(({ document }) => server.setLimits(document.limits));
        return {
            start: async () => {
                await server.start();
                await side.start();
            },
            drain: () => server.drain(),
            stop: async () => {
                await server.stop();
                await side.stop();
            },
            getDump: () => ({ inFlight: created.countInFlightRequests(), retiredCalls: created.listRetiredFeatureCalls() }),
        };
    },
});
