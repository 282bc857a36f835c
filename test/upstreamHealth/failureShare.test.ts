/** The share of failed attempts decides whether requests that cannot be retried try idle upstreams. */

import tap from "tap";
import type * as pool from "../../src/pool/index.js";
import * as failureShare from "../../src/upstreamHealth/failureShare.js";

void tap.test("the share of failed attempts", async t => {
    const doTest = (name: string, outcomes: readonly pool.AttemptOutcome[], minimum: number, maximum: number, ageMs = 0) => {
        const shares = new failureShare.FailureShare();
        outcomes.forEach(outcome => shares.recordAttempt("s", outcome, 1_000));
        const share = shares.getShare("s", 1_000 + ageMs);
        t.ok(share >= minimum && share <= maximum, `${name}: ${share}`);
        t.equal(shares.getShare("other", 1_000), 0, "other services are not affected");
    };
    const repeat = (outcome: pool.AttemptOutcome, count: number) => Array.from({ length: count }, () => outcome);
    doTest("without attempts", [], 0, 0);
    doTest("successes", repeat("answered", 100), 0, 0);
    doTest("every second attempt failed", [...repeat("answered", 100), ...repeat("failed", 100)], 0.4, 0.5);
    doTest("callers left", repeat("cancelled", 100), 0.9, 1);
    doTest("time-outs", repeat("timedOut", 100), 0.9, 1);
    doTest("no connections", repeat("unreachable", 100), 0.9, 1);
    doTest("rejections are no failures", repeat("shed", 100), 0, 0);
    doTest("failures long ago", repeat("failed", 100), 0, 0.01, 60_000);
});
