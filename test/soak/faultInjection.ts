/** Injects and removes the faults of a soak. */

import * as processes from "../harness/processes.js";
import type * as standIns from "../harness/standIns.js";
import * as callers from "./callers.js";
import type * as invariants from "./invariants.js";
import type * as plan from "./plan.js";
import * as systemUnderTest from "./systemUnderTest.js";

/** A worker that drains or is removed must get no new requests after this time. The platform sets this limit. */
const drainTimeLimitMs = 2_000;
/** The time after `drainTimeLimitMs` in which the worker's requests are counted. */
const observationMs = 1_500;
/** The delay before an ended process is restarted. */
const restartMs = 500;
/** The time in which a process must end after SIGTERM. The platform kills it after this time. */
const stopTimeLimitMs = 6_000;
/** The interval between two stops that overlap. */
const overlappingStopIntervalMs = 1_300;
/** The fraction of instances that the variant "some" affects. */
const someFraction = 0.5;
/** The fraction of requests that fail at a failing worker, and the fraction of faulty responses of a worker that spoils responses. */
const failureFraction = 0.9;
const faultyFraction = 0.3;
/** The factor by which a slow worker takes longer. */
const slowFactor = 5;
/** The delays that a slow store and a slow link add. Each is shorter than the timeout of a call. */
const slowStoreMs = 400;
const slowLinkMs = 150;
/** The number of store replies lost in one fault. */
const lostReplies = 5;
/** The age of the copy with which the store returns, and the time until what was written since is written again. */
const copyAgeMs = 2_000;
const rewriteAfterMs = 500;
/** The interval between two versions of a configuration storm. It is shorter than the time for which a watch batches events. */
const stormIntervalMs = 150;

/** The fault to inject, the system that it affects, and the checker that records violations. */
export interface RunFaultOptions {
    readonly system: systemUnderTest.SystemUnderTest;
    readonly checker: invariants.InvariantChecker;
    readonly fault: plan.Fault;
}

/** Injects a fault and returns when it is over. Skips workers, stores and instances that another fault has locked. */
export async function runFault(options: RunFaultOptions): Promise<void> {
    const { fault: { kind, variant }, system: { platform: { store } } } = options;
    const runners: Readonly<Record<plan.FaultKind, () => Promise<void>>> = {
        workerFails: () => runOnWorker(options, { failPart: failureFraction, failure: variant }, { failPart: 0 }),
        workerSpoils: () => runOnWorker(options, { spoilPart: faultyFraction, spoiled: variant }, { spoilPart: 0, spoiled: "none" }),
        workerSlow: () => runOnWorker(options, { workMs: options.system.traffic.workMs * slowFactor }, { workMs: options.system.traffic.workMs }),
        workSlows: () => runSlowSpell(options),
        workerLeaves: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => runWorkerRemoval(options)),
        workerRestarts: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => registerAgain(options)),
        addressReused: () => runOnWorker(options, { id: "another" }, { id: `w${getWorkerIndex(options)}` }),
        storeFails: () => runOnStore(options, { failure: variant }),
        storeSlow: () => runOnStore(options, { delayMs: slowStoreMs }),
        storeLosesReplies: () => runOnStore(options, { lostReplies }),
        storeForgets: () => runOnStore(options, { dropHistory: true, cutWatches: true }),
        storeRevokes: () => options.system.runExclusively(`w${getWorkerIndex(options)}`, () => runLeaseRevocation(options)),
        storeReturns: () => runStoreReturn(options),
        storeCut: () => runOnLink(options, "storeLink"),
        peersCut: () => runOnLink(options, "peerLink"),
        instanceFreezes: () => runOnInstances(options, runFreeze),
        instanceKilled: () => runOnInstances(options, runKill),
        instanceStops: () => runOnInstances(options, runPlannedStop, "planned"),
        instancesRoll: () => runRollingRestart(options),
        instancesOverlap: () => runOverlappingStops(options),
        clockSteps: () => runOnInstances(options, async ({ instance }) => instance.process.sendSignal("SIGUSR2")),
        configurationStorm: () => runStorm(options),
        configurationSpoiled: () => store.setBehaviour({ put: { "op/config": variant === "older" ? systemUnderTest.createConfiguration(1, options.system.traffic.routes) : { version: "none" } } }),
        settingsReread: () => runOnInstances(options, async ({ instance }) => instance.process.sendSignal("SIGHUP"), "none"),
    };
    await runners[kind]();
}

