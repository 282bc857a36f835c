/** When the configuration of an instance is fresh, and when it is stale. */

import tap from "tap";
import * as freshnessTracker from "../../src/configuration/freshnessTracker.js";

const staleAfterMs = 5_000;
const hourMs = 3_600_000;

void tap.test("staleness after isolation", async t => {
    const doTest = (
        name: string,
        steps: readonly { readonly atMs: number; readonly reachableIds: readonly string[]; readonly drainingIds?: readonly string[]; readonly timeSinceStoreSuccessMs?: number; readonly isBehind?: boolean; }[],
        expected: boolean,
    ) => {
        const tracker = new freshnessTracker.FreshnessTracker({ staleAfterMs }, 0);
        steps.forEach(({ atMs, reachableIds, drainingIds = [], timeSinceStoreSuccessMs = Infinity, isBehind = false }) => tracker.recordObservation({ reachableIds, drainingIds, timeSinceStoreSuccessMs, isBehind }, atMs));
        t.equal(tracker.isStale(steps.at(-1)!.atMs), expected, name);
    };
    const others = ["b", "c", "d", "e"];
    doTest("the only instance, from the start", [{ atMs: 10_000, reachableIds: [] }], false);
    doTest("all instances are reachable, the store is not", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: others }], false);
    doTest("half of the fleet is reachable, including the instance itself and rounded up", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: ["b", "c"] }], false);
    doTest("less than half of the fleet is reachable", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: ["b"] }], true);
    doTest("isolated for less than the limit", [{ atMs: 0, reachableIds: others }, { atMs: 4_000, reachableIds: [] }], false);
    doTest("no instance is reachable, but the store is", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: [], timeSinceStoreSuccessMs: 100 }], false);
    doTest("the other instances announced that they are draining", [{ atMs: 0, reachableIds: others }, { atMs: 1_000, reachableIds: others, drainingIds: others }, { atMs: 10_000, reachableIds: [], drainingIds: others }], false);
    doTest("the other instances have been unreachable for over an hour", [{ atMs: 0, reachableIds: others }, { atMs: hourMs + 1, reachableIds: [] }], false);
    doTest("all instances are reachable, and one has a newer version", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: others, isBehind: true }], true);
    doTest("the store is reachable, and an instance has a newer version", [{ atMs: 0, reachableIds: others }, { atMs: 10_000, reachableIds: others, timeSinceStoreSuccessMs: 100, isBehind: true }], true);
    doTest(
        "an instance has a newer version only for a short time",
        [{ atMs: 0, reachableIds: others }, { atMs: 4_000, reachableIds: others, isBehind: true }, { atMs: 4_250, reachableIds: others }, { atMs: 9_000, reachableIds: [] }],
        false,
    );
    doTest("one of two instances continues alone", [{ atMs: 0, reachableIds: ["b"] }, { atMs: 10_000, reachableIds: [] }], false);
});
