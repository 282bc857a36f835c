/** Runs the real programs under load and seeded random faults, and checks the fleet's guarantees. */

import * as fs from "node:fs";
import * as path from "node:path";
import type * as platform from "../harness/platform.js";
import * as callers from "./callers.js";
import * as invariants from "./invariants.js";
import * as faultInjection from "./faultInjection.js";
import * as plan from "./plan.js";
import * as systemUnderTest from "./systemUnderTest.js";
import * as traffic from "./traffic.js";

/** The seed, length and size of a soak. */
export interface RunSoakOptions {
    readonly seed: number;
    /** The period in which faults begin. */
    readonly lengthMs: number;
    readonly kinds?: readonly plan.FaultKind[];
    readonly instances?: number;
    readonly workers?: number;
    readonly callers?: number;
    readonly traffic?: traffic.TrafficName;
    /** The directory for the logs of a soak with violations; no logs are kept if undefined. */
    readonly logs?: string;
}

/** The injected faults and the violations found. */
export interface SoakResult {
    readonly faults: readonly plan.Fault[];
    readonly findings: readonly invariants.Finding[];
    /** The number of requests by status or kind of outcome. */
    readonly outcomes: Readonly<Record<string, number>>;
}

/** The time after the last fault in which the fleet must recover. */
const recoveryMs = 6_000;
/** The time after recovery in which every worker must get requests. */
const observationMs = 4_000;
/** The pauses between two version probes and between two configuration changes. */
const probePauseMs = 200;
const changePauseMs = 2_000;
/** The time in which an accepted configuration must be in force. The platform sets this limit. */
const applyTimeLimitMs = 2_000;

/** Starts the system, runs the load and the fault plan, and returns the violations. */
export async function runSoak(options: RunSoakOptions): Promise<SoakResult> {
    const { seed, lengthMs, kinds, instances = 5, workers = 10, callers: callerCount = 48, traffic: trafficName = "quick" } = options;
    const faults = plan.createPlan({ seed, lengthMs, kinds });
    const checker = new invariants.InvariantChecker();
    const system = await systemUnderTest.startSystem({ instances, workers, hasProxies: faults.some(({ kind }) => kind === "storeCut" || kind === "peersCut"), traffic: traffic.traffics[trafficName] });
    const runState = { isOver: false };
    const loadCallers = Array.from(
        { length: callerCount },
        (_, index) =>
            new callers.Caller({
                name: `c${index}`,
                getRandom: plan.createRandomGenerator(seed + index + 1),
                checker,
                getInstances: () => system.getInstances(),
                getSlowFraction: instance => system.getSlowFraction(instance),
                traffic: system.traffic,
            }),
    );
    const background = [...loadCallers.map(caller => caller.run()), runConfigurationChanges(system, checker, runState), ...system.instances.map(({ instance }) => runVersionProbes(system, instance, checker, runState))];
    const runFault = async (fault: plan.Fault) => {
        await callers.wait(fault.atMs);
        await faultInjection.runFault({ system, checker, fault }).catch((thrown: Error) => checker.addFinding("a fault ends as planned", `${plan.formatFault(fault)}: ${thrown.message}`));
    };
    await Promise.all(faults.map(runFault));
    await callers.wait(recoveryMs);
    const steadySince = performance.now();
    const arrivalsBefore = await countArrivals(system);
    await callers.wait(observationMs);
    runState.isOver = true;
    loadCallers.forEach(caller => caller.stop());
    await Promise.all(background);
    (await countArrivals(system)).forEach((arrived, index) => arrived === arrivalsBefore[index] ? checker.addFinding("a sound worker gets work", `w${index} got nothing for ${observationMs} ms after the last fault`) : undefined);
    const findings = checker.listFindings({ runs: await system.listRuns(), steadySince });
    await system.stop();
    if (findings.length > 0 && options.logs !== undefined) {
        writeLogs(path.join(options.logs, `seed-${seed}`), system);
    }
    return { faults, findings, outcomes: checker.countOutcomes(0) };
}

interface RunState {
    isOver: boolean;
}

/** Writes new configuration versions, and reports and restarts processes that ended unexpectedly. */
async function runConfigurationChanges(system: systemUnderTest.SystemUnderTest, checker: invariants.InvariantChecker, runState: RunState): Promise<void> {
    while (!runState.isOver) {
        await system.writeConfiguration();
        for (const { instance } of system.instances) {
            if (instance.process.exitCode !== undefined && !system.isLocked(instance.id)) {
                checker.addFinding("no process ends by itself", `${instance.id} ended with ${instance.process.exitCode}: ${instance.process.stderrChunks.join("").slice(-500)}`);
                instance.restart();
            }
        }
        await callers.wait(changePauseMs);
    }
}

/** Polls an instance for the newest configuration version. Checks that versions arrive in time and never revert. */
async function runVersionProbes(system: systemUnderTest.SystemUnderTest, instance: platform.PlatformInstance, checker: invariants.InvariantChecker, runState: RunState): Promise<void> {
    let lastSeen = { process: instance.process, version: 0 };
    while (!runState.isOver) {
        await callers.wait(probePauseMs);
        const { process } = instance;
        const { version, acceptedAt } = system.getNewestVersion();
        const sentAt = performance.now();
        const isPresent = await system.hasVersion(instance, version);
        if (process !== instance.process || isPresent === undefined || system.getNewestVersion().version > version + 1) {
            continue;
        }
        if (isPresent) {
            lastSeen = { process, version };
        }
        else if (lastSeen.process === process && lastSeen.version >= version) {
            checker.addFinding("a configuration never goes back", `${instance.id} no longer has version ${version}`);
        }
        else if (sentAt > acceptedAt + applyTimeLimitMs && checker.isUndisturbed(instance.id, acceptedAt, performance.now())) {
            checker.addFinding("a configuration is soon in force", `${instance.id} lacks version ${version} ${Math.round(sentAt - acceptedAt)} ms after it was accepted`);
        }
    }
}

function countArrivals(system: systemUnderTest.SystemUnderTest): Promise<readonly number[]> {
    return Promise.all(system.platform.workers.map(async worker => (await worker.getState<{ readonly counts: { readonly arrived: number; }; }>()).counts.arrived));
}

function writeLogs(directory: string, system: systemUnderTest.SystemUnderTest): void {
    fs.mkdirSync(directory, { recursive: true });
    for (const { instance } of system.instances) {
        fs.writeFileSync(path.join(directory, `${instance.id}.log`), `${[...instance.previousLines, ...instance.process.stdoutLines].join("\n")}\n`);
    }
}
