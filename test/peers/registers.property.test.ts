/** Registers converge by digests alone, over any links that do not leave an instance out. */

import fc from "fast-check";
import tap from "tap";
import * as registers from "../../src/peers/registers.js";

const size = 5;
const deadAfterMs = 1_000;

interface Step {
    readonly from: number;
    readonly to: number;
    readonly write: boolean;
}

/** Sends a digest one way and the answer back, as the mesh does. */
function mergeBoth(from: registers.RegisterTable, to: registers.RegisterTable, now: number): void {
    to.mergeDigest(from.getDigest(), now).missingAtPeer.forEach(register => from.mergeRegister(register, now));
    from.mergeDigest(to.getDigest(), now).missingAtPeer.forEach(register => to.mergeRegister(register, now));
}

function createTables(): readonly registers.RegisterTable[] {
    return Array.from({ length: size }, (_, index) => new registers.RegisterTable({ selfId: `i${index}`, incarnation: 1, deadAfterMs }));
}

void tap.test("registers", async t => {
    const step = fc.record({ from: fc.nat(size - 1), to: fc.nat(size - 1), write: fc.boolean() });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), (steps: readonly Step[]) => {
            const tables = createTables();
            tables.forEach((table, index) => table.setOwnRegister("topic", `first of ${index}`));
            steps.forEach(({ from, to, write }, index) => {
                if (write) {
                    tables[from]!.setOwnRegister("topic", index);
                }
                mergeBoth(tables[from]!, tables[to]!, index);
            });
            // A ring of links, walked often enough, carries everything everywhere.
            for (let round = 0; round < size; round += 1) {
                tables.forEach((table, index) => mergeBoth(table, tables[(index + 1) % size]!, 100));
            }
            const views = tables.map(table => JSON.stringify(tables.map((_, index) => table.getBody(`i${index}`, "topic"))));
            return new Set(views).size === 1;
        }),
        { numRuns: 2_000, seed: 20_261_204 },
    );
    t.pass("2,000 histories converge");
});

void tap.test("forgetting", async t => {
    const [table, lagging] = createTables() as [registers.RegisterTable, registers.RegisterTable];
    const heard = new registers.RegisterTable({ selfId: "i9", incarnation: 1, deadAfterMs });
    heard.setOwnRegister("topic", "value");
    heard.incrementHeartbeat(0);
    mergeBoth(heard, table, 0);
    mergeBoth(heard, lagging, 0);
    t.strictSame(table.removeDeadOrigins(deadAfterMs + 1), ["i9"]);
    mergeBoth(lagging, table, deadAfterMs + 2);
    t.notOk(table.listOrigins().includes("i9"), "a lagging peer does not bring it back");
    heard.incrementHeartbeat(deadAfterMs + 3);
    mergeBoth(heard, table, deadAfterMs + 3);
    t.equal(table.getBody("i9", "topic"), "value", "its own next heartbeat does");
    const restarted = new registers.RegisterTable({ selfId: "i9", incarnation: 2, deadAfterMs });
    restarted.setOwnRegister("topic", "fresh");
    mergeBoth(restarted, table, deadAfterMs + 4);
    t.equal(table.getBody("i9", "topic"), "fresh", "a later incarnation replaces it");
    mergeBoth(lagging, table, deadAfterMs + 5);
    t.equal(table.getBody("i9", "topic"), "fresh", "and the earlier one does not come back");
});
