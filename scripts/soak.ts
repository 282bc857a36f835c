/** Runs soak tests: real processes under load, with faults generated from a seed. Prints the fault plan and every violated guarantee of a run that fails. */

import { parseArgs } from "node:util";
import * as plan from "../test/soak/plan.js";
import * as soak from "../test/soak/soak.js";
import * as traffic from "../test/soak/traffic.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: String(Math.floor(Math.random() * 1_000_000)) },
        /** Period in which faults are started in each run. */
        minutes: { type: "string", default: "0.5" },
        /** Number of consecutive seeds to run. */
        count: { type: "string", default: "1" },
        instances: { type: "string", default: "5" },
        workers: { type: "string", default: "10" },
        callers: { type: "string", default: "48" },
        /** Kind of traffic: quick, mailing or records. */
        traffic: { type: "string", default: "quick" },
        /** Kinds of fault, separated by commas; all kinds if empty. */
        kinds: { type: "string", default: "" },
        logs: { type: "string", default: "soak-logs" },
        help: { type: "boolean", default: false },
    },
});
const millisecondsPerMinute = 60_000;

async function runSeeds(): Promise<void> {
    const [first = 0, minutes = 0, count = 0, instances, workers, callers] = [values.seed, values.minutes, values.count, values.instances, values.workers, values.callers].map(Number);
    const kinds = values.kinds === "" ? undefined : values.kinds.split(",") as plan.FaultKind[];
    for (let seed = first; seed < first + count; seed += 1) {
        const { faults, findings, outcomes } = await soak.runSoak({ seed, lengthMs: minutes * millisecondsPerMinute, kinds, instances, workers, callers, traffic: values.traffic as traffic.TrafficName, logs: values.logs });
        process.stdout.write(`seed ${seed}: ${faults.length} faults, ${findings.length} findings, requests ${JSON.stringify(outcomes)}\n`);
        if (findings.length > 0) {
            process.stdout.write(`${faults.map(plan.formatFault).join("\n")}\n${findings.map(({ guarantee, detail }) => `FOUND: ${guarantee}: ${detail}`).join("\n")}\nlogs: ${values.logs}/seed-${seed}\n`);
            process.exitCode = 1;
        }
    }
}

if (values.help) {
    process.stdout.write(
        `npm run soak -- [--seed N] [--minutes M] [--count SEEDS] [--instances N] [--workers N] [--callers N] [--traffic NAME] [--kinds KIND,...] [--logs DIRECTORY]\ntraffic: ${Object.keys(traffic.traffics).join(", ")}\nkinds: ${
            Object.keys(plan.faultKinds).join(", ")
        }\n`,
    );
}
else {
    await runSeeds();
}
