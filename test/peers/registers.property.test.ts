/** Registers converge by digest exchanges alone, as long as the links connect all instances. */

import fc from "fast-check";
import tap from "tap";
import * as registers from "../../src/peers/registers.js";

const tableCount = 5;
const deadAfterMs = 1_000;

interface Step {
    readonly from: number;
    readonly to: number;
    readonly write: boolean;
}

/** Exchanges digests in both directions and applies the missing registers, as the mesh does. */
function mergeBothWays(from: registers.RegisterTable, to: registers.RegisterTable, now: number): void {
    to.mergeDigest(from.getDigest(), now).missingAtPeer.forEach(register => from.mergeRegister(register, now));
    from.mergeDigest(to.getDigest(), now).missingAtPeer.forEach(register => to.mergeRegister(register, now));
}

function createTables(): readonly registers.RegisterTable[] {
    return Array.from({ length: tableCount }, (_, index) => new registers.RegisterTable({ selfId: `i${index}`, incarnation: 1, deadAfterMs, maximumHeartbeatLag: Infinity }));
}

void tap.test("convergence of registers", async t => {
    const step = fc.record({ from: fc.nat(tableCount - 1), to: fc.nat(tableCount - 1), write: fc.boolean() });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 60 }), (steps: readonly Step[]) => {
            const tables = createTables();
            tables.forEach((table, index) => table.setOwnRegister("topic", `first of ${index}`));
            steps.forEach(({ from, to, write }, index) => {
                if (write) {
                    tables[from]!.setOwnRegister("topic", index);
                }
                mergeBothWays(tables[from]!, tables[to]!, index);
            });
            // With links in a ring, one round per table is enough to spread every register to every table.
            for (let round = 0; round < tableCount; round += 1) {
                tables.forEach((table, index) => mergeBothWays(table, tables[(index + 1) % tableCount]!, 100));
            }
            const valuesByTable = tables.map(table => JSON.stringify(tables.map((_, index) => table.getBody(`i${index}`, "topic"))));
            return new Set(valuesByTable).size === 1;
        }),
        { numRuns: 2_000, seed: 20_261_204 },
    );
    t.pass("2,000 histories converge");
});

void tap.test("removal of dead origins", async t => {
    const [table, outdated] = createTables() as [registers.RegisterTable, registers.RegisterTable];
    const origin = new registers.RegisterTable({ selfId: "i9", incarnation: 1, deadAfterMs, maximumHeartbeatLag: Infinity });
    origin.setOwnRegister("topic", "value");
    origin.incrementHeartbeat(0);
    mergeBothWays(origin, table, 0);
    mergeBothWays(origin, outdated, 0);
    t.strictSame(table.removeDeadOrigins(deadAfterMs + 1), ["i9"]);
    mergeBothWays(outdated, table, deadAfterMs + 2);
    t.notOk(table.listOrigins().includes("i9"), "a peer with outdated state does not bring a removed origin back");
    origin.incrementHeartbeat(deadAfterMs + 3);
    mergeBothWays(origin, table, deadAfterMs + 3);
    t.equal(table.getBody("i9", "topic"), "value", "a new heartbeat of the origin itself brings it back");
    const restartedOrigin = new registers.RegisterTable({ selfId: "i9", incarnation: 2, deadAfterMs, maximumHeartbeatLag: Infinity });
    restartedOrigin.setOwnRegister("topic", "fresh");
    mergeBothWays(restartedOrigin, table, deadAfterMs + 4);
    t.equal(table.getBody("i9", "topic"), "fresh", "a later incarnation replaces it");
    mergeBothWays(outdated, table, deadAfterMs + 5);
    t.equal(table.getBody("i9", "topic"), "fresh", "the earlier incarnation does not come back");
});
