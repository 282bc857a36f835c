/** Tests which instances callers are told to connect to, and in which order. */

import tap from "tap";
import * as entryPoints from "../../src/callers/entryPoints.js";
import type * as peers from "../../src/peers/index.js";

function createMember(instanceId: string, failureDomain: string, overrides: Partial<peers.Member> = {}): peers.Member {
    return { instanceId, failureDomain, incarnation: 1, callerAddress: `${instanceId}:80`, peerAddress: "", operatorAddress: "", state: "running", configurationVersion: 3, silenceMs: 0, ...overrides };
}

void tap.test("entry points", async t => {
    const testOrder = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) =>
        t.strictSame(entryPoints.listEntryPoints({ members, workspace: "w", failureDomain }).map(entry => entry.instanceId), expected, name);
    const north = createMember("a", "north");
    const south = createMember("b", "south");
    testOrder("instances of the caller's failure domain come first", [north, south], "south", ["b", "a"]);
    testOrder("the order depends on the caller's failure domain", [north, south], "north", ["a", "b"]);
    for (const state of ["starting", "draining", "suspect"] as const) {
        testOrder(`an instance that is ${state} is omitted`, [north, createMember("c", "north", { state })], "north", ["a"]);
    }
    testOrder("an instance without a configuration is omitted", [north, createMember("c", "north", { configurationVersion: 0 })], "north", ["a"]);
    const manyMembers = Array.from({ length: 9 }, (_, index) => createMember(`i${index}`, "north"));
    const firstInstanceIds = new Set(Array.from({ length: 200 }, (_, index) => entryPoints.listEntryPoints({ members: manyMembers, workspace: `w${index}`, failureDomain: "north" })[0]?.instanceId));
    t.equal(firstInstanceIds.size, 9, "workspaces are distributed over all instances");
    const testPreferredAddresses = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) =>
        t.strictSame([...entryPoints.listPreferredAddresses(entryPoints.listEntryPoints({ members, workspace: "w", failureDomain }), failureDomain)].sort(), expected, name);
    testPreferredAddresses("only the caller's failure domain if it has two instances", [north, createMember("c", "north"), south], "north", ["a:80", "c:80"]);
    testPreferredAddresses("all instances if the caller's failure domain has only one", [north, south], "north", ["a:80", "b:80"]);
});
