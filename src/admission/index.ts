/** The plug-in that queues requests by rank until their service has a free slot. */

import * as configuration from "../configuration/index.js";
import * as plugins from "../kernel/plugins.js";
import * as peers from "../peers/index.js";
import * as pool from "../pool/index.js";
import * as admission from "./admission.js";
import * as bodyRoom from "./bodyRoom.js";
import * as shedControl from "./shedControl.js";
import * as slotSharing from "./slotSharing.js";
import * as upstreamHealth from "../upstreamHealth/index.js";
import type * as types from "./types.js";

export { Admission, admissionKey } from "./admission.js";
export type { RankDemand, Slot, SlotAllocator, SlotRequest } from "./types.js";

plugins.registerPlugin({
    name: "admission",
    dependsOn: ["configuration", "peers", "pool", "standing"],
    create: context => {
        const upstreamPool = context.services.getService(pool.poolKey);
        const configurations = context.services.getService(configuration.configurationKey);
        const slotAllocator: slotSharing.SlotSharing = new slotSharing.SlotSharing({
            context,
            mesh: context.services.getService(peers.meshKey),
            pool: upstreamPool,
            configuration: configurations,
            getDemand: () => created.getDemand(),
        });
        const chooseByLoad: types.ChooseUpstream = (request, upstreams, now) =>
            pool.chooseUpstream({
                upstreams,
                now,
                randomness: context.randomness,
                isRepeatable: request.isRepeatable,
                excludedUpstreamIds: request.excludedUpstreamIds,
                allocatedUpstreamIds: slotAllocator.getAllocatedUpstreamIds(request.service),
            });
        const health = context.services.findService(upstreamHealth.upstreamHealthKey);
        const chooseAmong: types.ChooseUpstream = health === undefined ? chooseByLoad : (request, upstreams, now, queuedMs) => health.chooseUpstream({ ...request, upstreams, now, queuedMs });
        const chooseUpstream: types.ChooseUpstream = (request, upstreams, now, queuedMs) => {
            const limitBytes = upstreamPool.getServicePool(request.service)?.definition.upstreamBodyBytes ?? (context.settings.upstreamBodyBytes || undefined);
            return chooseAmong(request, bodyRoom.listUpstreamsWithRoom(upstreams, { bodyBytes: request.bodyBytes, limitBytes }), now, queuedMs);
        };
        const shedding = new shedControl.ShedControl({
            context,
            pool: upstreamPool,
            getFailureProbability: (upstream, now) => health?.table.getEstimate(upstream).getFailureProbability(now),
        });
        health?.setSheddingCheck(service => shedding.isShedding(service));
        const formatUpstreamSummary: types.FormatUpstreamSummary = (upstream, now) => health?.formatHealth(upstream, now) ?? `${upstream.getInFlight()}/${upstream.getConcurrencyLimit()} busy`;
        const getUpstreamLoad: types.GetUpstreamLoad = upstream => health?.getLoad(upstream) ?? { inFlight: upstream.getInFlight(), limit: upstream.getConcurrencyLimit() };
        const created: admission.Admission = new admission.Admission({
            context,
            pool: upstreamPool,
            configuration: configurations,
            slotAllocator,
            chooseUpstream,
            formatUpstreamSummary,
            getUpstreamLoad,
            shedControl: shedding,
        });
        context.services.setService(admission.admissionKey, created);
        return { start: async () => slotAllocator.start(), getDump: () => ({ queues: created.getDump(), parts: slotAllocator.getDump(), shedding: shedding.getDump() }) };
    },
});
