/** The choice of an upstream by state, load and allocation. */

import tap from "tap";
import * as randomness from "../../src/kernel/randomness.js";
import * as pool from "../../src/pool/index.js";

const callCount = 400;

function createUpstream(id: string, prepare: (created: pool.Upstream) => void = () => {}): pool.Upstream {
    const created = new pool.Upstream({ service: "s", definition: { id, address: `127.0.0.1:${id.length}`, failureDomain: "d", state: "live" }, slots: 2 });
    prepare(created);
    return created;
}

function addAttempts(upstream: pool.Upstream, count: number): void {
    for (let index = 0; index < count; index += 1) {
        upstream.attempts.add({ route: "r", rankIndex: 0, startedAt: index });
    }
}

void tap.test("chooseUpstream", async t => {
    /** Checks which upstreams are chosen over many calls. */
    const doTest = (name: string, upstreams: readonly pool.Upstream[], expected: readonly string[], overrides: Partial<pool.ChooseUpstreamOptions> = {}) => {
        const random = randomness.createSeededRandomness(7);
        const chosen = new Set(
            Array.from({ length: callCount }, () => pool.chooseUpstream({ upstreams, now: 1_000, randomness: random, isRepeatable: true, excludedUpstreamIds: new Set(), allocatedUpstreamIds: new Set(), ...overrides })?.getId() ?? "none"),
        );
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
    doTest("upstreams with free capacity", [plain, busy], ["busy", "plain"]);
    doTest("no upstream with free capacity", [full], ["none"]);
    doTest("leaving, ejected, paused or on trial at another instance", [plain, leaving, ejected, gone, trialElsewhere], ["plain"]);
    doTest("no avoided upstream while another has free capacity", [avoided, plain], ["plain"]);
    doTest("an avoided upstream if all others are full", [avoided, full], ["avoided"]);
    doTest("an upstream on trial assigned to this instance first", [plain, trial], ["trial"]);
    doTest("no upstream on trial for a request that is not repeatable", [plain, trial], ["plain"], { isRepeatable: false });
    doTest("a recovering upstream for some requests", [plain, recovering], ["plain", "recovering"]);
    doTest("no recovering upstream in the first half of its ramp for a request that is not repeatable", [plain, recovering], ["plain"], { isRepeatable: false });
    doTest("upstreams allocated to this instance first", [plain, createUpstream("lent")], ["lent"], { allocatedUpstreamIds: new Set(["lent"]) });
    doTest("no excluded upstream", [plain, createUpstream("been")], ["plain"], { excludedUpstreamIds: new Set(["been"]) });
});
