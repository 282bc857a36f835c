/** How outcomes and time change the estimated failure probability of an upstream. */

import tap from "tap";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

type Step = readonly ["good" | "bad" | "survived", sentAt: number, at: number];

function computeFailureProbability(steps: readonly Step[], now: number): number {
    const estimate = new upstreamHealth.HealthEstimate();
    steps.forEach(([observation, sentAt, at]) => estimate.recordObservation(observation, sentAt, at));
    return estimate.getFailureProbability(now);
}

void tap.test("the health estimate of an upstream", async t => {
    const doTest = (name: string, steps: readonly Step[], now: number, [minimum, maximum]: readonly [number, number]) => {
        const failureProbability = computeFailureProbability(steps, now);
        t.ok(failureProbability >= minimum && failureProbability <= maximum, `${name}: ${failureProbability.toFixed(3)} is between ${minimum} and ${maximum}`);
    };
    const healthy: readonly Step[] = [["good", 0, 100], ["good", 200, 300], ["good", 400, 500]];
    doTest("no observations", [], 0, [0.2, 0.3]);
    doTest("recent successes", healthy, 500, [0, 0.01]);
    doTest("an old success", healthy, 10_500, [0.15, 0.25]);
    doTest("one failure after recent successes raises the estimate", [...healthy, ["bad", 510, 520]], 520, [0.05, 0.6]);
    doTest("two consecutive failures show a failing upstream", [...healthy, ["bad", 510, 520], ["bad", 530, 540]], 540, [0.8, 1]);
    doTest("one success outweighs one earlier failure", [...healthy, ["bad", 510, 520], ["good", 530, 600]], 600, [0, 0.1]);
    doTest("a success that was sent before the failure is ignored", [...healthy, ["bad", 510, 520], ["good", 505, 600]], 600, [0.05, 0.6]);
    doTest("one success is not enough after two failures", [["bad", 0, 1], ["bad", 10, 11], ["good", 20, 200]], 200, [0.3, 0.9]);
    doTest("two successes are enough after two failures", [["bad", 0, 1], ["bad", 10, 11], ["good", 20, 200], ["good", 210, 400]], 400, [0, 0.4]);
    doTest("an attempt that did not fail immediately lowers the estimate", [["survived", 0, 40]], 40, [0.05, 0.2]);
    doTest("the estimate decays towards the prior", [["bad", 0, 1], ["bad", 10, 11], ["bad", 20, 21]], 15_000, [0.2, 0.4]);
});
