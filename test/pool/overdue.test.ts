/** The age at which an attempt is overdue. */

import tap from "tap";
import * as pool from "../../src/pool/index.js";

void tap.test("overdue", async t => {
    const doTest = (name: string, input: Parameters<typeof pool.computeOverdueMs>[0], expected: number) => t.equal(pool.computeOverdueMs(input), expected, name);
    doTest("a fast route", { medianMs: 10, minimumStallMs: 250, routability: "routable" }, 250);
    doTest("a slow route", { medianMs: 100, minimumStallMs: 250, routability: "routable" }, 600);
    doTest("no history", { medianMs: undefined, minimumStallMs: 250, routability: "routable" }, 2_000);
    doTest("on trial", { medianMs: 100, minimumStallMs: 250, routability: "trial" }, 1_800);
    doTest("just come back", { medianMs: 10, minimumStallMs: 250, routability: "recovering" }, 750);
});
