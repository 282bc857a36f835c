/** Violations that the soak's invariant checker reports, and the plans of its faults. */

import tap from "tap";
import * as invariants from "./invariants.js";
import * as plan from "./plan.js";

const deadlineMs = 4_000;

void tap.test("the invariant checks of a soak", async t => {
    const answered = (status: number, matchesRequest = true): invariants.RequestRecord["outcome"] => ({ kind: "answered", status, matchesRequest });
    const closed: invariants.RequestRecord["outcome"] = { kind: "closed", reason: "reset", isReused: false, status: 0, bytes: 0 };
    const doTest = (name: string, expected: readonly string[], { outcomes, runs = 1, isOrder = true, durationMs = 100, unreadMs = 0, disturbance, steadySince = Infinity }: {
        readonly outcomes: readonly invariants.RequestRecord["outcome"][];
        readonly runs?: number;
        readonly isOrder?: boolean;
        readonly durationMs?: number;
        readonly unreadMs?: number;
        readonly disturbance?: { readonly kind: "planned" | "unplanned"; readonly instance: string; readonly endedAt: number; };
        readonly steadySince?: number;
    }) => {
        const checker = new invariants.InvariantChecker();
        const sentAt = 10_000;
        if (disturbance !== undefined) {
            checker.addDisturbance(disturbance.instance, 5_000, disturbance.kind)(disturbance.endedAt);
        }
        outcomes.forEach((outcome, index) => checker.addRequest({ requestId: `r${index}`, instance: "i1", route: "order", isOrder, deadlineMs, sentAt, sentEntirelyAt: sentAt, unreadMs, endedAt: sentAt + durationMs, outcome }));
        const findings = checker.listFindings({
            runs: new Map(outcomes.flatMap((_, index) => runs === 0 ? [] : [[`r${index}`, Array.from({ length: runs }, () => ({ startedAt: sentAt, endedAt: sentAt + durationMs, isAnswered: true }))]])),
            steadySince,
        });
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
    doTest("responses that the caller left unread for a time", [], { outcomes: Array.from({ length: 8 }, () => answered(200)), durationMs: 5_501, unreadMs: 1_002 });
    doTest("late responses that the caller left unread for a time", ["answers come by the route's time-out"], { outcomes: Array.from({ length: 8 }, () => answered(200)), durationMs: 5_501, unreadMs: 1_000 });
    doTest("a fleet that does not recover", ["the fleet recovers"], { outcomes: [answered(200), answered(504)], steadySince: 0 });
});

void tap.test("requests that a planned stop cuts", async t => {
    const stoppedAt = 10_000;
    const doTest = (name: string, isFound: boolean, { sentAt = 1_000, sentEntirelyAt = sentAt, endedAt = 5_600, requestDeadlineMs = 12_000, runs, isAlsoKilled = false, isStoreDown = false }: {
        /** Times are in milliseconds after SIGTERM. */
        readonly sentAt?: number;
        readonly sentEntirelyAt?: number;
        readonly endedAt?: number;
        readonly requestDeadlineMs?: number;
        readonly runs: readonly (readonly [startedAt: number, endedAt: number, isAnswered?: boolean])[];
        readonly isAlsoKilled?: boolean;
        readonly isStoreDown?: boolean;
    }) => {
        const checker = new invariants.InvariantChecker();
        checker.addDisturbance("i1", stoppedAt, "planned")(stoppedAt + 7_000);
        if (isAlsoKilled) {
            checker.addDisturbance("i1", stoppedAt + 5_000)(stoppedAt + 7_000);
        }
        if (isStoreDown) {
            checker.addDisturbance("all", stoppedAt, "store")(stoppedAt + 7_000);
        }
        checker.addRequest({
            requestId: "r",
            instance: "i1",
            route: "look",
            isOrder: false,
            deadlineMs: requestDeadlineMs,
            sentAt: stoppedAt + sentAt,
            sentEntirelyAt: stoppedAt + sentEntirelyAt,
            unreadMs: 0,
            endedAt: stoppedAt + endedAt,
            outcome: { kind: "closed", reason: "reset", isReused: false, status: 0, bytes: 0 },
        });
        const workerRuns = runs.map(([startedAt, runEndedAt, isAnswered = false]) => ({ startedAt: stoppedAt + startedAt, endedAt: stoppedAt + runEndedAt, isAnswered }));
        const findings = checker.listFindings({ runs: new Map(runs.length === 0 ? [] : [["r", workerRuns]]), steadySince: Infinity });
        t.strictSame(findings.map(({ guarantee }) => guarantee), isFound ? ["a planned stop cuts nothing"] : [], name);
    };
    doTest("work that ended before the last sixth of the grace", true, { runs: [[1_000, 4_999, true]] });
    doTest("work that the instance broke off before the last sixth", true, { runs: [[1_000, 4_999]], endedAt: 4_999 });
    doTest("work that still went on in the last sixth", false, { runs: [[1_000, 5_000]] });
    doTest("work that never ended", false, { runs: [[1_000, Infinity]] });
    doTest("work that ended with a response in the last sixth", false, { runs: [[1_000, 5_500, true]] });
    doTest("a second run in the last sixth after one that failed", false, { runs: [[1_000, 1_500], [1_600, 5_600]] });
    doTest("a second run in the last sixth beside one that answered", true, { runs: [[1_000, 4_500, true], [1_600, 5_600]] });
    doTest("a request sent 3 s after SIGTERM", false, { sentAt: 3_000, runs: [[3_000, 5_600]] });
    doTest("a request sent later than 3 s after SIGTERM", true, { sentAt: 3_001, runs: [[3_001, 5_600]] });
    doTest("a request whose last byte was sent later than 3 s after SIGTERM", true, { sentEntirelyAt: 3_001, runs: [[3_001, 5_600]] });
    doTest("a late request whose deadline was reached", false, { sentAt: 3_001, endedAt: 5_001, requestDeadlineMs: 2_000, runs: [[3_001, 5_001]] });
    doTest("a late request whose deadline was not reached", true, { sentAt: 3_001, endedAt: 5_000, requestDeadlineMs: 2_000, runs: [[3_001, 5_000]] });
    doTest("a request that did not run", false, { sentAt: 3_001, runs: [] });
    doTest("a late request to an instance that is killed during its stop", false, { sentAt: 3_001, runs: [[3_001, 5_600]], isAlsoKilled: true });
    doTest("a late request while the store is down", true, { sentAt: 3_001, runs: [[3_001, 5_600]], isStoreDown: true });
    doTest("a late request while the store is down and the instance is killed during its stop", false, { sentAt: 3_001, runs: [[3_001, 5_600]], isStoreDown: true, isAlsoKilled: true });
});

void tap.test("a fault plan", async t => {
    t.strictSame(plan.createPlan({ seed: 7, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }), "is the same for the same seed");
    t.notSame(plan.createPlan({ seed: 8, lengthMs: 60_000 }), plan.createPlan({ seed: 7, lengthMs: 60_000 }));
    const kinds = new Set(Array.from({ length: 50 }, (_, seed) => plan.createPlan({ seed, lengthMs: 60_000 })).flat().map(({ kind }) => kind));
    t.strictSame([...kinds].sort(), Object.keys(plan.faultKinds).sort(), "fifty seeds draw every kind of fault");
});
