/** Ejections never leave fewer routable upstreams than the floor, with one decider and with one on each side of a partition. */

import fc from "fast-check";
import tap from "tap";
import * as ejections from "../../src/detection/ejections.js";
import type * as classification from "../../src/detection/classification.js";

const summary = { ok: 0, bad: 5, overdue: 0, streak: 5, newestBadMs: 10, okAgeMs: 5_000 };
const kinds = ["healthy", "suspect", "outlier"] as const;

function createClassification(kind: (typeof kinds)[number]): classification.Classification {
    return kind === "healthy" ? { kind, summary: { ...summary, bad: 0, streak: 0, ok: 5, okAgeMs: 1 } } : { kind, summary, reason: "test" };
}

/** The input of one evaluation: classifications, the time since the previous one, leaving upstreams, and the number of followers. */
const evaluation = fc.record({
    kinds: fc.array(fc.constantFrom(...kinds), { minLength: 14, maxLength: 14 }),
    elapsedMs: fc.integer({ min: 1, max: 6_000 }),
    leaving: fc.array(fc.nat(13), { maxLength: 3 }),
    followers: fc.nat(13),
});

void tap.test("ejections respect the floor", async t => {
    fc.assert(
        fc.property(fc.integer({ min: 0, max: 14 }), fc.array(evaluation, { minLength: 1, maxLength: 40 }), (floor, evaluations) => {
            const serviceEjections = new ejections.Ejections();
            let now = 0;
            for (const { kinds: classified, elapsedMs, leaving, followers } of evaluations) {
                now += elapsedMs;
                const all = classified.map((_, index) => `u${index}`);
                const live = all.filter((_, index) => !leaving.includes(index));
                serviceEjections.decidePhases({
                    now,
                    classifications: new Map(all.map((upstream, index) => [upstream, createClassification(classified[index]!)])),
                    live,
                    floor,
                    followers: Array.from({ length: followers }, (_, index) => `i${index}`),
                    knownInstances: 13,
                });
                const budget = ejections.computeEjectionBudget(live.length, floor, followers, 13);
                if (serviceEjections.countOutOfRotation() > budget || (serviceEjections.countOutOfRotation() > 0 && live.length - serviceEjections.countOutOfRotation() < floor)) {
                    throw new Error(`${serviceEjections.countOutOfRotation()} of ${live.length} upstreams are out of rotation, floor ${floor}, budget ${budget}`);
                }
            }
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 histories of one decider");

    fc.assert(
        fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 0, max: 40 }), fc.array(fc.nat(20), { minLength: 1, maxLength: 6 }), (live, floor, sides) => {
            const knownInstances = sides.reduce((sum, side) => sum + side, 0);
            const total = sides.reduce((sum, side) => sum + ejections.computeEjectionBudget(live, floor, side, knownInstances), 0);
            return total <= Math.max(0, live - floor);
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 partitions: the budgets of all sides add up to at most the full budget");
});

void tap.test("the phases of an upstream from ejection to recovery", async t => {
    const serviceEjections = new ejections.Ejections();
    const doTest = (now: number, kind: (typeof kinds)[number], ok: number, expected: readonly string[]) => {
        const created = createClassification(kind);
        const classifications = new Map<string, classification.Classification>([["u0", { ...created, summary: { ...created.summary, ok } }]]);
        const changes = serviceEjections.decidePhases({ now, classifications, live: ["u0", "u1", "u2"], floor: 2, followers: ["a", "b"], knownInstances: 2 });
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

/** Guards against an upstream that never returns: one whose service has orders alone, or few requests, gets too few for the successes that end a trial. */
void tap.test("an upstream returns although too few requests test it", async t => {
    for (const ok of [0, 1]) {
        const serviceEjections = new ejections.Ejections();
        const decide = (now: number, kind: (typeof kinds)[number]) => {
            const created = createClassification(kind);
            const classifications = new Map<string, classification.Classification>([["u0", { ...created, summary: { ...created.summary, ok } }]]);
            return serviceEjections.decidePhases({ now, classifications, live: ["u0", "u1", "u2"], floor: 2, followers: ["a", "b"], knownInstances: 2 }).map(({ change }) => change);
        };
        t.strictSame(decide(0, "outlier"), ["ejected"]);
        t.strictSame(decide(4_000, "healthy"), ["trial"]);
        t.strictSame(decide(13_900, "healthy"), [], `not before 10 s, successes: ${ok}`);
        t.strictSame(decide(14_000, "healthy"), ["recovering"], `after 10 s, successes: ${ok}`);
    }
});
