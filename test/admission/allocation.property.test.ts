/**
 * Slot allocations use all slots and no more, exceed no demand, respect guaranteed shares and do not depend on the order
 * of instances. Rank usage tracking gives each rank its guaranteed share of slot time.
 */

import fc from "fast-check";
import tap from "tap";
import * as allocation from "../../src/admission/allocation.js";
import * as rankUsageTracker from "../../src/admission/rankUsageTracker.js";

const shares = [0.4, 0.2, 0.1];
const tolerance = 1e-6;

void tap.test("slot allocations under random demands", async t => {
    const demand = fc.array(fc.nat(60), { minLength: 3, maxLength: 3 });
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 60 }), fc.array(demand, { minLength: 1, maxLength: 17 }), (slots, demands) => {
            const instances = demands.map((requested, index) => ({ instanceId: `i${index}`, demand: requested }));
            const allocations = allocation.computeAllocations({ slots, shares, instances });
            const totals = shares.map((_, rank) => demands.reduce((sum, requested) => sum + requested[rank]!, 0));
            if (allocations === undefined) {
                return totals.reduce((sum, total) => sum + total, 0) <= slots;
            }
            const slotsByRank = shares.map((_, rank) => [...allocations.values()].reduce((sum, allocated) => sum + allocated.byRank[rank]!, 0));
            const isWithinSlots = slotsByRank.reduce((sum, allocated) => sum + allocated, 0) <= slots + tolerance;
            const areAllSlotsUsed = slotsByRank.reduce((sum, allocated) => sum + allocated, 0) >= slots - tolerance;
            const areGuaranteesKept = slotsByRank.every((allocated, rank) => allocated >= Math.min(totals[rank]!, shares[rank]! * slots) - tolerance);
            const isDemandNeverExceeded = instances.every(({ instanceId, demand: requested }) => allocations.get(instanceId)!.byRank.every((allocated, rank) => allocated <= requested[rank]! + tolerance));
            const reversed = allocation.computeAllocations({ slots, shares, instances: [...instances].reverse() });
            const isIndependentOfOrder = instances.every(({ instanceId }) => JSON.stringify(allocations.get(instanceId)) === JSON.stringify(reversed?.get(instanceId)));
            return isWithinSlots && areAllSlotsUsed && areGuaranteesKept && isDemandNeverExceeded && isIndependentOfOrder;
        }),
        { numRuns: 5_000, seed: 20_261_204 },
    );
    t.pass("5,000 random demands");
});

void tap.test("share of slot time by rank under overload", async t => {
    const doTest = (name: string, backlogged: readonly boolean[], expected: readonly number[]) => {
        const rankUsage = new rankUsageTracker.RankUsageTracker(shares, 0);
        const served = [0, 0, 0];
        for (let now = 0; now < 60_000; now += 10) {
            const rank = rankUsage.listRanksByPriority(now).find(candidate => backlogged[candidate])!;
            rankUsage.addInFlight(rank, now);
            rankUsage.removeInFlight(rank, now + 10);
            served[rank]! += 1;
        }
        const servedFractions = served.map(count => count / 6_000);
        t.ok(servedFractions.every((fraction, rank) => fraction >= expected[rank]! - 0.02), `${name}: ${servedFractions.map(fraction => fraction.toFixed(2)).join(", ")}`);
    };
    doTest("all ranks have a backlog", [true, true, true], [0.68, 0.2, 0.1]);
    doTest("the most and the least urgent rank have a backlog", [true, false, true], [0.88, 0, 0.1]);
    doTest("only the least urgent rank has a backlog", [false, false, true], [0, 0, 1]);
});
