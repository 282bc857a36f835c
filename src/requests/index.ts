/** The plug-in that sends requests to upstreams. */

import * as admission from "../admission/index.js";
import * as peers from "../peers/index.js";
import * as plugins from "../kernel/plugins.js";
import * as pool from "../pool/index.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as connectionReuse from "./connectionReuse.js";
import * as executorContext from "./executorContext.js";
import * as retryLending from "./retryLending.js";
import * as upstreamAgent from "./upstreamAgent.js";

export { ExecutorContext } from "./executorContext.js";
export { fleetHeaders, getHeaderValues, listEndToEndHeaders, removeFleetHeaders } from "./headers.js";
export { readResponse } from "./readResponse.js";
export { RequestProgress, type RequestWait } from "./requestProgress.js";
export { getHeaderFault, getStatusLineFault } from "./responseHead.js";
export { type AtMostOnceResult, runAtMostOnce } from "./runAtMostOnce.js";
export { type ExecutionSummary, runWithRetries } from "./runWithRetries.js";
export type { BufferedResponse, RoutedRequest } from "./types.js";

/** Idle connections that are kept open to one upstream. */
const idleConnectionsPerUpstream = 2;
/** How long an idle connection is kept open; shorter than the usual keep-alive timeout of servers. */
const idleConnectionTimeoutMs = 4_000;

/** The service key of the executor context. */
export const executorKey = serviceRegistry.createServiceKey<executorContext.ExecutorContext>("executor");

plugins.registerPlugin({
    name: "requests",
    dependsOn: ["admission", "peers", "pool", "detection"],
    create: context => {
        const mesh = context.services.getService(peers.meshKey);
        const agent = new upstreamAgent.UpstreamAgent({
            clock: context.clock,
            keepAlive: true,
            maxFreeSockets: idleConnectionsPerUpstream,
            timeout: idleConnectionTimeoutMs,
            scheduling: "lifo",
            onStrayBytes: (upstream, place) => reuse.recordStrayBytes(upstream, place),
        });
        const reuse = new connectionReuse.ConnectionReuse({ context, mesh, closeIdleConnections: address => agent.closeIdleConnections(address) });
        const executor = new executorContext.ExecutorContext({
            context,
            admission: context.services.getService(admission.admissionKey),
            pool: context.services.getService(pool.poolKey),
            leavingUpstreams: context.services.getService(pool.leavingUpstreamsKey),
            agent,
            connectionReuse: reuse,
            countInstances: retryLending.createInstanceCount(context, mesh),
        });
        context.services.setService(executorKey, executor);
        const lending = retryLending.createRetryLending(context, mesh, executor);
        const start = async () => {
            reuse.start();
            lending?.start();
        };
        return { start, stop: async () => agent.destroy(), getDump: () => reuse.getDump() };
    },
});
