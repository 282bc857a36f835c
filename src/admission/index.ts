/** Plug-in that queues requests by rank until their service has a free slot. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as admission from "./admission.js";
import * as slotSharing from "./slotSharing.js";
import * as upstreamHealth from "../upstreamHealth/index.js";
import type * as types from "./types.js";

export { Admission, admissionKey } from "./admission.js";
export type { RankDemand, Slot, SlotAllocator, SlotRequest } from "./types.js";

plugins.registerPlugin({
    name: "admission",
    dependsOn: ["configuration", "peers", "pool", "standing"],
    create: shared => {
        const upstreamPool = shared.services.getService(pool.poolKey);
        const configurations = shared.services.getService(configuration.configurationKey);
        const slotAllocator: slotSharing.SlotSharing = new slotSharing.SlotSharing({
            context: shared,
            mesh: shared.services.getService(peers.meshKey),
            pool: upstreamPool,
            configuration: configurations,
            getDemand: () => created.getDemand(),
        });
        const chooseByLoad: types.ChooseUpstream = (request, upstreams, now) =>
            pool.chooseUpstream({
                upstreams,
                now,
                randomness: shared.randomness,
                isRepeatable: request.isRepeatable,
                excludedUpstreamIds: request.excludedUpstreamIds,
                allocatedUpstreamIds: slotAllocator.getAllocatedUpstreamIds(request.service),
            });
        const health = shared.services.findService(upstreamHealth.upstreamHealthKey);
        const chooseUpstream: types.ChooseUpstream = health === undefined ? chooseByLoad : (request, upstreams, now, queuedMs) => health.chooseUpstream({ ...request, upstreams, now, queuedMs: queuedMs });
        const formatUpstreamSummary: types.FormatUpstreamSummary = (target, now) => health?.formatHealth(target, now) ?? `${target.getInFlight()}/${target.getConcurrencyLimit()} busy`;
        const created: admission.Admission = new admission.Admission({ context: shared, pool: upstreamPool, configuration: configurations, slotAllocator: slotAllocator, chooseUpstream, formatUpstreamSummary: formatUpstreamSummary });
        shared.services.setService(admission.admissionKey, created);
        return { start: async () => slotAllocator.start(), getDump: () => ({ queues: created.getDump(), parts: slotAllocator.getDump() }) };
    },
});
