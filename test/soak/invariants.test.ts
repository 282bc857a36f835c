/** Violations that the soak's invariant checker reports, and the plans of its faults. */

import tap from "tap";
import * as invariants from "./invariants.js";
import * as plan from "./plan.js";

const timeoutMs = 4_000;

void tap.test("the invariant checks of a soak", async t => {
    const answered = (status: number, matchesRequest = true): invariants.RequestRecord["outcome"] => ({ kind: "answered", status, matchesRequest });
    const closed: invariants.RequestRecord["outcome"] = { kind: "closed", reason: "reset" };
    const doTest = (name: string, expected: readonly string[], { outcomes, runs = 1, isOrder = true, durationMs = 100, disturbance, steadySince = Infinity }: {
        readonly outcomes: readonly invariants.RequestRecord["outcome"][];
        readonly runs?: number;
        readonly isOrder?: boolean;
        readonly durationMs?: number;
        readonly disturbance?: { readonly kind: "planned" | "unplanned"; readonly instance: string; readonly endedAt: number; };
        readonly steadySince?: number;
    }) => {
        const checker = new invariants.InvariantChecker();
        const sentAt = 10_000;
        if (disturbance !== undefined) {
            checker.addDisturbance(disturbance.instance, 5_000, disturbance.kind)(disturbance.endedAt);
        }
        outcomes.forEach((outcome, index) => checker.addRequest({ requestId: `r${index}`, instance: "i1", isOrder, sentAt, endedAt: sentAt + durationMs, outcome }));
        const findings = checker.listFindings({ executions: new Map(outcomes.map((_, index) => [`r${index}`, runs])), timeoutMs, steadySince });
        t.strictSame(findings.map(({ guarantee }) => guarantee), expected, name);
    };
    doTest("no violation", [], { outcomes: [answered(200), answered(502), answered(500)] });
    doTest("an order that was executed twice", ["an order runs once at most"], { outcomes: [answered(200)], runs: 2 });
    doTest("a lookup may be executed twice", [], { outcomes: [answered(200)], runs: 2, isOrder: false });
    for (const status of [408, 421, 429, 503]) {
        doTest(`${status} for a request that was executed`, ["\"not run\" is true"], { outcomes: [answered(status)] });
        doTest(`${status} for a request that was not executed`, [], { outcomes: [answered(status)], runs: 0 });
    }
    doTest("a response that belongs to another request", ["each answer is whole and the request's own"], { outcomes: [answered(200, false)] });
    doTest("four connections closed by an undisturbed instance", ["no request is lost"], { outcomes: [closed, closed, closed, closed] });
    doTest("three closed connections are tolerated", [], { outcomes: [closed, closed, closed] });
    doTest("a connection closed during a planned stop", ["a planned stop cuts nothing"], { outcomes: [closed], disturbance: { kind: "planned", instance: "i1", endedAt: 11_000 } });
    doTest("connections closed while the instance is killed", [], { outcomes: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "i1", endedAt: 11_000 } });
    doTest("connections closed while another instance is killed", ["no request is lost"], { outcomes: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "i2", endedAt: 11_000 } });
    doTest("connections closed less than three seconds after a store outage", [], { outcomes: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "all", endedAt: 7_001 } });
    doTest("connections closed more than three seconds after a store outage", ["no request is lost"], { outcomes: [closed, closed, closed, closed], disturbance: { kind: "unplanned", instance: "all", endedAt: 6_999 } });
    doTest("responses after the tolerance of the timeout", ["answers come by the route's time-out"], { outcomes: Array.from({ length: 8 }, () => answered(504)), durationMs: 4_501 });
    doTest("responses within the tolerance of the timeout", [], { outcomes: Array.from({ length: 8 }, () => answered(504)), durationMs: 4_499 });
    doTest("a fleet that does not recover", ["the fleet recovers"], { outcomes: [answered(200), answered(504)], steadySince: 0 });
});

void tap.test("a fault plan", async t => {
    t.strictSame(plan.createPlan({ seed: 7, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }), "is the same for the same seed");
    t.notSame(plan.createPlan({ seed: 8, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }));
    const kinds = new Set(Array.from({ length: 50 }, (_, seed) => plan.createPlan({ seed, lengthMs: 60_000 })).flat().map(({ kind }) => kind));
    t.strictSame([...kinds].sort(), Object.keys(plan.faultKinds).sort(), "fifty seeds draw every kind of fault");
});
