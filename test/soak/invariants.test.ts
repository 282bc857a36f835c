/** Which broken promises the soak's evidence shows. */

import tap from "tap";
import * as invariants from "./invariants.js";
import * as plan from "./plan.js";

const timeoutMs = 4_000;

void tap.test("the evidence of a soak", async t => {
    const answered = (status: number, isOwn = true): invariants.RequestRecord["outcome"] => ({ kind: "answered", status, matchesRequest: isOwn });
    const closed: invariants.RequestRecord["outcome"] = { kind: "closed", reason: "reset" };
    const doTest = (name: string, expected: readonly string[], { ends, runs = 1, isOrder = true, lastsMs = 100, disturbance, calmSince = Infinity }: {
        readonly ends: readonly invariants.RequestRecord["outcome"][];
        readonly runs?: number;
        readonly isOrder?: boolean;
        readonly lastsMs?: number;
        readonly disturbance?: { readonly kind: "planned" | "unplanned"; readonly instance: string; readonly endedAt: number; };
        readonly calmSince?: number;
    }) => {
        const record = new invariants.InvariantChecker();
        const sentAt = 10_000;
        if (disturbance !== undefined) {
            record.addDisturbance(disturbance.instance, 5_000, disturbance.kind)(disturbance.endedAt);
        }
        ends.forEach((end, index) => record.addRequest({ requestId: `r${index}`, instance: "i1", isOrder, sentAt, endedAt: sentAt + lastsMs, outcome: end }));
        const findings = record.listFindings({ executions: new Map(ends.map((_, index) => [`r${index}`, runs])), timeoutMs, steadySince: calmSince });
        t.strictSame(findings.map(({ guarantee: promise }) => promise), expected, name);
    };
    doTest("all is well", [], { ends: [answered(200), answered(502), answered(500)] });
    doTest("an order that ran twice", ["an order runs once at most"], { ends: [answered(200)], runs: 2 });
    doTest("a lookup may run twice", [], { ends: [answered(200)], runs: 2, isOrder: false });
    for (const status of [408, 421, 429, 503]) {
        doTest(`${status} for what has run`, ["\"not run\" is true"], { ends: [answered(status)] });
        doTest(`${status} for what has not run`, [], { ends: [answered(status)], runs: 0 });
    }
    doTest("another's answer", ["each answer is whole and the request's own"], { ends: [answered(200, false)] });
    doTest("connections that an undisturbed instance closed", ["no request is lost"], { ends: [closed, closed, closed, closed] });
    doTest("a few are tolerated", [], { ends: [closed, closed, closed] });
    doTest("none while the instance is told to stop", ["a planned stop cuts nothing"], { ends: [closed], disturbance: { kind: "planned", instance: "i1", endedAt: 11_000 } });
    doTest("while it is killed", [], { ends: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "i1", endedAt: 11_000 } });
    doTest("while another is killed", ["no request is lost"], { ends: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "i2", endedAt: 11_000 } });
    doTest("while the store is away, less than three seconds before", [], { ends: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "all", endedAt: 7_001 } });
    doTest("longer before", ["no request is lost"], { ends: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "all", endedAt: 6_999 } });
    doTest("late answers", ["answers come by the route's time-out"], { ends: Array.from({ length: 8 }, () => answered(504)), lastsMs: 4_501 });
    doTest("answers just in time", [], { ends: Array.from({ length: 8 }, () => answered(504)), lastsMs: 4_499 });
    doTest("a fleet that does not recover", ["the fleet recovers"], { ends: [answered(200), answered(504)], calmSince: 0 });
});

void tap.test("a plan", async t => {
    t.strictSame(plan.createPlan({ seed: 7, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }), "is the same for the same seed");
    t.notSame(plan.createPlan({ seed: 8, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }));
    const kinds = new Set(Array.from({ length: 50 }, (_, seed) => plan.createPlan({ seed, lengthMs: 60_000 })).flat().map(({ kind }) => kind));
    t.strictSame([...kinds].sort(), Object.keys(plan.faultKinds).sort(), "fifty seeds meet every kind");
});
