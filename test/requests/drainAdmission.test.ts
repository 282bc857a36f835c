/** Guards against requests that a stopping instance takes or sends although it cannot finish them. */

import tap from "tap";
import * as drainAdmission from "../../src/requests/drainAdmission.js";

const shutdown: drainAdmission.ShutdownTimes = { endsAt: 10_000, estimatesEndAt: 7_000 };

void tap.test("a request that arrives or is to be sent during the shutdown", async t => {
    const doTest = (name: string, request: drainAdmission.RequestTimes, expected: boolean) => t.equal(drainAdmission.isAdmitted(request, shutdown), expected, name);
    doTest("its deadline is before the end", { now: 5_000, deadlineAt: 9_000, usualLatencyMs: 8_000 }, true);
    doTest("its deadline is beyond the end, but its route is quick", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: 300 }, true);
    doTest("its route usually takes longer than is left", { now: 6_900, deadlineAt: 17_000, usualLatencyMs: 1_600 }, false);
    doTest("nothing is known of its route", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: undefined }, false);
    doTest("it comes late, and its route is quick, but its deadline is beyond the end", { now: 7_000, deadlineAt: 10_001, usualLatencyMs: 10 }, false);
    doTest("it comes late, and its deadline is before the end", { now: 7_000, deadlineAt: 10_000, usualLatencyMs: undefined }, true);
});
