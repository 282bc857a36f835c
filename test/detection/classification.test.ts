/** Judgements from tables of evidence. */

import tap from "tap";
import type * as attemptStatistics from "../../src/detection/attemptStatistics.js";
import * as classification from "../../src/detection/classification.js";

const good = { ok: 10, bad: 0, overdue: 0, streak: 0, newestBadMs: 0, okAgeMs: 20 };
const stalled = { ok: 8, bad: 0, overdue: 1, streak: 1, newestBadMs: 300, okAgeMs: 400 };
const failing = { ok: 1, bad: 6, overdue: 0, streak: 2, newestBadMs: 50, okAgeMs: 30 };
const instances = [["a", "north"], ["b", "middle"], ["c", "south"]] as const;

type Seen = Omit<attemptStatistics.UpstreamStatistics, "upstream">;

void tap.test("judgements", async t => {
    /** Each row tells what each of three instances, one in each domain, sees of u0; the others see u1 to u3 well unless told. */
    const doTest = (name: string, seen: readonly (Seen | undefined)[], expected: classification.Classification["kind"], rest: Seen = good) => {
        const reports = instances.map(([instanceId, failureDomain], index) => ({
            instanceId,
            failureDomain,
            entries: [...seen[index] === undefined ? [] : [{ upstream: "u0", ...seen[index] }], ...["u1", "u2", "u3"].map(upstream => ({ upstream, ...rest }))],
        }));
        const judged = classification.classifyUpstreams({ reports, requiredInstances: 2, requiredDomains: 2 });
        t.equal(judged.get("u0")?.kind, expected, name);
    };
    doTest("all is well", [good, good, good], "healthy");
    doTest("a stall seen from two domains", [stalled, stalled, undefined], "outlier");
    doTest("a stall seen from one domain only", [{ ...stalled, streak: 3, overdue: 3 }, undefined, undefined], "suspect");
    doTest("overdue at two, but a third instance has had an answer since", [stalled, stalled, good], "healthy");
    doTest("errors seen from all domains", [failing, failing, failing], "outlier");
    doTest("errors from two domains, while the third does well", [failing, failing, good], "suspect");
    doTest("errors everywhere in the service", [failing, failing, failing], "suspect", failing);
    doTest("a stall of the whole service", [stalled, stalled, stalled], "suspect", stalled);
    doTest("one error among many successes", [{ ...good, bad: 1 }, good, good], "healthy");
});
