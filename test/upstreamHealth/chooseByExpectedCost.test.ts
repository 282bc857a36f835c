/** Which upstream a request goes to by what the fleet knows. */

import tap from "tap";
import * as pool from "../../src/pool/index.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

const now = 10_000;

interface Described {
    readonly id: string;
    readonly domain?: string;
    /** Outcomes and how long ago they were. */
    readonly seen?: readonly (readonly ["good" | "bad", number])[];
    readonly inFlight?: number;
}

void tap.test("the choice by standing", async t => {
    const doTest = (name: string, described: readonly Described[], expected: string | undefined, more: Partial<Parameters<typeof upstreamHealth.chooseByExpectedCost>[0]> = {}) => {
        const table = new upstreamHealth.UpstreamHealthTable();
        const upstreams = described.map(({ id, domain = "north", seen = [], inFlight = 0 }) => {
            const created = new pool.Upstream({ service: "s", definition: { id, address: "127.0.0.1:1", failureDomain: domain, state: "live" }, slots: 2 });
            seen.forEach(([observation, ageMs]) => table.getEstimate(created).recordObservation(observation, now - ageMs, now - ageMs));
            table.recordRemoteInFlight(created, "elsewhere", inFlight, now - 60_000 + 59_000);
            return created;
        });
        const chosen = upstreamHealth.chooseByExpectedCost({
            upstreams,
            table,
            now,
            failureDomain: "north",
            canRepeat: false,
            isExplorationUseful: true,
            averageResponseBytes: 1_000,
            waitedMs: 0,
            targetMs: 800,
            medianLatencyMs: 200,
            excluded: new Set(),
            getFraction: () => 0.5,
            ...more,
        });
        t.equal(chosen?.getId(), expected, name);
    };
    const proven: Described = { id: "proven", seen: [["good", 400], ["good", 100]] };
    const stale: Described = { id: "stale", seen: [["good", 8_000]] };
    const failing: Described = { id: "failing", seen: [["bad", 200], ["bad", 100]] };
    doTest("an order goes where a success is fresh", [stale, failing, proven], "proven");
    doTest("a lookup that may be sent again goes where the evidence is old", [stale, failing, proven], "stale", { canRepeat: true });
    doTest("but not where nobody gains by the finding", [stale, failing, proven], "proven", { canRepeat: true, isExplorationUseful: false });
    doTest("waiting at a proven one costs less than a failure", [failing, { ...proven, inFlight: 2 }], "proven");
    doTest("nothing where the proven one's queue is full: a better one may come", [failing, { ...proven, inFlight: 4 }], undefined);
    doTest("but not for ever", [failing, { ...proven, inFlight: 4 }], "failing", { waitedMs: 400 });
    doTest("a lookup does not wait", [failing, { ...proven, inFlight: 4 }], "failing", { canRepeat: true });
    doTest("nothing where all are full", [{ ...failing, inFlight: 4 }, { ...proven, inFlight: 4 }], undefined);
    doTest("the slots that other instances use count", [{ ...proven, id: "busy", inFlight: 1 }, proven], "proven");
    doTest("the own failure domain among equals", [{ ...proven, id: "far", domain: "south" }, proven], "proven");
    doTest("another domain rather than a doubted upstream", [failing, { ...proven, id: "far", domain: "south" }], "far");
    doTest("a large answer stays within its domain", [stale, { ...proven, id: "far", domain: "south" }], "stale", { averageResponseBytes: 90_000 });
    doTest("not where the request has been", [proven, stale], "stale", { excluded: new Set(["proven"]) });
});
