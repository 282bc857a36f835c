/** Soaks the program: real processes under load and faults drawn from a seed; prints the plan and each broken promise. */

import { parseArgs } from "node:util";
import * as plan from "../test/soak/plan.js";
import * as soak from "../test/soak/soak.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: String(Math.floor(Math.random() * 1_000_000)) },
        /** How long faults begin in each soak. */
        minutes: { type: "string", default: "0.5" },
        /** How many seeds, one after the other. */
        count: { type: "string", default: "1" },
        instances: { type: "string", default: "5" },
        workers: { type: "string", default: "10" },
        callers: { type: "string", default: "24" },
        /** The kinds of fault, separated by commas; all where empty. */
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
        const { faults, findings, outcomes: ends } = await soak.runSoak({ seed, lengthMs: minutes * millisecondsPerMinute, kinds, instances, workers, callers, logs: values.logs });
        process.stdout.write(`seed ${seed}: ${faults.length} faults, ${findings.length} findings, requests ${JSON.stringify(ends)}\n`);
        if (findings.length > 0) {
            process.stdout.write(`${faults.map(plan.formatFault).join("\n")}\n${findings.map(({ guarantee: promise, detail }) => `FOUND: ${promise}: ${detail}`).join("\n")}\nlogs: ${values.logs}/seed-${seed}\n`);
            process.exitCode = 1;
        }
    }
}

if (values.help) {
    process.stdout.write(`npm run soak -- [--seed N] [--minutes M] [--count SEEDS] [--instances N] [--workers N] [--callers N] [--kinds KIND,...] [--logs DIRECTORY]\nkinds: ${Object.keys(plan.faultKinds).join(", ")}\n`);
}
else {
    await runSeeds();
}
