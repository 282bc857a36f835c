/** Brings a fault about, and mends it. */

import * as processes from "../harness/processes.js";
import type * as standIns from "../harness/standIns.js";
import * as callers from "./callers.js";
import type * as invariants from "./invariants.js";
import type * as plan from "./plan.js";
import * as soakSite from "./systemUnderTest.js";

/** A worker gets nothing this long after it has said that it leaves, in milliseconds; the platform's bound. */
const drainMs = 2_000;
/** For so long after that the worker is watched, in milliseconds. */
const watchedMs = 1_500;
/** A killed process is started again after this time, in milliseconds. */
const restartMs = 500;
/** A process that was told to stop ends within this time, in milliseconds; the platform kills it then. */
const graceMs = 6_000;
/** Of several instances that a fault meets, the part. */
const somePart = 0.5;
/** The part of its requests that a failing worker fails, and that a spoiling one spoils. */
const failingPart = 0.9;
const spoilPart = 0.3;
/** How much longer a slow worker works. */
const slowFactor = 5;
/** What a slow store and a slow link add, in milliseconds; less than the time-out of a call. */
const slowStoreMs = 400;
const slowLinkMs = 150;
/** The store's replies that are lost in one fault. */
const lostReplies = 5;
/** Milliseconds between two versions of a burst; shorter than a watch collects events. */
const stormGapMs = 150;

/** What a fault is done to. */
export interface RunFaultOptions {
    readonly system: soakSite.SystemUnderTest;
    readonly checker: invariants.InvariantChecker;
    readonly fault: plan.Fault;
}

/** Brings a fault about and returns once it is over; one that meets what another fault has hold of is left out there. */
export async function runFault(options: RunFaultOptions): Promise<void> {
    const { fault: { kind, variant: how }, system: { platform: { store } } } = options;
    const runners: Readonly<Record<plan.FaultKind, () => Promise<void>>> = {
        workerFails: () => runOnWorker(options, { failPart: failingPart, failure: how }, { failPart: 0 }),
        workerSpoils: () => runOnWorker(options, { spoilPart, spoiled: how }, { spoilPart: 0, spoiled: "none" }),
        workerSlow: () => runOnWorker(options, { workMs: soakSite.workMs * slowFactor }, { workMs: soakSite.workMs }),
        workerLeaves: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => runLeaving(options)),
        workerRestarts: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => registerAnew(options)),
        addressReused: () => runOnWorker(options, { id: "another" }, { id: `w${getWorkerIndex(options)}` }),
        storeFails: () => runOnStore(options, { failure: how }),
        storeSlow: () => runOnStore(options, { delayMs: slowStoreMs }),
        storeLosesReplies: () => runOnStore(options, { lostReplies }),
        storeForgets: () => runOnStore(options, { dropHistory: true, cutWatches: true }),
        storeRevokes: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => runRevocation(options)),
        storeCut: () => runOnLink(options, "storeLink"),
        peersCut: () => runOnLink(options, "peerLink"),
        instanceFreezes: () => runOnInstances(options, runFreeze),
        instanceKilled: () => runOnInstances(options, runKill),
        instanceStops: () => runOnInstances(options, runPlannedStop, "planned"),
        clockSteps: () => runOnInstances(options, async ({ instance }) => instance.process.sendSignal("SIGUSR2")),
        configurationStorm: () => runStorm(options),
        configurationSpoiled: () => store.setBehaviour({ put: { "op/config": how === "older" ? soakSite.createConfiguration(1) : { version: "none" } } }),
        settingsReread: () => runOnInstances(options, async ({ instance }) => instance.process.sendSignal("SIGHUP"), "none"),
    };
    await runners[kind]();
}

function getWorkerIndex({ system: site, fault: { target } }: RunFaultOptions): number {
    return target % site.platform.workers.length;
}

async function runOnWorker(options: RunFaultOptions, change: object, mended: object): Promise<void> {
    const index = getWorkerIndex(options);
    const worker = options.system.platform.workers[index]!;
    await options.system.runExclusively(`w${index}`, async () => {
        await worker.setBehaviour(change);
        await callers.wait(options.fault.durationMs);
        await worker.setBehaviour(mended);
        await registerAnew(options);
    });
}

async function registerAnew(options: RunFaultOptions): Promise<void> {
    await options.system.platform.registerWorker(getWorkerIndex(options), { ...soakSite.createPlacement(getWorkerIndex(options)), born: Date.now(), seq: 0 });
}

