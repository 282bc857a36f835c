/** A short soak with real processes, and the seeds that have found something. */

import tap from "tap";
import * as plan from "./soak/plan.js";
import * as soak from "./soak/soak.js";

const lengthMs = 12_000;

/** Seeds that once broke a promise, and the cause. */
const cases: readonly { readonly seed: number; readonly cause: string; readonly kinds?: readonly plan.FaultKind[]; }[] = [
    { seed: 106, cause: "none: 21 faults in 24 s that found nothing, as a sample" },
];

for (const { seed, cause, kinds } of cases) {
    void tap.test(`seed ${seed} (${cause})`, async t => {
        const { faults, findings, outcomes: ends } = await soak.runSoak({ seed, lengthMs, kinds, logs: "soak-logs" });
        t.comment(`${faults.map(plan.formatFault).join("; ")}: ${JSON.stringify(ends)}`);
        t.strictSame(findings, []);
        t.ok((ends["200"] ?? 0) > 1_000, `${ends["200"]} requests were served`);
    });
}
