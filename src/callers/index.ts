/** Registers the plug-in that serves callers. */

import * as admission from "../admission/index.js";
import * as configuration from "../configuration/index.js";
import * as errors from "../kernel/errors.js";
import * as kernel from "../kernel/kernel.js";
import * as plugins from "../kernel/plugins.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as orders from "../orders/index.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as quotas from "../quotas/index.js";
import * as requests from "../requests/index.js";
import * as callerServer from "./callerServer.js";
import * as callerRequestHandler from "./callerRequestHandler.js";
import * as auxiliaryPorts from "./auxiliaryPorts.js";
import * as entriesHandler from "./entriesHandler.js";
import * as entryWeightReporter from "./entryWeightReporter.js";
import * as inFlightRequests from "./inFlightRequests.js";

export type { CallerRequestHandler } from "./callerRequestHandler.js";

/** The service key of the handler for callers' requests. */
export const callerRequestHandlerKey = serviceRegistry.createServiceKey<callerRequestHandler.CallerRequestHandler>("handler");

plugins.registerPlugin({
    name: "callers",
    dependsOn: ["admission", "configuration", "orders", "peers", "pool", "quotas", "requests"],
    create: context => {
        const mesh = context.services.getService(peers.meshKey);
        const orderService = context.services.getService(orders.orderServiceKey);
        const configurationService = context.services.getService(configuration.configurationKey);
        const lifecycle = context.services.getService(kernel.lifecycleKey);
        const entries = new entriesHandler.EntriesHandler({ context, configuration: configurationService, mesh, orders: orderService, lifecycle });
        const inFlight = new inFlightRequests.InFlightRequests(context.clock);
        const requestHandler = new callerRequestHandler.CallerRequestHandler({
            context,
            configuration: configurationService,
            entries,
            executor: context.services.getService(requests.executorKey),
            orders: orderService,
            quotas: context.services.getService(quotas.quotaServiceKey),
            lifecycle,
            inFlight,
        });
        context.services.setService(callerRequestHandlerKey, requestHandler);
        const server = new callerServer.CallerServer({
            context,
            handler: requestHandler,
            inFlight,
            mesh,
            orders: orderService,
            executor: context.services.getService(requests.executorKey),
            rejectQueued: () => context.services.getService(admission.admissionKey).rejectAllQueued(errors.createError("draining")),
        });
        const weightReporter = new entryWeightReporter.EntryWeightReporter({ context, mesh, countInFlight: () => inFlight.countUnwritten() });
        const auxiliary = new auxiliaryPorts.AuxiliaryPorts({ context, handler: requestHandler, entries });
        configurationService.addListener(({ document }) => {
            server.setLimits(document.limits);
            entries.checkShadowedRoutes(document);
        });
        return {
            waitUntilReady: () => context.services.getService(pool.leavingUpstreamsKey).waitUntilMarksRead(),
            open: async () => {
                await server.start();
                await auxiliary.start();
                weightReporter.start();
            },
            drain: shutdown => server.drain(shutdown),
            stop: async shutdown => {
                await server.stop();
                await auxiliary.stop(shutdown);
            },
            getDump: () => ({ inFlight: inFlight.countUnwritten(), retiredCalls: requestHandler.listRetiredFeatureCalls() }),
        };
    },
});
