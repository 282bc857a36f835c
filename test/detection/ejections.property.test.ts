/** Ejections never pass the floor: in one decider, and over the union of deciders on the sides of a partition. */

import fc from "fast-check";
import tap from "tap";
import * as ejections from "../../src/detection/ejections.js";
import type * as classification from "../../src/detection/classification.js";

const summary = { ok: 0, bad: 5, overdue: 0, streak: 5, newestBadMs: 10, okAgeMs: 5_000 };
const kinds = ["healthy", "suspect", "outlier"] as const;

function createJudgement(kind: (typeof kinds)[number]): classification.Classification {
    return kind === "healthy" ? { kind, summary: { ...summary, bad: 0, streak: 0, ok: 5, okAgeMs: 1 } } : { kind, summary, reason: "test" };
}

/** One look of a decider: what it judges, how much time has passed, which upstreams leave, who follows. */
const look = fc.record({
    kinds: fc.array(fc.constantFrom(...kinds), { minLength: 14, maxLength: 14 }),
    elapsedMs: fc.integer({ min: 1, max: 6_000 }),
    leaving: fc.array(fc.nat(13), { maxLength: 3 }),
    followers: fc.nat(13),
});

void tap.test("the floor holds", async t => {
    fc.assert(
        fc.property(fc.integer({ min: 0, max: 14 }), fc.array(look, { minLength: 1, maxLength: 40 }), (floor, looks) => {
            const decided = new ejections.Ejections();
            let now = 0;
            for (const { kinds: judged, elapsedMs, leaving, followers } of looks) {
                now += elapsedMs;
                const all = judged.map((_, index) => `u${index}`);
                const live = all.filter((_, index) => !leaving.includes(index));
                decided.decidePhases({
                    now,
                    classifications: new Map(all.map((upstream, index) => [upstream, createJudgement(judged[index]!)])),
                    live,
                    floor,
                    followers: Array.from({ length: followers }, (_, index) => `i${index}`),
                    knownInstances: 13,
                });
                const budget = ejections.computeEjectionBudget(live.length, floor, followers, 13);
                if (decided.countOutOfRotation() > budget || (decided.countOutOfRotation() > 0 && live.length - decided.countOutOfRotation() < floor)) {
                    throw new Error(`${decided.countOutOfRotation()} held back of ${live.length}, floor ${floor}, budget ${budget}`);
                }
            }
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 histories of one decider");

    fc.assert(
        fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 0, max: 40 }), fc.array(fc.nat(20), { minLength: 1, maxLength: 6 }), (live, floor, sides) => {
            const known = sides.reduce((sum, side) => sum + side, 0);
            const total = sides.reduce((sum, side) => sum + ejections.computeEjectionBudget(live, floor, side, known), 0);
            return total <= Math.max(0, live - floor);
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 partitions: the budgets of all sides add up to at most the whole");
});

void tap.test("an upstream's way through the phases", async t => {
    const decided = new ejections.Ejections();
    const doTest = (now: number, kind: (typeof kinds)[number], ok: number, expected: readonly string[]) => {
        const judgement = createJudgement(kind);
        const judgements = new Map<string, classification.Classification>([["u0", { ...judgement, summary: { ...judgement.summary, ok } }]]);
        const changes = decided.decidePhases({ now, classifications: judgements, live: ["u0", "u1", "u2"], floor: 2, followers: ["a", "b"], knownInstances: 2 });
        t.strictSame(changes.map(change => change.change), expected, `at ${now} ms, ${kind}, ${ok} ok`);
    };
    doTest(0, "outlier", 0, ["ejected"]);
    doTest(3_900, "healthy", 0, []);
    doTest(4_000, "healthy", 0, ["trial"]);
    doTest(4_100, "outlier", 0, ["ejected"]);
    doTest(8_200, "healthy", 0, []);
    doTest(12_100, "healthy", 0, ["trial"]);
    doTest(12_500, "healthy", 3, ["recovering"]);
    doTest(16_500, "healthy", 5, ["routable"]);
});
