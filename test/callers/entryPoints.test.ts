/** Tests which instances callers are told to connect to, and in which order. */

import tap from "tap";
import * as entryPoints from "../../src/callers/entryPoints.js";
import type * as peers from "../../src/peers/index.js";

function createMember(instanceId: string, failureDomain: string, overrides: Partial<peers.Member> = {}): peers.Member {
    return { instanceId, failureDomain, incarnation: 1, callerAddress: `${instanceId}:80`, peerAddress: "", operatorAddress: "", state: "running", configurationVersion: 3, silenceMs: 0, ...overrides };
}

const quietAfterMs = 1_000;
const keepForMs = 1_000;

function listAddresses(members: readonly peers.Member[], failureDomain: string, wallTimeMs = 0, workspace = "w"): readonly string[] {
    const listed = entryPoints.listEntryPoints({ members, workspace, failureDomain, quietAfterMs });
    return entryPoints.listPreferredAddresses({ entryPoints: listed, workspace, failureDomain, wallTimeMs, keepForMs });
}

void tap.test("entry points", async t => {
    /** The order of the two instances in north for the workspace of these tests. */
    const order = entryPoints.listEntryPoints({ members: [createMember("a", "north"), createMember("c", "north")], workspace: "w", failureDomain: "north", quietAfterMs }).map(entry => entry.instanceId);
    const testOrder = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) =>
        t.strictSame(entryPoints.listEntryPoints({ members, workspace: "w", failureDomain, quietAfterMs }).map(entry => entry.instanceId), expected, name);
    const north = createMember("a", "north");
    const south = createMember("b", "south");
    testOrder("instances of the caller's failure domain come first", [north, south], "south", ["b", "a"]);
    testOrder("the order depends on the caller's failure domain", [north, south], "north", ["a", "b"]);
    for (const state of ["starting", "draining", "suspect"] as const) {
        testOrder(`an instance that is ${state} is omitted`, [north, createMember("c", "north", { state })], "north", ["a"]);
    }
    testOrder("an instance without a configuration is omitted", [north, createMember("c", "north", { configurationVersion: 0 })], "north", ["a"]);
    const quiet = createMember("c", "north", { silenceMs: quietAfterMs + 1 });
    testOrder("a quiet instance is omitted before it is suspect", [north, quiet], "north", ["a"]);
    testOrder("an instance that is not quiet yet is listed", [north, createMember("c", "north", { silenceMs: quietAfterMs })], "south", ["a", "c"].sort((x, y) => order.indexOf(x) - order.indexOf(y)));
    testOrder("if most are quiet, none is omitted", [north, quiet, createMember("d", "south", { silenceMs: quietAfterMs + 1 })], "south", ["d", ...order]);
    t.equal(entryPoints.computeQuietAfterMs({ suspectAfterMs: 4_500, gossipIntervalMs: 1_000 }), 2_500, "two heartbeats and a half");
    t.equal(entryPoints.computeQuietAfterMs({ suspectAfterMs: 2_000, gossipIntervalMs: 250 }), 1_000, "half of the time until suspicion");
    const manyMembers = Array.from({ length: 9 }, (_, index) => createMember(`i${index}`, "north"));
    const firstInstanceIds = new Set(Array.from({ length: 200 }, (_, index) => entryPoints.listEntryPoints({ members: manyMembers, workspace: `w${index}`, failureDomain: "north", quietAfterMs })[0]?.instanceId));
    t.equal(firstInstanceIds.size, 9, "workspaces are distributed over all instances");
    const testPreferredAddresses = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) => t.strictSame([...listAddresses(members, failureDomain)].sort(), expected, name);
    testPreferredAddresses("only the caller's failure domain if it has two instances", [north, createMember("c", "north"), south], "north", ["a:80", "c:80"]);
    testPreferredAddresses("all instances if the caller's failure domain has only one", [north, south], "north", ["a:80", "b:80"]);
});
