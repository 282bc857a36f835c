/**
 * Guards against links that grow with the fleet: at 117 instances each had 76 to 100 links and exchanged whole digests on
 * all of them; and against a topology in which an instance hears from nobody.
 */

import * as fc from "fast-check";
import tap from "tap";
import * as topology from "../../src/peers/topology.js";

const domains = ["a", "b", "c", "d", "e"];
const maximumCompleteSize = 21;

function createMembers(count: number): topology.TopologyMember[] {
    return Array.from({ length: count }, (_, index) => ({ instanceId: `i${index}`, failureDomain: domains[index % domains.length]!, isSteady: true }));
}

function createTopology(members: readonly topology.TopologyMember[], unreachable: readonly string[] = [], listedCount = 0): topology.Topology {
    return new topology.Topology({ members, maximumCompleteSize, listedCount, unreachable: new Set(unreachable) });
}

/** Returns the instances that a message reaches from one of them, if every instance that receives it hands it on. */
function listReached(members: readonly topology.TopologyMember[], created: topology.Topology): ReadonlySet<string> {
    const ids = members.map(({ instanceId }) => instanceId);
    const targets = new Map(ids.map(id => [id, new Set(created.listTargets(id))]));
    const reached = new Set(ids.slice(0, 1));
    for (const from of reached) {
        ids.filter(id => targets.get(from)!.has(id) || targets.get(id)!.has(from)).forEach(id => reached.add(id));
    }
    return reached;
}

void tap.test("a fleet up to the limit is linked completely", async t => {
    const members = createMembers(maximumCompleteSize);
    const created = createTopology(members);
    t.equal(created.kind, "complete");
    t.ok(members.every(({ instanceId }) => created.listTargets(instanceId).length === maximumCompleteSize - 1 && !created.isRelay(instanceId)));
    t.equal(createTopology(members, [], 117).kind, "cells", "a fleet that is still starting is known to be larger from the store");
});

void tap.test("links of an instance by the size of the fleet", async t => {
    for (const count of [22, 36, 117, 300, 1_000]) {
        const members = createMembers(count);
        const created = createTopology(members);
        const links = members.map(({ instanceId }) => ({ isRelay: created.isRelay(instanceId), count: created.listTargets(instanceId).length }));
        const cellCount = new Set(members.map(({ instanceId }) => created.getCell(instanceId))).size;
        t.ok(links.filter(({ isRelay }) => !isRelay).every(link => link.count === 2), `${count}: two links each`);
        t.equal(links.filter(({ isRelay }) => isRelay).length, 2 * cellCount, `${count}: two relays for each of ${cellCount} cells`);
        const most = Math.max(...links.map(link => link.count));
        t.ok(most <= 48 + 2 * cellCount, `${count}: at most ${most} links of a relay`);
    }
});

// Guards against a relay that is short of processor time or link rate beside larger instances: the messages of its cell then
// wait, and its members do not get a new configuration in time.
void tap.test("the largest instances of a cell are its relays", async t => {
    const members = createMembers(130).map((member, index) => ({ ...member, capacity: index < 15 ? 1.35 : 0.27 }));
    const created = createTopology(members);
    const cells = new Map<string, topology.TopologyMember[]>();
    members.forEach(member => cells.set(created.getCell(member.instanceId)!, [...cells.get(created.getCell(member.instanceId)!) ?? [], member]));
    for (const [cell, cellMembers] of cells) {
        const relays = cellMembers.filter(({ instanceId }) => created.isRelay(instanceId));
        const largest = Math.min(2, cellMembers.filter(({ capacity }) => capacity! > 1).length);
        t.equal(relays.length, 2, `${cell}: two relays`);
        t.equal(relays.filter(({ capacity }) => capacity! > 1).length, largest, `${cell}: ${largest} of them are large`);
    }
    const unknown = createMembers(130).map(member => ({ ...member, capacity: 1.35 }));
    t.strictSame(
        unknown.filter(({ instanceId }) => createTopology(unknown).isRelay(instanceId)).map(({ instanceId }) => instanceId),
        createMembers(130).filter(({ instanceId }) => createTopology(createMembers(130)).isRelay(instanceId)).map(({ instanceId }) => instanceId),
        "equal instances are chosen as without a capacity",
    );
});

void tap.test("whatever instances are lost, the others are connected", async t => {
    const loss = fc.record({ count: fc.integer({ min: 22, max: 200 }), lost: fc.array(fc.nat(199), { maxLength: 150 }), unsteady: fc.array(fc.nat(199), { maxLength: 20 }) });
    fc.assert(
        fc.property(loss, ({ count, lost, unsteady }) => {
            const members = createMembers(count).filter((_, index) => !lost.includes(index)).map((member, index) => ({ ...member, isSteady: !unsteady.includes(index) }));
            return members.length === 0 || listReached(members, createTopology(members)).size === members.length;
        }),
        { numRuns: 300, seed: 3 },
    );
    const members = createMembers(117);
    const withoutDomain = members.filter(({ failureDomain }) => failureDomain !== "a");
    t.equal(listReached(withoutDomain, createTopology(withoutDomain)).size, withoutDomain.length, "a failure domain is lost");
});

void tap.test("the relays of a cell", async t => {
    const members = createMembers(117);
    const relays = members.filter(({ instanceId }) => createTopology(members).isRelay(instanceId)).map(({ instanceId }) => instanceId);
    const ofDomain = relays.filter(id => members.find(({ instanceId }) => instanceId === id)!.failureDomain === "a");
    t.equal(ofDomain.length, 2);
    const [lost = ""] = ofDomain;
    const member = members.find(({ instanceId, failureDomain }) => failureDomain === "a" && !relays.includes(instanceId))!.instanceId;

    const replaced = createTopology(members, [lost]);
    t.equal(replaced.isRelay(lost), false, "an unreachable relay is replaced");
    t.equal(replaced.listTargets(member).length, 3, "by another one");
    t.ok(replaced.listTargets(member).includes(lost), "and is dialed all the same");

    const draining = createTopology(members.map(entry => entry.instanceId === lost ? { ...entry, isSteady: false } : entry));
    t.equal(draining.isRelay(lost), false, "a relay that drains or is suspect hands over");

    const joined = createTopology([...members, { instanceId: "new", failureDomain: "b", isSteady: true }]);
    t.strictSame(members.filter(({ instanceId }) => joined.isRelay(instanceId) && !relays.includes(instanceId)), [], "a member that joins changes no relays but at most its own");
    t.ok(relays.filter(id => !joined.isRelay(id)).length <= 1);
});

void tap.test("a domain that grows beyond a cell is divided", async t => {
    const cells = (count: number) => {
        const members = Array.from({ length: count }, (_, index) => ({ instanceId: `i${index}`, failureDomain: "a", isSteady: true }));
        const created = createTopology(members);
        return new Map(members.map(({ instanceId }) => [instanceId, created.getCell(instanceId)]));
    };
    t.strictSame([...new Set(cells(32).values())], ["a"]);
    const [before, after] = [cells(96), cells(97)];
    t.equal(new Set(before.values()).size, 3);
    const moved = [...before].filter(([id, cell]) => after.get(id) !== cell).length;
    t.ok(moved <= 40, `${moved} of 96 instances move when a fourth cell is added`);
});
