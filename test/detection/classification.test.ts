/** The classification of upstreams from the statistics of several instances. */

import tap from "tap";
import type * as attemptStatistics from "../../src/detection/attemptStatistics.js";
import * as classification from "../../src/detection/classification.js";

const good = { ok: 10, bad: 0, overdue: 0, streak: 0, newestBadMs: 0, okAgeMs: 20 };
const stalled = { ok: 8, bad: 0, overdue: 1, streak: 1, newestBadMs: 300, okAgeMs: 400 };
const failing = { ok: 1, bad: 6, overdue: 0, streak: 2, newestBadMs: 50, okAgeMs: 30 };
const instances = [["a", "north"], ["b", "middle"], ["c", "south"]] as const;

type Reported = Omit<attemptStatistics.UpstreamStatistics, "upstream">;

void tap.test("classifications", async t => {
    /** `statistics` holds what each of three instances in three failure domains reports of u0; `rest` is what all report of u1 to u3. */
    const doTest = (name: string, statistics: readonly (Reported | undefined)[], expected: classification.Classification["kind"], rest: Reported = good) => {
        const reports = instances.map(([instanceId, failureDomain], index) => ({
            instanceId,
            failureDomain,
            entries: [...statistics[index] === undefined ? [] : [{ upstream: "u0", ...statistics[index] }], ...["u1", "u2", "u3"].map(upstream => ({ upstream, ...rest }))],
        }));
        const classifications = classification.classifyUpstreams({ reports, requiredInstances: 2, requiredDomains: 2 });
        t.equal(classifications.get("u0")?.kind, expected, name);
    };
    doTest("all attempts succeed", [good, good, good], "healthy");
    doTest("a stall observed from two failure domains", [stalled, stalled, undefined], "outlier");
    doTest("a stall observed from only one failure domain", [{ ...stalled, streak: 3, overdue: 3 }, undefined, undefined], "suspect");
    doTest("overdue attempts at two instances, but a later success at a third", [stalled, stalled, good], "healthy");
    doTest("errors observed from all failure domains", [failing, failing, failing], "outlier");
    doTest("errors observed from two failure domains, successes from the third", [failing, failing, good], "suspect");
    doTest("errors at all upstreams of the service", [failing, failing, failing], "suspect", failing);
    doTest("a stall of all upstreams of the service", [stalled, stalled, stalled], "suspect", stalled);
    doTest("one error among many successes", [{ ...good, bad: 1 }, good, good], "healthy");
});
