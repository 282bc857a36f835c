/** The age at which an attempt is overdue, by median latency and routability. */

import tap from "tap";
import * as pool from "../../src/pool/index.js";

void tap.test("computeOverdueAgeMs", async t => {
    const doTest = (name: string, input: Parameters<typeof pool.computeOverdueAgeMs>[0], expected: number) => t.equal(pool.computeOverdueAgeMs(input), expected, name);
    doTest("fast route: minimum stall time", { medianMs: 10, minimumStallMs: 250, routability: "routable" }, 250);
    doTest("slow route: multiple of the median latency", { medianMs: 100, minimumStallMs: 250, routability: "routable" }, 600);
    doTest("no latency samples: default", { medianMs: undefined, minimumStallMs: 250, routability: "routable" }, 2_000);
    doTest("upstream on trial: longer", { medianMs: 100, minimumStallMs: 250, routability: "trial" }, 1_800);
    doTest("recovering upstream: longer", { medianMs: 10, minimumStallMs: 250, routability: "recovering" }, 750);
});
