/** The system under test in a soak: instances behind fault-injecting proxies, with stand-ins for the platform's store and workers. */

import * as path from "node:path";
import * as platform from "../harness/platform.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";
import * as standIns from "../harness/standIns.js";
import type * as standInWorker from "../standins/worker.js";
import type * as invariants from "./invariants.js";
import type * as traffic from "./traffic.js";

const domains = ["north", "south", "east"];
/** The fraction of late requests whose work is slow outside and during a spell of slow work. All requests of a route together must stay quick. */
const usualSlowFraction = 0.01;
const spellSlowFraction = 0.8;
/** The version of the first configuration. */
const firstVersion = 7;
/** The number of previous versions whose marker routes a configuration keeps. */
const previousMarkerCount = 3;

/** An instance, the proxy between it and the store, and the proxy in front of its peer port, if there are proxies. */
export interface SoakInstance {
    readonly instance: platform.PlatformInstance;
    readonly storeLink: standIns.StandIn | undefined;
    readonly peerLink: standIns.StandIn | undefined;
}

/** The processes of a soak, with locks that keep faults from overlapping on the same target. */
export class SystemUnderTest {
    private newestVersion = { version: firstVersion, acceptedAt: performance.now() };
    private lastWrittenVersion = firstVersion;
    private readonly slowSpells = new Set<{ readonly instance: string | undefined; }>();
    private readonly locked = new Set<string>();

    constructor(readonly platform: platform.TestPlatform, readonly instances: readonly SoakInstance[], readonly traffic: traffic.Traffic) {}

    /** Runs a task while it holds the lock of a worker, an instance or the store. Does nothing if the lock is taken. */
    async runExclusively(resource: string, task: () => Promise<void>): Promise<void> {
        if (this.locked.has(resource)) {
            return;
        }
        this.locked.add(resource);
        await task().finally(() => this.locked.delete(resource));
    }

    /** Returns whether a task holds the lock of a worker, an instance or the store. */
    isLocked(resource: string): boolean {
        return this.locked.has(resource);
    }

    /** Begins a spell in which the work for late requests at an instance, or at all, is often slow. The returned function ends it. */
    startSlowSpell(instance?: string): () => void {
        const spell = { instance };
        this.slowSpells.add(spell);
        return () => this.slowSpells.delete(spell);
    }

    /** Returns the fraction of an instance's late requests whose work is slow at present. */
    getSlowFraction(id: string): number {
        return [...this.slowSpells].some(({ instance = id }) => instance === id) ? spellSlowFraction : usualSlowFraction;
    }

    /** Returns the instances by the address of their callers' port. */
    getInstances(): ReadonlyMap<string, platform.PlatformInstance> {
        return new Map(this.instances.map(({ instance }) => [instance.addresses.caller, instance]));
    }

    /** Returns the newest configuration version that the store has accepted, and the time of acceptance. */
    getNewestVersion(): { readonly version: number; readonly acceptedAt: number; } {
        return this.newestVersion;
    }

    /** Writes a new configuration version with a marker route that no older version has. */
    async writeConfiguration(): Promise<void> {
        this.lastWrittenVersion += 1;
        const version = this.lastWrittenVersion;
        await this.platform.store.setBehaviour({ put: { "op/config": createConfiguration(version, this.traffic.routes) } });
        if (version > this.newestVersion.version) {
            this.newestVersion = { version, acceptedAt: performance.now() };
        }
    }

    /** Returns whether an instance serves the marker route of a version, or undefined if it does not answer. */
    async hasVersion(instance: platform.PlatformInstance, version: number): Promise<boolean | undefined> {
        const response = await processes.sendRequest(`http://${instance.addresses.caller}/marker-${version}/1`, { headers: { host: platform.host, "deadline-ms": 1_000 }, timeoutMs: 1_500 }).catch(() => undefined);
        // A 503 may come from an instance that has no configuration yet.
        return response === undefined || response.status === 503 ? undefined : response.status !== 404;
    }