async function runLeaving(options: RunFaultOptions): Promise<void> {
    const { system: site, checker: record, fault: { variant: how } } = options;
    const index = getWorkerIndex(options);
    const key = `servers/w${index}`;
    const worker = site.platform.workers[index]!;
    const countArrived = async () => (await worker.getState<{ readonly counts: { readonly arrived: number; }; }>()).counts.arrived;
    const from = performance.now();
    await (how === "gone" ? site.platform.store.setBehaviour({ remove: [key] }) : site.platform.registerWorker(index, { ...soakSite.createPlacement(index), state: "draining" }));
    await callers.wait(drainMs);
    const before = await countArrived();
    await callers.wait(watchedMs);
    const arrived = await countArrived() - before;
    const areAllInTouch = site.instances.every(({ instance }) => record.isUndisturbed(instance.id, from, performance.now()));
    if (arrived > 0 && areAllInTouch) {
        record.addFinding("a worker that leaves gets nothing new", `w${index} got ${arrived} requests later than ${drainMs} ms after its entry`);
    }
    await registerAnew(options);
}

async function runOnStore(options: RunFaultOptions, change: object): Promise<void> {
    const { system: site, checker: record, fault: { durationMs } } = options;
    await site.runExclusively("store", async () => {
        const end = record.addDisturbance("all", performance.now());
        await site.platform.store.setBehaviour(change);
        await callers.wait(durationMs);
        await site.platform.store.setBehaviour({ failure: "none", delayMs: 0, lostReplies: 0 });
        end(performance.now());
    });
}

/** The store is away, and the lease of a worker lapses meanwhile; its entry returns soon after. */
async function runRevocation(options: RunFaultOptions): Promise<void> {
    await runOnStore(options, { failure: options.fault.variant, remove: [`servers/w${getWorkerIndex(options)}`] });
    await callers.wait(drainMs / 2);
    await registerAnew(options);
}

async function runOnLink(options: RunFaultOptions, link: "storeLink" | "peerLink"): Promise<void> {
    const { system: site, checker: record, fault: { variant: how, durationMs, target } } = options;
    const chosen = site.instances[target % site.instances.length]!;
    const end = record.addDisturbance(chosen.instance.id, performance.now());
    const changes: Readonly<Record<string, object>> = {
        forward: { blocksForward: true },
        backward: { blocksBackward: true },
        both: { blocksForward: true, blocksBackward: true },
        reset: { action: "reset" },
        slow: { delayMs: slowLinkMs },
    };
    const proxy: standIns.StandIn = chosen[link];
    await proxy.setBehaviour(changes[how]!);
    await callers.wait(durationMs);
    // Bytes were swallowed, so what is left of the old connections is of no use.
    await proxy.setBehaviour({ blocksForward: false, blocksBackward: false, delayMs: 0, ...how === "slow" ? {} : { action: "reset" } });
    end(performance.now());
}

type ActOnInstance = (chosen: soakSite.SoakInstance, options: RunFaultOptions) => Promise<void>;

async function runOnInstances(options: RunFaultOptions, act: ActOnInstance, disturbance: "unplanned" | "planned" | "none" = "unplanned"): Promise<void> {
    const { system: site, checker: record, fault: { variant: how, target } } = options;
    const { instances } = site;
    const count = how === "all" ? instances.length : how === "some" ? Math.ceil(instances.length * somePart) : 1;
    await Promise.all(Array.from({ length: count }, async (_, offset) => {
        const chosen = instances[(target + offset) % instances.length]!;
        await site.runExclusively(chosen.instance.id, async () => {
            const end = disturbance === "none" ? undefined : record.addDisturbance(chosen.instance.id, performance.now(), disturbance);
            await act(chosen, options);
            end?.(performance.now());
        });
    }));
}

async function runFreeze({ instance }: soakSite.SoakInstance, { fault: { durationMs } }: RunFaultOptions): Promise<void> {
    instance.process.sendSignal("SIGSTOP");
    await callers.wait(durationMs);
    instance.process.sendSignal("SIGCONT");
}

async function runKill({ instance }: soakSite.SoakInstance): Promise<void> {
    instance.process.sendSignal("SIGKILL");
    await instance.process.waitForExit();
    await callers.wait(restartMs);
    await startInstanceAgain(instance);
}

async function runPlannedStop({ instance }: soakSite.SoakInstance, { checker: record }: RunFaultOptions): Promise<void> {
    instance.process.sendSignal("SIGTERM");
    const status = await instance.process.waitForExit(graceMs);
    if (status !== 0) {
        record.addFinding("a planned stop ends by itself", `${instance.id} ended with ${status} after SIGTERM`);
        await instance.process.stop();
    }
    await callers.wait(restartMs);
    await startInstanceAgain(instance);
}

async function startInstanceAgain(instance: soakSite.SoakInstance["instance"]): Promise<void> {
    instance.restart();
    await processes.waitFor(`${instance.id} starts again`, () => instance.listLogs("instance-started").length > 0 || instance.process.exitCode !== undefined);
}

async function runStorm({ system: site, fault: { durationMs } }: RunFaultOptions): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stormGapMs) {
        await site.writeConfiguration();
        await callers.wait(stormGapMs);
    }
}
