/** Holds the health estimate of each upstream, and the requests that other instances have in flight there. */

import type * as pool from "../pool/index.js";
import * as healthEstimate from "./healthEstimate.js";
import * as healthUpdateRelay from "./healthUpdateRelay.js";

/** A reported number of in-flight requests expires if the origin does not report again within this time. */
const remoteLoadLifetimeMs = 20_000;

/** The load that one origin reported. */
interface RemoteLoad {
    readonly inFlight: number;
    /** In monotonic milliseconds. */
    readonly receivedAt: number;
}

interface UpstreamState {
    readonly estimate: healthEstimate.HealthEstimate;
    readonly remoteLoads: Map<string, RemoteLoad>;
    /** The sum over `remoteLoads`. */
    remoteInFlight: number;
    /** When any instance last sent a request to the upstream, in monotonic milliseconds; -Infinity if none is known. */
    lastSentAt: number;
}

/** The fleet-wide health and load of upstreams. Callers pass the time, in monotonic milliseconds. */
export class UpstreamHealthTable {
    private readonly states = new WeakMap<pool.Upstream, UpstreamState>();

    /** Returns the health estimate of an upstream. */
    getEstimate(upstream: pool.Upstream): healthEstimate.HealthEstimate {
        return this.getState(upstream).estimate;
    }

    /** Returns how many requests the whole fleet has in flight at an upstream. */
    getFleetInFlight(upstream: pool.Upstream): number {
        return upstream.getInFlight() + this.getState(upstream).remoteInFlight;
    }

    /** Returns how many requests the instances of the local failure domain have in flight at an upstream. */
    getDomainInFlight(upstream: pool.Upstream): number {
        const local = [...this.getState(upstream).remoteLoads].filter(([origin]) => !healthUpdateRelay.isCellOrigin(origin));
        return local.reduce((sum, [, { inFlight }]) => sum + inFlight, upstream.getInFlight());
    }

    /** Lists the in-flight requests at an upstream by origin, except those of this instance. */
    listRemoteLoads(upstream: pool.Upstream): readonly (readonly [origin: string, inFlight: number])[] {
        return [...this.getState(upstream).remoteLoads].map(([origin, { inFlight }]) => [origin, inFlight]);
    }

    /** Returns when any instance last sent a request to the upstream; -Infinity if none is known. */
    getLastSentAt(upstream: pool.Upstream): number {
        return this.getState(upstream).lastSentAt;
    }

    /** Records that this instance sent a request to the upstream. */
    recordSent(upstream: pool.Upstream, now: number): void {
        this.getState(upstream).lastSentAt = now;
    }

    /**
     * Records how many requests an origin has in flight at the upstream. An increase counts as a sent request.
     * @param origin - Another instance, or another failure domain as a whole.
     */
    recordRemoteInFlight(upstream: pool.Upstream, origin: string, inFlight: number, now: number): void {
        const state = this.getState(upstream);
        const before = state.remoteLoads.get(origin)?.inFlight ?? 0;
        if (inFlight > before) {
            state.lastSentAt = now;
        }
        state.remoteInFlight += inFlight - before;
        if (inFlight === 0) {
            state.remoteLoads.delete(origin);
            return;
        }
        state.remoteLoads.set(origin, { inFlight, receivedAt: now });
    }

    /** Removes the reported loads that have expired. */
    removeExpiredLoads(upstreams: readonly pool.Upstream[], now: number): void {
        for (const upstream of upstreams) {
            const expired = [...this.getState(upstream).remoteLoads].filter(([, { receivedAt }]) => now - receivedAt >= remoteLoadLifetimeMs);
            expired.forEach(([origin]) => this.recordRemoteInFlight(upstream, origin, 0, now));
        }
    }

    /** Removes the load that an origin reported before this instance lost its connection to it. Returns the upstreams that had such a load. */
    removeOrigin(upstreams: readonly pool.Upstream[], origin: string): readonly pool.Upstream[] {
        const loaded = upstreams.filter(upstream => this.getState(upstream).remoteLoads.has(origin));
        loaded.forEach(upstream => this.recordRemoteInFlight(upstream, origin, 0, -Infinity));
        return loaded;
    }

    private getState(upstream: pool.Upstream): UpstreamState {
        const state = this.states.get(upstream) ?? { estimate: new healthEstimate.HealthEstimate(), remoteLoads: new Map<string, RemoteLoad>(), remoteInFlight: 0, lastSentAt: -Infinity };
        this.states.set(upstream, state);
        return state;
    }
}