function getWorkerIndex({ system, fault: { target } }: RunFaultOptions): number {
    return target % system.platform.workers.length;
}

async function runOnWorker(options: RunFaultOptions, change: object, restored: object): Promise<void> {
    const index = getWorkerIndex(options);
    const worker = options.system.platform.workers[index]!;
    await options.system.runExclusively(`w${index}`, async () => {
        await worker.setBehaviour(change);
        await callers.wait(options.fault.durationMs);
        await worker.setBehaviour(restored);
        await registerAgain(options);
    });
}

async function runSlowSpell({ system, fault: { durationMs } }: RunFaultOptions): Promise<void> {
    const endSpell = system.startSlowSpell();
    await callers.wait(durationMs);
    endSpell();
}

async function registerAgain(options: RunFaultOptions): Promise<void> {
    await options.system.platform.registerWorker(getWorkerIndex(options), { ...systemUnderTest.createPlacement(getWorkerIndex(options)), born: Date.now(), seq: 0 });
}

async function runWorkerRemoval(options: RunFaultOptions): Promise<void> {
    const { system, checker, fault: { variant } } = options;
    const index = getWorkerIndex(options);
    const key = `servers/w${index}`;
    const worker = system.platform.workers[index]!;
    const countArrived = async () => (await worker.getState<{ readonly counts: { readonly arrived: number; }; }>()).counts.arrived;
    const startedAt = performance.now();
    await (variant === "gone" ? system.platform.store.setBehaviour({ remove: [key] }) : system.platform.registerWorker(index, { ...systemUnderTest.createPlacement(index), state: "draining" }));
    await callers.wait(drainTimeLimitMs);
    const arrivedBefore = await countArrived();
    await callers.wait(observationMs);
    const lateArrivals = await countArrived() - arrivedBefore;
    const areAllUndisturbed = system.instances.every(({ instance }) => checker.isUndisturbed(instance.id, startedAt, performance.now()));
    if (lateArrivals > 0 && areAllUndisturbed) {
        checker.addFinding("a worker that leaves gets nothing new", `w${index} got ${lateArrivals} requests later than ${drainTimeLimitMs} ms after its entry`);
    }
    await registerAgain(options);
}

async function runOnStore(options: RunFaultOptions, change: object, restored: object = {}): Promise<void> {
    const { system, checker, fault: { durationMs } } = options;
    await system.runExclusively("store", async () => {
        const endDisturbance = checker.addDisturbance("all", performance.now(), "store");
        await system.platform.store.setBehaviour(change);
        await callers.wait(durationMs);
        await system.platform.store.setBehaviour({ failure: "none", delayMs: 0, lostReplies: 0, ...restored });
        endDisturbance(performance.now());
    });
}

/** Removes a worker's entry during a store outage, as an expired lease does, and restores it soon after the outage. */
async function runLeaseRevocation(options: RunFaultOptions): Promise<void> {
    await runOnStore(options, { failure: options.fault.variant, remove: [`servers/w${getWorkerIndex(options)}`] });
    await callers.wait(drainTimeLimitMs / 2);
    await registerAgain(options);
}

/** Takes a copy of the store, with which the store returns after an outage. The operator and the workers then write again what they wrote since. */
async function runStoreReturn(options: RunFaultOptions): Promise<void> {
    await options.system.platform.store.setBehaviour({ takeCopy: true });
    await callers.wait(copyAgeMs);
    await runOnStore(options, { failure: options.fault.variant }, { restoreCopy: { rewriteAfterMs } });
}

async function runOnLink(options: RunFaultOptions, link: "storeLink" | "peerLink"): Promise<void> {
    const { system, checker, fault: { variant, durationMs, target } } = options;
    const soakInstance = system.instances[target % system.instances.length]!;
    const endDisturbance = checker.addDisturbance(soakInstance.instance.id, performance.now());
    const changes: Readonly<Record<string, object>> = {
        forward: { blocksForward: true },
        backward: { blocksBackward: true },
        both: { blocksForward: true, blocksBackward: true },
        reset: { action: "reset" },
        slow: { delayMs: slowLinkMs },
    };
    const proxy: standIns.StandIn = soakInstance[link]!;
    await proxy.setBehaviour(changes[variant]!);
    await callers.wait(durationMs);
    // Connections that lost bytes cannot continue, so they are reset.
    await proxy.setBehaviour({ blocksForward: false, blocksBackward: false, delayMs: 0, ...variant === "slow" ? {} : { action: "reset" } });
    endDisturbance(performance.now());
}

