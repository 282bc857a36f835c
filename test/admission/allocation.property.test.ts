/** Parts of slots: never more than there are, never more than asked, guarantees kept, the same at every instance. */

import fc from "fast-check";
import tap from "tap";
import * as allocation from "../../src/admission/allocation.js";
import * as rankUsageTracker from "../../src/admission/rankUsageTracker.js";

const shares = [0.4, 0.2, 0.1];
const tolerance = 1e-6;

void tap.test("allocations", async t => {
    const demand = fc.array(fc.nat(60), { minLength: 3, maxLength: 3 });
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 60 }), fc.array(demand, { minLength: 1, maxLength: 17 }), (slots, demands) => {
            const instances = demands.map((asked, index) => ({ instanceId: `i${index}`, demand: asked }));
            const parts = allocation.computeAllocations({ slots, shares, instances });
            const totals = shares.map((_, rank) => demands.reduce((sum, asked) => sum + asked[rank]!, 0));
            if (parts === undefined) {
                return totals.reduce((sum, total) => sum + total, 0) <= slots;
            }
            const given = shares.map((_, rank) => [...parts.values()].reduce((sum, part) => sum + part.byRank[rank]!, 0));
            const isWithinSlots = given.reduce((sum, part) => sum + part, 0) <= slots + tolerance;
            const isFull = given.reduce((sum, part) => sum + part, 0) >= slots - tolerance;
            const areGuaranteesKept = given.every((part, rank) => part >= Math.min(totals[rank]!, shares[rank]! * slots) - tolerance);
            const isNoneAboveDemand = instances.every(({ instanceId, demand: asked }) => parts.get(instanceId)!.byRank.every((part, rank) => part <= asked[rank]! + tolerance));
            const reversed = allocation.computeAllocations({ slots, shares, instances: [...instances].reverse() });
            const isSame = instances.every(({ instanceId }) => JSON.stringify(parts.get(instanceId)) === JSON.stringify(reversed?.get(instanceId)));
            return isWithinSlots && isFull && areGuaranteesKept && isNoneAboveDemand && isSame;
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 demands");
});

void tap.test("shares of slot time under a flood of each rank", async t => {
    const doTest = (name: string, backlogged: readonly boolean[], expected: readonly number[]) => {
        const ledger = new rankUsageTracker.RankUsageTracker(shares, 0);
        const served = [0, 0, 0];
        for (let now = 0; now < 60_000; now += 10) {
            const rank = ledger.listRanksByPriority(now).find(candidate => backlogged[candidate])!;
            ledger.addInFlight(rank, now);
            ledger.removeInFlight(rank, now + 10);
            served[rank]! += 1;
        }
        const parts = served.map(count => count / 6_000);
        t.ok(parts.every((part, rank) => part >= expected[rank]! - 0.02), `${name}: ${parts.map(part => part.toFixed(2)).join(", ")}`);
    };
    doTest("all ranks flood", [true, true, true], [0.68, 0.2, 0.1]);
    doTest("the urgent rank floods, and the last has work", [true, false, true], [0.88, 0, 0.1]);
    doTest("only the last has work", [false, false, true], [0, 0, 1]);
});
