/** Which upstream a request goes to. */

import tap from "tap";
import * as randomness from "../../src/kernel/randomness.js";
import * as pool from "../../src/pool/index.js";

const draws = 400;

function createUpstream(id: string, prepare: (created: pool.Upstream) => void = () => {}): pool.Upstream {
    const created = new pool.Upstream({ service: "s", definition: { id, address: `127.0.0.1:${id.length}`, failureDomain: "d", state: "live" }, slots: 2 });
    prepare(created);
    return created;
}

function addAttempts(target: pool.Upstream, count: number): void {
    for (let index = 0; index < count; index += 1) {
        target.attempts.add({ route: "r", rankIndex: 0, startedAt: index });
    }
}

void tap.test("the choice of an upstream", async t => {
    /** Returns which upstreams are chosen, over many draws. */
    const doTest = (name: string, upstreams: readonly pool.Upstream[], expected: readonly string[], more: Partial<pool.ChooseUpstreamOptions> = {}) => {
        const random = randomness.createSeededRandomness(7);
        const chosen = new Set(Array.from({ length: draws }, () => pool.chooseUpstream({ upstreams, now: 1_000, randomness: random, isRepeatable: true, excluded: new Set(), allocatedUpstreamIds: new Set(), ...more })?.getId() ?? "none"));
        t.strictSame([...chosen].sort(), expected, name);
    };
    const plain = createUpstream("plain");
    const busy = createUpstream("busy", created => addAttempts(created, 1));
    const full = createUpstream("full", created => addAttempts(created, 2));
    const leaving = createUpstream("leaving", created => created.setLeavingUntil(2_000));
    const avoided = createUpstream("avoided", created => created.setAvoidedUntil(2_000));
    const ejected = createUpstream("ejected", created => {
        created.routability = { kind: "ejected" };
    });
    const trial = createUpstream("trial", created => {
        created.routability = { kind: "trial", isAssignedHere: true };
    });
    const trialElsewhere = createUpstream("elsewhere", created => {
        created.routability = { kind: "trial", isAssignedHere: false };
    });
    const recovering = createUpstream("recovering", created => {
        created.routability = { kind: "recovering", startedAt: 900, durationMs: 1_000 };
    });
    const gone = createUpstream("gone", created => created.recordOutcome("unreachable", 900, 0));
    doTest("the lesser load of two", [plain, busy], ["busy", "plain"]);
    doTest("no room", [full], ["none"]);
    doTest("leaving, ejected, just unreachable, on trial elsewhere", [plain, leaving, ejected, gone, trialElsewhere], ["plain"]);
    doTest("an avoided one only where no other has room", [avoided, plain], ["plain"]);
    doTest("an avoided one where the others are full", [avoided, full], ["avoided"]);
    doTest("an assigned trial comes first", [plain, trial], ["trial"]);
    doTest("an order is never a trial", [plain, trial], ["plain"], { isRepeatable: false });
    doTest("a recovering one gets a part", [plain, recovering], ["plain", "recovering"]);
    doTest("but no orders in the first half of its ramp", [plain, recovering], ["plain"], { isRepeatable: false });
    doTest("lent slots first", [plain, createUpstream("lent")], ["lent"], { allocatedUpstreamIds: new Set(["lent"]) });
    doTest("not where the request has been", [plain, createUpstream("been")], ["plain"], { excluded: new Set(["been"]) });
});
