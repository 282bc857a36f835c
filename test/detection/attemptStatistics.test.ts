/** What counts as evidence, and how long an instance avoids an upstream by itself. */

import tap from "tap";
import * as attemptStatistics from "../../src/detection/attemptStatistics.js";
import * as pool from "../../src/pool/index.js";

const medianMs = 50;

function createUpstream(): pool.Upstream {
    return new pool.Upstream({ service: "s", definition: { id: "u", address: "127.0.0.1:1", failureDomain: "d", state: "live" }, slots: 3 });
}

void tap.test("evidence", async t => {
    const doTest = (name: string, outcome: pool.AttemptOutcome, ageMs: number, expected: { readonly ok: number; readonly bad: number; } | undefined) => {
        const seen = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
        const target = createUpstream();
        seen.recordEnd(target, { route: "r", rankIndex: 0, startedAt: 0, ...(outcome === "answered" ? { answeredAt: ageMs } : {}) }, outcome, ageMs);
        const entry = seen.getStatistics(target, ageMs);
        t.strictSame(entry && { ok: entry.ok, bad: entry.bad }, expected, name);
    };
    doTest("an answer in time", "answered", 60, { ok: 1, bad: 0 });
    doTest("an answer after six medians", "answered", 300, { ok: 0, bad: 1 });
    doTest("a failure", "failed", 10, { ok: 0, bad: 1 });
    doTest("no connection", "unreachable", 10, { ok: 0, bad: 1 });
    doTest("a shed answer is load", "shed", 10, undefined);
    doTest("a caller that leaves", "cancelled", 100, undefined);
    doTest("a caller that leaves after waiting too long", "cancelled", 400, { ok: 0, bad: 1 });
    doTest("a deadline that cuts an attempt short", "timedOut", 100, undefined);
    doTest("a deadline after waiting too long", "timedOut", 400, { ok: 0, bad: 1 });
});

void tap.test("avoidance ends by itself", async t => {
    const seen = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
    const target = createUpstream();
    const fail = (now: number) => seen.recordEnd(target, { route: "r", rankIndex: 0, startedAt: now }, "failed", now);
    fail(0);
    t.equal(seen.getAvoidedUntil(target, 0), -Infinity, "one failure is no reason");
    fail(10);
    t.equal(seen.getAvoidedUntil(target, 10), 1_010);
    t.equal(seen.getAvoidedUntil(target, 5_000), 1_010, "it is not renewed without a new sign");
    fail(5_000);
    t.equal(seen.getAvoidedUntil(target, 5_000), 7_000, "a further failure doubles it");
    for (let now = 6_000; now < 12_000; now += 1_000) {
        fail(now);
    }
    t.equal(seen.getAvoidedUntil(target, 11_000), 19_000, "up to 8 s");
    seen.recordEnd(target, { route: "r", rankIndex: 0, startedAt: 12_000, answeredAt: 12_010 }, "answered", 12_010);
    t.equal(seen.getAvoidedUntil(target, 12_010), -Infinity, "a success ends it");
});

void tap.test("an instance that is slow itself holds nothing against upstreams", async t => {
    const seen = new attemptStatistics.AttemptStatistics({ getMedianLatencyMs: () => medianMs, getMinimumStallMs: () => 250 });
    const target = createUpstream();
    target.attempts.add({ route: "r", rankIndex: 0, startedAt: 0 });
    seen.setLaggingUntil(1_000);
    seen.recordEnd(target, { route: "r", rankIndex: 0, startedAt: 0, answeredAt: 800 }, "answered", 800);
    t.equal(seen.getStatistics(target, 800), undefined);
    seen.recordEnd(target, { route: "r", rankIndex: 0, startedAt: 790 }, "failed", 800);
    t.equal(seen.getStatistics(target, 800)?.bad, 1, "but an error that was not late is one");
    t.equal(seen.getStatistics(target, 1_000)?.overdue, 1, "afterwards it looks again");
});
