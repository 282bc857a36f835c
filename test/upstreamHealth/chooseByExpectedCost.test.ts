/** Which upstream a request is sent to, given the health estimates and the load that the fleet shares. */

import tap from "tap";
import * as pool from "../../src/pool/index.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

const now = 10_000;

interface UpstreamCase {
    readonly id: string;
    readonly domain?: string;
    /** Outcomes, and their ages in milliseconds. */
    readonly outcomes?: readonly (readonly ["good" | "bad", number])[];
    readonly inFlight?: number;
}

void tap.test("the choice by expected cost", async t => {
    const doTest = (name: string, cases: readonly UpstreamCase[], expected: string | undefined, more: Partial<Parameters<typeof upstreamHealth.chooseByExpectedCost>[0]> = {}) => {
        const table = new upstreamHealth.UpstreamHealthTable();
        const upstreams = cases.map(({ id, domain = "north", outcomes = [], inFlight = 0 }) => {
            const created = new pool.Upstream({ service: "s", definition: { id, address: "127.0.0.1:1", failureDomain: domain, state: "live" }, slots: 2 });
            outcomes.forEach(([observation, ageMs]) => table.getEstimate(created).recordObservation(observation, now - ageMs, now - ageMs));
            table.recordRemoteInFlight(created, "elsewhere", inFlight, now - 60_000 + 59_000);
            return created;
        });
        const chosen = upstreamHealth.chooseByExpectedCost({
            upstreams,
            table,
            now,
            failureDomain: "north",
            canRetry: false,
            exploration: "none",
            averageResponseBytes: 1_000,
            queuedMs: 0,
            targetLatencyMs: 800,
            medianLatencyMs: 200,
            excludedUpstreamIds: new Set(),
            getFraction: () => 0.5,
            ...more,
        });
        t.equal(chosen?.getId(), expected, name);
    };
    const proven: UpstreamCase = { id: "proven", outcomes: [["good", 400], ["good", 100]] };
    const stale: UpstreamCase = { id: "stale", outcomes: [["good", 8_000]] };
    const failing: UpstreamCase = { id: "failing", outcomes: [["bad", 200], ["bad", 100]] };
    doTest("a request that cannot be retried is sent where a success is recent", [stale, failing, proven], "proven");
    doTest("a request that can be retried is sent where the observations are old", [stale, failing, proven], "stale", { canRetry: true, exploration: "oldest" });
    const unused: UpstreamCase = { id: "unused", outcomes: [["good", 900]] };
    const repeatableOnly = { canRetry: true, exploration: "idle" } as const;
    doTest("without orders, a request that can be retried is sent where a success is recent", [unused, failing, proven], "proven", repeatableOnly);
    doTest("without orders, a request that can be retried is sent to an idle upstream", [stale, failing, proven], "stale", repeatableOnly);
    doTest("without orders, an upstream with a request in flight does not count as idle", [{ ...stale, inFlight: 1 }, failing, proven], "proven", repeatableOnly);
    doTest("without orders, an upstream that has just failed does not count as idle", [failing, proven], "proven", repeatableOnly);
    doTest("without orders, an upstream that failed twice is not tried within two seconds", [{ id: "doubted", outcomes: [["bad", 1_900], ["bad", 1_800]] }, proven], "proven", repeatableOnly);
    // Guards against a recovered upstream that gets nothing for over 4 s, until the estimate of its last failures has decayed.
    const createFailed = (ageMs: number): UpstreamCase => ({ id: "failed", outcomes: Array.from({ length: 8 }, () => ["bad", ageMs] as const) });
    doTest("a request that can be retried is sent to an upstream that got nothing for 3 s, whatever its estimate is", [createFailed(3_000), proven], "failed", repeatableOnly);
    doTest("the same where observations serve requests that cannot be retried, and few of those arrive", [createFailed(3_000), proven], "failed", { canRetry: true, exploration: "oldest", observationWeight: 0.05 });
    doTest("it is not sent there before", [createFailed(2_900), proven], "proven", repeatableOnly);
    doTest("nor while another request is in flight there", [{ ...createFailed(3_000), inFlight: 1 }, proven], "proven", repeatableOnly);
    doTest("a request that cannot be retried is not sent there", [createFailed(3_000), proven], "proven", { exploration: "idle" });
    doTest("without orders, a request that cannot be retried is not sent to an idle upstream", [stale, failing, proven], "proven", { ...repeatableOnly, canRetry: false, exploration: "none" });
    doTest("a request that cannot be retried is sent to an idle upstream if it explores", [stale, failing, proven], "stale", { exploration: "idle" });
    doTest("a request that cannot be retried and explores is not sent to a failing upstream", [{ id: "doubted", outcomes: [["bad", 1_900], ["bad", 1_800]] }, proven], "proven", { exploration: "idle" });
    doTest("a large response stays within the failure domain if the request explores", [{ ...stale, domain: "south" }, proven], "proven", { exploration: "idle", averageResponseBytes: 90_000 });
    doTest("queueing at a healthy upstream costs less than a failure", [failing, { ...proven, inFlight: 2 }], "proven");
    doTest("a request waits while the queue of the healthy upstream is full", [failing, { ...proven, inFlight: 4 }], undefined);
    doTest("the wait is limited", [failing, { ...proven, inFlight: 4 }], "failing", { queuedMs: 400 });
    doTest("a request that can be retried does not wait", [failing, { ...proven, inFlight: 4 }], "failing", { canRetry: true, exploration: "oldest" });
    doTest("a request waits while all queues are full", [{ ...failing, inFlight: 4 }, { ...proven, inFlight: 4 }], undefined);
    doTest("slots in use by other instances count", [{ ...proven, id: "busy", inFlight: 1 }, proven], "proven");
    doTest("the local failure domain is preferred among equals", [{ ...proven, id: "far", domain: "south" }, proven], "proven");
    doTest("another failure domain is preferred to a failing upstream", [failing, { ...proven, id: "far", domain: "south" }], "far");
    doTest("a large response stays within the failure domain", [stale, { ...proven, id: "far", domain: "south" }], "stale", { averageResponseBytes: 90_000 });
    doTest("an upstream that the request was already sent to is excluded", [proven, stale], "stale", { excludedUpstreamIds: new Set(["proven"]) });
});
