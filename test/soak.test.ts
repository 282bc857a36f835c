/** Runs short soaks with real processes for fixed seeds. */

import tap from "tap";
import * as plan from "./soak/plan.js";
import * as soak from "./soak/soak.js";

const defaultLengthMs = 12_000;

/** Seeds that once found a violation, with its cause, and seeds that serve as samples. */
const cases: readonly { readonly seed: number; readonly cause: string; readonly lengthMs?: number; readonly kinds?: readonly plan.FaultKind[]; }[] = [
    { seed: 106, cause: "a sample without violations" },
    { seed: 4_103, cause: "stopping instances took late requests whose slow work they then cut", lengthMs: 18_000, kinds: ["instancesRoll"] },
];

for (const { seed, cause, lengthMs = defaultLengthMs, kinds } of cases) {
    void tap.test(`seed ${seed} (${cause})`, async t => {
        const { faults, findings, outcomes } = await soak.runSoak({ seed, lengthMs, kinds, logs: "soak-logs" });
        t.comment(`${faults.map(plan.formatFault).join("; ")}: ${JSON.stringify(outcomes)}`);
        t.strictSame(findings, []);
        t.ok((outcomes["200"] ?? 0) > 1_000, `${outcomes["200"]} requests were served`);
    });
}