    /** Lists the runs of each request at all workers. Times are on this process's monotonic clock. */
    async listRuns(): Promise<ReadonlyMap<string, readonly invariants.Run[]>> {
        const toLocal = (time: number | undefined) => time === undefined ? Infinity : time - performance.timeOrigin;
        const runs = new Map<string, readonly invariants.Run[]>();
        for (const worker of this.platform.workers) {
            const { runTimes } = await worker.getState<{ readonly runTimes: Readonly<Record<string, readonly standInWorker.WorkerRun[]>>; }>();
            for (const [id, times] of Object.entries(runTimes)) {
                runs.set(id, [...runs.get(id) ?? [], ...times.map(({ startedAt, endedAt, isAnswered }) => ({ startedAt: toLocal(startedAt), endedAt: toLocal(endedAt), isAnswered }))]);
            }
        }
        return runs;
    }

    /** Ends all processes. */
    async stop(): Promise<void> {
        await this.platform.stop();
        await Promise.all(this.instances.flatMap(({ storeLink, peerLink }) => [storeLink, peerLink]).map(async link => await link?.process.stop()));
    }
}

/** Returns the failure domain of a worker, as a field of its entry. */
export function createPlacement(index: number): object {
    return { failureDomain: domains[index % domains.length] };
}

/** Creates a configuration with marker routes for its own version and the versions directly before it. */
export function createConfiguration(version: number, routes: readonly platform.TestRoute[]): object {
    const markers = Array.from({ length: previousMarkerCount + 1 }, (_, age) => version - age).filter(markedVersion => markedVersion > firstVersion);
    return platform.createPlatformConfiguration(version, [
        ...platform.defaultRoutes,
        ...routes,
        ...markers.map((markedVersion): platform.TestRoute => ({ name: `marker-${markedVersion}`, prefix: `/marker-${markedVersion}/`, kind: "safe", service: "desk", timeoutMs: 1_000 })),
    ]);
}

/** The size and the traffic of a system. */
export interface StartSystemOptions {
    readonly instances: number;
    readonly workers: number;
    /** Whether there are proxies that faults of the network need. */
    readonly hasProxies: boolean;
    readonly traffic: traffic.Traffic;
}

/** Starts a system and waits until all instances are ready. */
export async function startSystem({ instances, workers, hasProxies, traffic: sentTraffic }: StartSystemOptions): Promise<SystemUnderTest> {
    const testPlatform = await platform.startPlatform(workers);
    await testPlatform.store.setBehaviour({ put: { "op/config": createConfiguration(firstVersion, sentTraffic.routes) } });
    await Promise.all(testPlatform.workers.map(async (worker, index) => {
        await worker.setBehaviour({ workMs: sentTraffic.workMs });
        await testPlatform.registerWorker(index, createPlacement(index));
    }));
    const soakInstances = await Promise.all(Array.from({ length: instances }, async (_, index) => {
        const peer = `127.0.0.1:${await ports.findFreePort()}`;
        const [storeLink, peerLink] = hasProxies ? await Promise.all([standIns.startFaultProxy(testPlatform.store.getAddress()), standIns.startFaultProxy(peer)]) : [];
        const flags = {
            "peer-listen": peer,
            ...peerLink === undefined ? {} : { "peer-advertise": peerLink.getAddress() },
            ...storeLink === undefined ? {} : { store: `kv://${storeLink.getAddress()}` },
            "store-timeout-ms": 1_000,
            "entries-ttl-ms": 1_000,
            "entries-grace-ms": 2_000,
            "drain-timeout-ms": 30_000,
            "kill-after-s": 6,
            "stale-after-ms": 86_400_000,
        };
        const instance = await testPlatform.startInstance(domains[index % domains.length], flags, ["--require", path.resolve("test/standins/clock.cjs")]);
        return { instance, storeLink, peerLink };
    }));
    await Promise.all(soakInstances.map(({ instance }) => platform.waitUntilReady(instance)));
    return new SystemUnderTest(testPlatform, soakInstances, sentTraffic);
}
