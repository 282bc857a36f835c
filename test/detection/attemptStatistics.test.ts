/** Which outcomes count as good or bad, and how long an instance avoids an upstream by itself. */

import tap from "tap";
import * as attemptStatistics from "../../src/detection/attemptStatistics.js";
import * as pool from "../../src/pool/index.js";

const medianMs = 50;

function createUpstream(): pool.Upstream {
    return new pool.Upstream({ service: "s", definition: { id: "u", address: "127.0.0.1:1", failureDomain: "d", state: "live" }, slots: 3 });
}

void tap.test("the outcomes that count", async t => {
    const doTest = (name: string, outcome: pool.AttemptOutcome, ageMs: number, expected: { readonly ok: number; readonly bad: number; } | undefined) => {
        const statistics = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
        const upstream = createUpstream();
        statistics.recordEnd(upstream, { route: "r", rankIndex: 0, startedAt: 0, ...(outcome === "answered" ? { respondedAt: ageMs } : {}) }, outcome, ageMs);
        const entry = statistics.getStatistics(upstream, ageMs);
        t.strictSame(entry && { ok: entry.ok, bad: entry.bad }, expected, name);
    };
    doTest("a response in time", "answered", 60, { ok: 1, bad: 0 });
    doTest("a response after six times the median latency", "answered", 300, { ok: 0, bad: 1 });
    doTest("a failure", "failed", 10, { ok: 0, bad: 1 });
    doTest("a failed connection", "unreachable", 10, { ok: 0, bad: 1 });
    doTest("a shed request does not count", "shed", 10, undefined);
    doTest("a cancelled attempt does not count", "cancelled", 100, undefined);
    doTest("a cancelled attempt counts if it was overdue", "cancelled", 400, { ok: 0, bad: 1 });
    doTest("an expired deadline does not count", "timedOut", 100, undefined);
    doTest("an expired deadline counts if the attempt was overdue", "timedOut", 400, { ok: 0, bad: 1 });
});

void tap.test("avoidance expires by itself", async t => {
    const statistics = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
    const upstream = createUpstream();
    const fail = (now: number) => statistics.recordEnd(upstream, { route: "r", rankIndex: 0, startedAt: now }, "failed", now);
    fail(0);
    t.equal(statistics.getAvoidedUntil(upstream, 0), -Infinity, "one failure causes no avoidance");
    fail(10);
    t.equal(statistics.getAvoidedUntil(upstream, 10), 1_010);
    t.equal(statistics.getAvoidedUntil(upstream, 5_000), 1_010, "it is not extended without a new failure");
    fail(5_000);
    t.equal(statistics.getAvoidedUntil(upstream, 5_000), 7_000, "another failure doubles the duration");
    for (let now = 6_000; now < 12_000; now += 1_000) {
        fail(now);
    }
    t.equal(statistics.getAvoidedUntil(upstream, 11_000), 19_000, "the duration is at most 8 s");
    statistics.recordEnd(upstream, { route: "r", rankIndex: 0, startedAt: 12_000, respondedAt: 12_010 }, "answered", 12_010);
    t.equal(statistics.getAvoidedUntil(upstream, 12_010), -Infinity, "a success ends the avoidance");
});

void tap.test("an instance that is slow itself does not count overdue attempts", async t => {
    const statistics = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
    const upstream = createUpstream();
    upstream.attempts.add({ route: "r", rankIndex: 0, startedAt: 0 });
    statistics.setLaggingUntil(1_000);
    statistics.recordEnd(upstream, { route: "r", rankIndex: 0, startedAt: 0, respondedAt: 800 }, "answered", 800);
    t.equal(statistics.getStatistics(upstream, 800), undefined);
    statistics.recordEnd(upstream, { route: "r", rankIndex: 0, startedAt: 790 }, "failed", 800);
    t.equal(statistics.getStatistics(upstream, 800)?.bad, 1, "an error that was not overdue counts");
    t.equal(statistics.getStatistics(upstream, 1_000)?.overdue, 1, "overdue attempts count again afterwards");
});
