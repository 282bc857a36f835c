/** Guards against requests that a stopping instance takes although it cannot finish them. */

import tap from "tap";
import * as drainAdmission from "../../src/callers/drainAdmission.js";

void tap.test("a request that arrives during the shutdown", async t => {
    const drainEndsAt = 10_000;
    const doTest = (name: string, request: Omit<drainAdmission.ArrivedRequest, "drainEndsAt">, expected: boolean) => t.equal(drainAdmission.isFinishedBeforeEnd({ ...request, drainEndsAt }), expected, name);
    doTest("its deadline is before the end", { now: 5_000, deadlineAt: 9_000, usualLatencyMs: 8_000 }, true);
    doTest("its deadline is beyond the end, but its route is quick", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: 300 }, true);
    doTest("its route usually takes longer than is left", { now: 9_000, deadlineAt: 17_000, usualLatencyMs: 600 }, false);
    doTest("nothing is known of its route", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: undefined }, false);
});
