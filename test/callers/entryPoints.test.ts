/** Which addresses callers are told. */

import tap from "tap";
import * as entryPoints from "../../src/callers/entryPoints.js";
import type * as peers from "../../src/peers/index.js";

function createMember(instanceId: string, failureDomain: string, change: Partial<peers.Member> = {}): peers.Member {
    return { instanceId, failureDomain, incarnation: 1, callerAddress: `${instanceId}:80`, peerAddress: "", operatorAddress: "", state: "running", configurationVersion: 3, silenceMs: 0, ...change };
}

void tap.test("entries", async t => {
    const doTest = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) =>
        t.strictSame(entryPoints.listEntryPoints({ members, workspace: "w", failureDomain }).map(entry => entry.instanceId), expected, name);
    const north = createMember("a", "north");
    const south = createMember("b", "south");
    doTest("the caller's domain first", [north, south], "south", ["b", "a"]);
    doTest("and the other way", [north, south], "north", ["a", "b"]);
    for (const state of ["starting", "draining", "suspect"] as const) {
        doTest(`not one that is ${state}`, [north, createMember("c", "north", { state })], "north", ["a"]);
    }
    doTest("not one that has no configuration yet", [north, createMember("c", "north", { configurationVersion: 0 })], "north", ["a"]);
    const many = Array.from({ length: 9 }, (_, index) => createMember(`i${index}`, "north"));
    const firsts = new Set(Array.from({ length: 200 }, (_, index) => entryPoints.listEntryPoints({ members: many, workspace: `w${index}`, failureDomain: "north" })[0]?.instanceId));
    t.equal(firsts.size, 9, "workspaces spread over all instances");
    const doAddresses = (name: string, members: readonly peers.Member[], failureDomain: string, expected: readonly string[]) =>
        t.strictSame([...entryPoints.listPreferredAddresses(entryPoints.listEntryPoints({ members, workspace: "w", failureDomain }), failureDomain)].sort(), expected, name);
    doAddresses("the caller's domain alone, where it has two", [north, createMember("c", "north"), south], "north", ["a:80", "c:80"]);
    doAddresses("all where it has one", [north, south], "north", ["a:80", "b:80"]);
});
