/** When an instance may rely on hearing of a newer configuration. */

import tap from "tap";
import * as freshnessTracker from "../../src/configuration/freshnessTracker.js";

const staleAfterMs = 5_000;
const hourMs = 3_600_000;

void tap.test("freshness", async t => {
    const doTest = (name: string, steps: readonly { readonly at: number; readonly heard: readonly string[]; readonly leaving?: readonly string[]; readonly storeSilenceMs?: number; readonly isBehind?: boolean; }[], expected: boolean) => {
        const judged = new freshnessTracker.FreshnessTracker({ staleAfterMs }, 0);
        steps.forEach(({ at, heard, leaving = [], storeSilenceMs = Infinity, isBehind = false }) => judged.recordObservation({ reachableIds: heard, drainingIds: leaving, timeSinceStoreSuccessMs: storeSilenceMs, isBehind }, at));
        t.equal(judged.isStale(steps.at(-1)!.at), expected, name);
    };
    const all = ["b", "c", "d", "e"];
    doTest("alone from the start", [{ at: 10_000, heard: [] }], false);
    doTest("all are heard, the store is away", [{ at: 0, heard: all }, { at: 10_000, heard: all }], false);
    doTest("half are heard with itself, rounded up", [{ at: 0, heard: all }, { at: 10_000, heard: ["b", "c"] }], false);
    doTest("fewer are heard", [{ at: 0, heard: all }, { at: 10_000, heard: ["b"] }], true);
    doTest("not yet for long", [{ at: 0, heard: all }, { at: 4_000, heard: [] }], false);
    doTest("nobody is heard, but the store", [{ at: 0, heard: all }, { at: 10_000, heard: [], storeSilenceMs: 100 }], false);
    doTest("the others announced that they leave", [{ at: 0, heard: all }, { at: 1_000, heard: all, leaving: all }, { at: 10_000, heard: [], leaving: all }], false);
    doTest("the others have been silent for over an hour", [{ at: 0, heard: all }, { at: hourMs + 1, heard: [] }], false);
    doTest("all are heard, and one of them is ahead", [{ at: 0, heard: all }, { at: 10_000, heard: all, isBehind: true }], true);
    doTest("the store is heard, and an instance is ahead", [{ at: 0, heard: all }, { at: 10_000, heard: all, storeSilenceMs: 100, isBehind: true }], true);
    doTest("ahead for a moment only", [{ at: 0, heard: all }, { at: 4_000, heard: all, isBehind: true }, { at: 4_250, heard: all }, { at: 9_000, heard: [] }], false);
    doTest("of two, either goes on alone", [{ at: 0, heard: ["b"] }, { at: 10_000, heard: [] }], false);
});
