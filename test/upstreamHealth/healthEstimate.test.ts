/** What outcomes make of the belief about an upstream. */

import tap from "tap";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

type Step = readonly ["good" | "bad" | "survived", sentAt: number, at: number];

function computeFailing(steps: readonly Step[], now: number): number {
    const belief = new upstreamHealth.HealthEstimate();
    steps.forEach(([observation, sentAt, at]) => belief.recordObservation(observation, sentAt, at));
    return belief.getFailureProbability(now);
}

void tap.test("the belief about an upstream", async t => {
    const doTest = (name: string, steps: readonly Step[], now: number, [least, most]: readonly [number, number]) => {
        const failing = computeFailing(steps, now);
        t.ok(failing >= least && failing <= most, `${name}: ${failing.toFixed(3)} is between ${least} and ${most}`);
    };
    const healthy: readonly Step[] = [["good", 0, 100], ["good", 200, 300], ["good", 400, 500]];
    doTest("nothing known", [], 0, [0.2, 0.3]);
    doTest("fresh successes", healthy, 500, [0, 0.01]);
    doTest("an old success", healthy, 10_500, [0.15, 0.25]);
    doTest("one failure among fresh successes is a doubt", [...healthy, ["bad", 510, 520]], 520, [0.05, 0.6]);
    doTest("two failures in a row are a verdict", [...healthy, ["bad", 510, 520], ["bad", 530, 540]], 540, [0.8, 1]);
    doTest("a success ends the doubt of one failure", [...healthy, ["bad", 510, 520], ["good", 530, 600]], 600, [0, 0.1]);
    doTest("a success that was sent before the failure proves nothing", [...healthy, ["bad", 510, 520], ["good", 505, 600]], 600, [0.05, 0.6]);
    doTest("a failing upstream is not trusted for one success", [["bad", 0, 1], ["bad", 10, 11], ["good", 20, 200]], 200, [0.3, 0.9]);
    doTest("but for two", [["bad", 0, 1], ["bad", 10, 11], ["good", 20, 200], ["good", 210, 400]], 400, [0, 0.4]);
    doTest("an attempt that did not fail at once speaks for it", [["survived", 0, 40]], 40, [0.05, 0.2]);
    doTest("a verdict fades", [["bad", 0, 1], ["bad", 10, 11], ["bad", 20, 21]], 15_000, [0.2, 0.4]);
});
