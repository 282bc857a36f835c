/** Holds the health estimate of each upstream, and the requests that other instances have in flight there. */

import type * as pool from "../pool/index.js";
import * as healthEstimate from "./healthEstimate.js";
import * as healthUpdateRelay from "./healthUpdateRelay.js";

/** A reported number of in-flight requests expires if the origin does not report again within this time. */
const remoteLoadLifetimeMs = 20_000;

interface RemoteLoad {
    readonly inFlight: number;
    readonly receivedAt: number;
}

interface UpstreamState {
    readonly estimate: healthEstimate.HealthEstimate;
    readonly remoteLoads: Map<string, RemoteLoad>;
    /** The sum over `remoteLoads`. */
    remoteInFlight: number;
    lastSentAt: number;
}

/** The fleet-wide health and load of upstreams. Callers pass the time, in monotonic milliseconds. */
export class UpstreamHealthTable {
    private readonly states = new WeakMap<pool.Upstream, UpstreamState>();

    /** Returns the health estimate of an upstream. */
    getEstimate(target: pool.Upstream): healthEstimate.HealthEstimate {
        return this.getState(target).estimate;
    }

    /** Returns how many requests the whole fleet has in flight at an upstream. */
    getFleetInFlight(target: pool.Upstream): number {
        return target.getInFlight() + this.getState(target).remoteInFlight;
    }

    /** Returns how many requests the instances of the local failure domain have in flight at an upstream. */
    getDomainInFlight(target: pool.Upstream): number {
        const local = [...this.getState(target).remoteLoads].filter(([origin]) => !healthUpdateRelay.isDomainOrigin(origin));
        return local.reduce((sum, [, { inFlight }]) => sum + inFlight, target.getInFlight());
    }

    /** Returns when any instance last sent a request to the upstream; -Infinity if none is known. */
    getLastSentAt(target: pool.Upstream): number {
        return this.getState(target).lastSentAt;
    }

    /** Records that this instance sent a request to the upstream. */
    recordSent(target: pool.Upstream, now: number): void {
        this.getState(target).lastSentAt = now;
    }

    /**
     * Records how many requests an origin has in flight at the upstream. An increase counts as a sent request.
     * @param origin - Another instance, or another failure domain as a whole.
     */
    recordRemoteInFlight(target: pool.Upstream, origin: string, inFlight: number, now: number): void {
        const state = this.getState(target);
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

    /** Removes the in-flight requests of origins that have not reported within the lifetime of a report. */
    removeStaleRemotes(targets: readonly pool.Upstream[], now: number): void {
        for (const target of targets) {
            const stale = [...this.getState(target).remoteLoads].filter(([, { receivedAt }]) => now - receivedAt >= remoteLoadLifetimeMs);
            stale.forEach(([origin]) => this.recordRemoteInFlight(target, origin, 0, now));
        }
    }

    /** Removes the in-flight requests of an origin that has left the fleet. */
    removeOrigin(targets: readonly pool.Upstream[], origin: string): void {
        targets.forEach(target => this.recordRemoteInFlight(target, origin, 0, -Infinity));
    }

    private getState(target: pool.Upstream): UpstreamState {
        const known = this.states.get(target) ?? { estimate: new healthEstimate.HealthEstimate(), remoteLoads: new Map<string, RemoteLoad>(), remoteInFlight: 0, lastSentAt: -Infinity };
        this.states.set(target, known);
        return known;
    }
}
