/** Guards against requests that a stopping instance takes or sends although it cannot finish them. */

import tap from "tap";
import * as drainAdmission from "../../src/requests/drainAdmission.js";

const shutdown: drainAdmission.ShutdownTimes = { endsAt: 10_000, estimatesEndAt: 7_000 };

void tap.test("a request that arrives or is to be sent during the shutdown", async t => {
    const doTest = (name: string, request: Omit<drainAdmission.RequestTimes, "mayHaveRun">, expected: boolean, mayHaveRun = false) => t.equal(drainAdmission.isAdmitted({ ...request, mayHaveRun }, shutdown), expected, name);
    doTest("its deadline is before the end", { now: 5_000, deadlineAt: 9_000, usualLatencyMs: 8_000 }, true);
    doTest("its deadline is beyond the end, but its route is quick", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: 300 }, true);
    doTest("its route usually takes longer than is left", { now: 6_900, deadlineAt: 17_000, usualLatencyMs: 1_600 }, false);
    doTest("nothing is known of its route", { now: 5_000, deadlineAt: 17_000, usualLatencyMs: undefined }, false);
    doTest("it comes late, and its route is quick, but its deadline is beyond the end", { now: 7_000, deadlineAt: 10_001, usualLatencyMs: 10 }, false);
    doTest("it may have run, is to be sent again late, and its route is quick", { now: 7_000, deadlineAt: 17_000, usualLatencyMs: 300 }, true, true);
    doTest("it may have run, and its route usually takes longer than is left", { now: 9_500, deadlineAt: 17_000, usualLatencyMs: 300 }, false, true);
    doTest("it comes late, and its deadline is before the end", { now: 7_000, deadlineAt: 10_000, usualLatencyMs: undefined }, true);
});

void tap.test("a request that is not admitted", async t => {
    const doTest = (name: string, request: Omit<drainAdmission.RequestTimes, "mayHaveRun">, expected: string) => t.equal(drainAdmission.formatRejection({ ...request, mayHaveRun: false }, shutdown), expected, name);
    doTest(
        "its route usually takes too long",
        { now: 6_900, deadlineAt: 17_000, usualLatencyMs: 1_600 },
        "the request can be expected to end in 3200 ms, but the instance stops in 3100 ms (99 in 100 attempts of its route took at most 1600 ms, and its deadline is in 10100 ms)",
    );
    doTest(
        "it comes when estimates no longer count",
        { now: 7_000, deadlineAt: 10_001, usualLatencyMs: 10 },
        "the request can be expected to end in 3001 ms, but the instance stops in 3000 ms (99 in 100 attempts of its route took at most 10 ms, and its deadline is in 3001 ms)",
    );
    doTest(
        "nothing is known of its route",
        { now: 5_000, deadlineAt: 17_000, usualLatencyMs: undefined },
        "the request can be expected to end in 12000 ms, but the instance stops in 5000 ms (no attempt of its route is known, and its deadline is in 12000 ms)",
    );
});