type InstanceAction = (soakInstance: systemUnderTest.SoakInstance, options: RunFaultOptions) => Promise<void>;

function listTargets({ system: { instances }, fault: { variant, target } }: RunFaultOptions): readonly systemUnderTest.SoakInstance[] {
    const count = variant === "all" ? instances.length : variant.startsWith("some") ? Math.ceil(instances.length * someFraction) : 1;
    return Array.from({ length: count }, (_, offset) => instances[(target + offset) % instances.length]!);
}

async function runOnInstances(options: RunFaultOptions, action: InstanceAction, disturbance: "unplanned" | "planned" | "none" = "unplanned"): Promise<void> {
    await Promise.all(listTargets(options).map(soakInstance => runOnInstance(options, soakInstance, action, disturbance)));
}

async function runOnInstance(options: RunFaultOptions, soakInstance: systemUnderTest.SoakInstance, action: InstanceAction, disturbance: "unplanned" | "planned" | "none"): Promise<void> {
    const { system, checker } = options;
    await system.runExclusively(soakInstance.instance.id, async () => {
        const endDisturbance = disturbance === "none" ? undefined : checker.addDisturbance(soakInstance.instance.id, performance.now(), disturbance);
        await action(soakInstance, options);
        endDisturbance?.(performance.now());
    });
}

/** Stops and restarts instances one after another. */
async function runRollingRestart(options: RunFaultOptions): Promise<void> {
    for (const soakInstance of listTargets(options)) {
        await runOnInstance(options, soakInstance, runPlannedStop, "planned");
    }
}

/** Stops and restarts instances, each some time after the one before, which has not ended by then. */
async function runOverlappingStops(options: RunFaultOptions): Promise<void> {
    await Promise.all(
        listTargets(options).map(async (soakInstance, index) => {
            await callers.wait(index * overlappingStopIntervalMs);
            await runOnInstance(options, soakInstance, runPlannedStop, "planned");
        }),
    );
}

async function runFreeze({ instance }: systemUnderTest.SoakInstance, { fault: { durationMs } }: RunFaultOptions): Promise<void> {
    instance.process.sendSignal("SIGSTOP");
    await callers.wait(durationMs);
    instance.process.sendSignal("SIGCONT");
}

async function runKill({ instance }: systemUnderTest.SoakInstance): Promise<void> {
    instance.process.sendSignal("SIGKILL");
    await instance.process.waitForExit();
    await callers.wait(restartMs);
    await restartInstance(instance);
}

/** Stops and restarts an instance. In the variant "someSlow", late requests during the stop often take long. */
async function runPlannedStop({ instance }: systemUnderTest.SoakInstance, { system, checker, fault: { variant } }: RunFaultOptions): Promise<void> {
    const endSpell = variant === "someSlow" ? system.startSlowSpell(instance.id) : undefined;
    instance.process.sendSignal("SIGTERM");
    const status = await instance.process.waitForExit(stopTimeLimitMs);
    endSpell?.();
    checker.addProcessEnd(instance.id, performance.now(), status);
    if (status !== 0) {
        checker.addFinding("a planned stop ends by itself", `${instance.id} ended with ${status} after SIGTERM`);
        await instance.process.stop();
    }
    await callers.wait(restartMs);
    await restartInstance(instance);
}

async function restartInstance(instance: systemUnderTest.SoakInstance["instance"]): Promise<void> {
    instance.restart();
    await processes.waitFor(`${instance.id} restarts`, () => instance.listLogs("instance-started").length > 0 || instance.process.exitCode !== undefined);
}

async function runStorm({ system, fault: { durationMs } }: RunFaultOptions): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stormIntervalMs) {
        await system.writeConfiguration();
        await callers.wait(stormIntervalMs);
    }
}
