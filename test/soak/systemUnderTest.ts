/** The system under a soak: instances behind fault-injecting proxies, before stand-ins of the platform. */

import * as path from "node:path";
import * as platform from "../harness/platform.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";
import * as standIns from "../harness/standIns.js";

const domains = ["north", "south", "east"];
/** The work of a request, in milliseconds. */
export const workMs = 40;
/** Version of the first configuration. */
const firstVersion = 7;
/** Markers of older versions that a configuration keeps. */
const keptMarkers = 3;

/** An instance, and the proxies on its way to the store and from its peers. */
export interface SoakInstance {
    readonly instance: platform.PlatformInstance;
    readonly storeLink: standIns.StandIn;
    readonly peerLink: standIns.StandIn;
}

/** Everything that runs. */
export class SystemUnderTest {
    private newest = { version: firstVersion, acceptedAt: performance.now() };
    private written = firstVersion;
    private readonly held = new Set<string>();

    constructor(readonly platform: platform.TestPlatform, readonly instances: readonly SoakInstance[]) {}

    /** Runs a task that needs a part of the system for itself; where another has hold of it, nothing is run. */
    async runExclusively(part: string, task: () => Promise<void>): Promise<void> {
        if (this.held.has(part)) {
            return;
        }
        this.held.add(part);
        await task().finally(() => this.held.delete(part));
    }

    /** Returns whether a task has hold of a part of the system. */
    isLocked(part: string): boolean {
        return this.held.has(part);
    }

    /** Returns the instances by callers' address. */
    getInstances(): ReadonlyMap<string, platform.PlatformInstance> {
        return new Map(this.instances.map(({ instance }) => [instance.addresses.caller, instance]));
    }

    /** Returns the newest version that the store has accepted, and when. */
    getNewestVersion(): { readonly version: number; readonly acceptedAt: number; } {
        return this.newest;
    }

    /** Has the operator write a new configuration, whose marker route no older one has. */
    async writeConfiguration(): Promise<void> {
        this.written += 1;
        const version = this.written;
        await this.platform.store.setBehaviour({ put: { "op/config": createConfiguration(version) } });
        if (version > this.newest.version) {
            this.newest = { version, acceptedAt: performance.now() };
        }
    }

    /** Asks an instance for a version's marker; undefined where it does not answer. */
    async hasVersion(instance: platform.PlatformInstance, version: number): Promise<boolean | undefined> {
        const answer = await processes.sendRequest(`http://${instance.addresses.caller}/marker-${version}/1`, { headers: { host: platform.host, "deadline-ms": 1_000 }, timeoutMs: 1_500 }).catch(() => undefined);
        // A 503 may come from an instance that has no configuration yet.
        return answer === undefined || answer.status === 503 ? undefined : answer.status !== 404;
    }

    /** Counts how often each request has run. */
    async countExecutions(): Promise<ReadonlyMap<string, number>> {
        const counts = new Map<string, number>();
        for (const worker of this.platform.workers) {
            const { runs } = await worker.getState<{ readonly runs: Readonly<Record<string, number>>; }>();
            Object.entries(runs).forEach(([id, count]) => counts.set(id, (counts.get(id) ?? 0) + count));
        }
        return counts;
    }

    /** Ends every process. */
    async stop(): Promise<void> {
        await this.platform.stop();
        await Promise.all(this.instances.flatMap(({ storeLink, peerLink }) => [storeLink.process.stop(), peerLink.process.stop()]));
    }
}

/** Returns what a worker's entry says of its place. */
export function createPlacement(index: number): object {
    return { failureDomain: domains[index % domains.length] };
}

/** Creates a configuration with the markers of its own version and of those right before it. */
export function createConfiguration(version: number): object {
    const markers = Array.from({ length: keptMarkers + 1 }, (_, age) => version - age).filter(known => known > firstVersion);
    return platform.createPlatformConfiguration(version, [
        ...platform.defaultRoutes,
        ...markers.map((known): platform.TestRoute => ({ name: `marker-${known}`, prefix: `/marker-${known}/`, kind: "safe", service: "desk", timeoutMs: 1_000 })),
    ]);
}

/** Starts a system with so many instances and workers. */
export async function startSystem({ instances, workers }: { readonly instances: number; readonly workers: number; }): Promise<SystemUnderTest> {
    const site = await platform.startPlatform(workers);
    await site.store.setBehaviour({ put: { "op/config": createConfiguration(firstVersion) } });
    await Promise.all(site.workers.map(async (worker, index) => {
        await worker.setBehaviour({ workMs });
        await site.registerWorker(index, createPlacement(index));
    }));
    const started = await Promise.all(Array.from({ length: instances }, async (_, index) => {
        const peer = `127.0.0.1:${await ports.findFreePort()}`;
        const [storeLink, peerLink] = await Promise.all([standIns.startFaultProxy(site.store.getAddress()), standIns.startFaultProxy(peer)]);
        const flags = {
            "peer-listen": peer,
            "peer-advertise": peerLink.getAddress(),
            store: `kv://${storeLink.getAddress()}`,
            "store-timeout-ms": 1_000,
            "entries-ttl-ms": 1_000,
            "entries-grace-ms": 2_000,
            "drain-timeout-ms": 5_600,
            "stale-after-ms": 86_400_000,
        };
        const instance = await site.startInstance(domains[index % domains.length], flags, ["--require", path.resolve("test/standins/clock.cjs")]);
        return { instance, storeLink, peerLink };
    }));
    await Promise.all(started.map(({ instance }) => platform.waitUntilReady(instance)));
    return new SystemUnderTest(site, started);
}
