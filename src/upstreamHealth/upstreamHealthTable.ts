/** What the whole fleet has seen of each upstream: beliefs, and the attempts under way at other instances. */

import type * as pool from "../pool/index.js";
import * as healthEstimate from "./healthEstimate.js";
import * as healthUpdateRelay from "./healthUpdateRelay.js";

/** What another instance says of its attempts under way is left out after this silence, in milliseconds. */
const remoteLifeMs = 20_000;

interface RemoteLoad {
    readonly inFlight: number;
    readonly at: number;
}

interface Standing {
    readonly belief: healthEstimate.HealthEstimate;
    readonly remote: Map<string, RemoteLoad>;
    /** The sum over `remote`. */
    remoteInFlight: number;
    probedAt: number;
}

/** Holds the standing of upstreams; it is told the time, in monotonic milliseconds. */
export class UpstreamHealthTable {
    private readonly standings = new WeakMap<pool.Upstream, Standing>();

    /**
     * Returns the belief about an upstream.
     * @param target - The upstream.
     */
    getEstimate(target: pool.Upstream): healthEstimate.HealthEstimate {
        return this.getStanding(target).belief;
    }

    /**
     * Returns how many requests the fleet has under way at an upstream.
     * @param target - The upstream.
     */
    getFleetInFlight(target: pool.Upstream): number {
        return target.getInFlight() + this.getStanding(target).remoteInFlight;
    }

    /**
     * Returns how many requests the instances of the own failure domain have under way at an upstream.
     * @param target - The upstream.
     */
    getDomainInFlight(target: pool.Upstream): number {
        const near = [...this.getStanding(target).remote].filter(([origin]) => !healthUpdateRelay.isDomainOrigin(origin));
        return near.reduce((sum, [, { inFlight }]) => sum + inFlight, target.getInFlight());
    }

    /**
     * Returns when any instance last sent the upstream a request.
     * @param target - The upstream.
     */
    getLastSentAt(target: pool.Upstream): number {
        return this.getStanding(target).probedAt;
    }

    /**
     * Records that a request was sent.
     * @param target - The upstream.
     * @param now - The time.
     */
    recordSent(target: pool.Upstream, now: number): void {
        this.getStanding(target).probedAt = now;
    }

    /**
     * Records how many requests another instance has under way.
     * @param target - The upstream.
     * @param origin - The other instance.
     * @param inFlight - Its requests under way.
     * @param now - The time.
     */
    recordRemoteInFlight(target: pool.Upstream, origin: string, inFlight: number, now: number): void {
        const standing = this.getStanding(target);
        const before = standing.remote.get(origin)?.inFlight ?? 0;
        if (inFlight > before) {
            standing.probedAt = now;
        }
        standing.remoteInFlight += inFlight - before;
        if (inFlight === 0) {
            standing.remote.delete(origin);
            return;
        }
        standing.remote.set(origin, { inFlight, at: now });
    }

    /**
     * Forgets what was said too long ago to be relied on.
     * @param targets - The upstreams.
     * @param now - The time.
     */
    removeStaleRemotes(targets: readonly pool.Upstream[], now: number): void {
        for (const target of targets) {
            const stale = [...this.getStanding(target).remote].filter(([, { at }]) => now - at >= remoteLifeMs);
            stale.forEach(([origin]) => this.recordRemoteInFlight(target, origin, 0, now));
        }
    }

    /**
     * Forgets what an instance that is gone had under way.
     * @param targets - The upstreams.
     * @param origin - The instance.
     */
    removeOrigin(targets: readonly pool.Upstream[], origin: string): void {
        targets.forEach(target => this.recordRemoteInFlight(target, origin, 0, -Infinity));
    }

    private getStanding(target: pool.Upstream): Standing {
        const known = this.standings.get(target) ?? { belief: new healthEstimate.HealthEstimate(), remote: new Map<string, RemoteLoad>(), remoteInFlight: 0, probedAt: -Infinity };
        this.standings.set(target, known);
        return known;
    }
}
