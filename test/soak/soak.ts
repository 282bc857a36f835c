/** Runs the real programs under load and faults drawn from a seed, and checks the promises meanwhile. */

import * as fs from "node:fs";
import * as path from "node:path";
import type * as platform from "../harness/platform.js";
import * as callers from "./callers.js";
import * as invariants from "./invariants.js";
import * as faultInjection from "./faultInjection.js";
import * as plan from "./plan.js";
import * as soakSite from "./systemUnderTest.js";

/** Options of a soak. */
export interface RunSoakOptions {
    readonly seed: number;
    /** How long faults begin, in milliseconds. */
    readonly lengthMs: number;
    readonly kinds?: readonly plan.FaultKind[];
    readonly instances?: number;
    readonly workers?: number;
    readonly callers?: number;
    /** A directory for the logs of a soak that breaks a promise; none are kept where empty. */
    readonly logs?: string;
}

/** What a soak has shown. */
export interface SoakResult {
    readonly faults: readonly plan.Fault[];
    readonly findings: readonly invariants.Finding[];
    /** How the callers' requests ended. */
    readonly outcomes: Readonly<Record<string, number>>;
}

/** After the last fault the fleet has this long to recover, in milliseconds. */
const recoveryMs = 6_000;
/** It is then watched for so long, in milliseconds. */
const calmMs = 4_000;
/** Pause between two questions for a version, and between two versions, in milliseconds. */
const probePauseMs = 200;
const changePauseMs = 2_000;
/** A configuration is in force this long after the store has accepted it, in milliseconds; the platform's bound. */
const applyMs = 2_000;

/** Runs a soak. */
export async function runSoak(options: RunSoakOptions): Promise<SoakResult> {
    const { seed, lengthMs, kinds, instances = 5, workers = 10, callers: callerCount = 24 } = options;
    const faults = plan.createPlan({ seed, lengthMs, kinds });
    const record = new invariants.InvariantChecker();
    const site = await soakSite.startSystem({ instances, workers });
    const running = { isOver: false };
    const started = Array.from({ length: callerCount }, (_, index) => new callers.Caller({ name: `c${index}`, getRandom: plan.createRandomGenerator(seed + index + 1), checker: record, getInstances: () => site.getInstances() }));
    const background = [...started.map(caller => caller.run()), runChanges(site, record, running), ...site.instances.map(({ instance }) => runProbes(site, instance, record, running))];
    await Promise.all(faults.map(async fault => {
        await callers.wait(fault.atMs);
        await faultInjection.runFault({ system: site, checker: record, fault });
    }));
    await callers.wait(recoveryMs);
    const calmSince = performance.now();
    const before = await countArrivals(site);
    await callers.wait(calmMs);
    running.isOver = true;
    started.forEach(caller => caller.stop());
    await Promise.all(background);
    (await countArrivals(site)).forEach((arrived, index) => arrived === before[index] ? record.addFinding("a sound worker gets work", `w${index} got nothing for ${calmMs} ms after the last fault`) : undefined);
    const findings = record.listFindings({ executions: await site.countExecutions(), timeoutMs: callers.deadlineMs, steadySince: calmSince });
    await site.stop();
    if (findings.length > 0 && options.logs !== undefined) {
        writeLogs(path.join(options.logs, `seed-${seed}`), site);
    }
    return { faults, findings, outcomes: record.countOutcomes(0) };
}

interface Running {
    isOver: boolean;
}

/** Writes new versions, and notices processes that end by themselves. */
async function runChanges(site: soakSite.SystemUnderTest, record: invariants.InvariantChecker, running: Running): Promise<void> {
    while (!running.isOver) {
        await site.writeConfiguration();
        for (const { instance } of site.instances) {
            if (instance.process.exitCode !== undefined && !site.isLocked(instance.id)) {
                record.addFinding("no process ends by itself", `${instance.id} ended with ${instance.process.exitCode}: ${instance.process.stderrChunks.join("").slice(-500)}`);
                instance.restart();
            }
        }
        await callers.wait(changePauseMs);
    }
}

/** Asks an instance again and again for the newest version. */
async function runProbes(site: soakSite.SystemUnderTest, instance: platform.PlatformInstance, record: invariants.InvariantChecker, running: Running): Promise<void> {
    let seen = { process: instance.process, version: 0 };
    while (!running.isOver) {
        await callers.wait(probePauseMs);
        const { process } = instance;
        const { version, acceptedAt } = site.getNewestVersion();
        const sentAt = performance.now();
        const isThere = await site.hasVersion(instance, version);
        if (process !== instance.process || isThere === undefined || site.getNewestVersion().version > version + 1) {
            continue;
        }
        if (isThere) {
            seen = { process, version };
        }
        else if (seen.process === process && seen.version >= version) {
            record.addFinding("a configuration never goes back", `${instance.id} no longer has version ${version}`);
        }
        else if (sentAt > acceptedAt + applyMs && record.isUndisturbed(instance.id, acceptedAt, performance.now())) {
            record.addFinding("a configuration is soon in force", `${instance.id} lacks version ${version} ${Math.round(sentAt - acceptedAt)} ms after it was accepted`);
        }
    }
}

function countArrivals(site: soakSite.SystemUnderTest): Promise<readonly number[]> {
    return Promise.all(site.platform.workers.map(async worker => (await worker.getState<{ readonly counts: { readonly arrived: number; }; }>()).counts.arrived));
}

function writeLogs(directory: string, site: soakSite.SystemUnderTest): void {
    fs.mkdirSync(directory, { recursive: true });
    for (const { instance } of site.instances) {
        fs.writeFileSync(path.join(directory, `${instance.id}.log`), `${[...instance.previousLines, ...instance.process.stdoutLines].join("\n")}\n`);
    }
}
