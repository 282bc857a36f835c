/** Which upstreams of a service have room for one more request now, and how busy the service is. */

import type * as pool from "../pool/index.js";
import type * as types from "./types.js";

interface RoutableUpstream {
    readonly upstream: pool.Upstream;
    readonly load: types.UpstreamLoad;
}

/** Lists the upstreams that have a free slot and that this instance does not avoid. */
export function listFreeUpstreams(upstreams: readonly pool.Upstream[], getUpstreamLoad: types.GetUpstreamLoad, now: number): readonly pool.Upstream[] {
    return listRoutableUpstreams(upstreams, getUpstreamLoad, now).filter(({ upstream, load }) => load.inFlight < load.limit && !upstream.isAvoided(now)).map(({ upstream }) => upstream);
}

/** Computes the share of the slots of routable upstreams that are in use, from 0 to 1; 1 if there are none. */
export function computeUtilization(upstreams: readonly pool.Upstream[], getUpstreamLoad: types.GetUpstreamLoad, now: number): number {
    const loads = listRoutableUpstreams(upstreams, getUpstreamLoad, now).map(({ load }) => load);
    const slots = loads.reduce((sum, { limit }) => sum + limit, 0);
    return slots === 0 ? 1 : loads.reduce((sum, { inFlight, limit }) => sum + Math.min(inFlight, limit), 0) / slots;
}

function listRoutableUpstreams(upstreams: readonly pool.Upstream[], getUpstreamLoad: types.GetUpstreamLoad, now: number): readonly RoutableUpstream[] {
    const routable = upstreams.filter(upstream => (upstream.routability.kind === "routable" || upstream.routability.kind === "recovering") && !upstream.isLeaving(now) && !upstream.isPaused(now));
    return routable.map(upstream => ({ upstream, load: getUpstreamLoad(upstream) }));
}
