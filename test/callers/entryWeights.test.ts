/**
 * Guards against callers that load unequal instances equally, so that small or slow ones refuse requests while large ones are
 * idle, and against answers that all callers change at once.
 */

import tap from "tap";
import * as entryPoints from "../../src/callers/entryPoints.js";
import * as entryWeight from "../../src/callers/entryWeight.js";
import * as settings from "../../src/settings/index.js";
import * as entryWeightReporter from "../../src/callers/entryWeightReporter.js";
import * as randomness from "../../src/kernel/randomness.js";
import type * as peers from "../../src/peers/index.js";
import * as virtualTime from "../harness/virtualTime.js";

const keepForMs = 1_000;
const startMs = 1_700_000_000_000;

function createMember(index: number, weight: number | undefined, failureDomain = "north"): peers.Member {
    const instanceId = `gateway-${index}`;
    return { instanceId, failureDomain, incarnation: 1, callerAddress: `${instanceId}:80`, peerAddress: "", operatorAddress: "", state: "running", configurationVersion: 1, silenceMs: 0, weight };
}

function listAddresses(members: readonly peers.Member[], atMs: number, workspace = "", failureDomain = "north"): readonly string[] {
    const listed = entryPoints.listEntryPoints({ members, workspace, failureDomain, quietAfterMs: 1_000 });
    return entryPoints.listPreferredAddresses({ entryPoints: listed, workspace, failureDomain, wallTimeMs: startMs + atMs, keepForMs });
}

/** Weights between those of the smallest and the largest instance of the deployments. */
const createMembers = (count: number) => Array.from({ length: count }, (_, index) => createMember(index, 0.27 + 1.08 * ((index * 7) % count) / (count - 1)));

/** Lets callers, of which some keep answers three times as long, choose at random; returns the ratio of requests to weight of each instance, which is 1 on average. */
function computeRatios(members: readonly peers.Member[], durationMs: number, getDomain = "north"): readonly number[] {
    const random = randomness.createSeededRandomness(3);
    const counts = new Map<string, number>();
    const callers = Array.from(
        { length: 60 },
        (_, index) => ({ workspace: index % 2 === 0 ? "" : `w${index}`, keepMs: index % 4 === 0 ? 3 * keepForMs : keepForMs, until: random.getFraction() * 3 * keepForMs, addresses: listAddresses(members, 0, "", getDomain) }),
    );
    for (let now = 0; now < durationMs; now += 50) {
        for (const caller of callers) {
            if (now >= caller.until) {
                caller.addresses = listAddresses(members, now, caller.workspace, getDomain);
                caller.until = now + caller.keepMs;
            }
            const chosen = caller.addresses[Math.floor(random.getFraction() * caller.addresses.length)]!;
            counts.set(chosen, (counts.get(chosen) ?? 0) + 1);
        }
    }
    const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
    const totalWeight = members.reduce((sum, { weight }) => sum + (weight ?? 1), 0);
    return members.map(({ callerAddress, weight }) => (counts.get(callerAddress) ?? 0) / total / ((weight ?? 1) / totalWeight));
}

void tap.test("callers reach instances in proportion to their weights", async t => {
    for (const [count, domain, tolerance] of [[13, "north", 0.3], [43, "north", 0.3], [130, "elsewhere", 0.3]] as const) {
        const ratios = computeRatios(createMembers(count), 60_000, domain);
        t.ok(Math.min(...ratios) > 1 - tolerance && Math.max(...ratios) < 1 + tolerance, `${count} instances: from ${Math.min(...ratios).toFixed(2)} to ${Math.max(...ratios).toFixed(2)} times the share`);
    }
    const few = computeRatios([createMember(0, 1.35), createMember(1, 0.65), createMember(2, 0.65), createMember(3, 0.3)], 60_000);
    t.ok(few[3]! < 2 && few[0]! > 0.6, `four instances, of which two are always listed: ${few.map(ratio => ratio.toFixed(2)).join(", ")}`);
});

void tap.test("without weights, answers are those of earlier releases", async t => {
    const members = Array.from({ length: 130 }, (_, index) => createMember(index, undefined, index % 2 === 0 ? "north" : "south"));
    for (const domain of ["north", "elsewhere"]) {
        const expected = entryPoints.listEntryPoints({ members, workspace: "w", failureDomain: domain, quietAfterMs: 1_000 })
            .filter(({ failureDomain }) => domain === "elsewhere" || failureDomain === domain)
            .slice(0, 64);
        for (const atMs of [0, 333, 5_000]) {
            t.strictSame(listAddresses(members, atMs, "w", domain), expected.map(({ address }) => address), `${domain} after ${atMs} ms`);
        }
        t.ok(expected.every(entry => !("weight" in entry)), "entries have the same fields");
    }
});

void tap.test("an answer contains at most 64 addresses, no repeated ones, and changes in a few at a time", async t => {
    const members = createMembers(130);
    let [mostChanged, changes] = [0, 0];
    let before = listAddresses(members, 0);
    for (let now = 20; now < 5_000; now += 20) {
        const addresses = listAddresses(members, now);
        t.ok(addresses.length >= 2 && addresses.length <= 64 && new Set(addresses).size === addresses.length);
        const changed = addresses.filter(address => !before.includes(address)).length;
        [mostChanged, changes, before] = [Math.max(mostChanged, changed), changes + changed, addresses];
    }
    t.ok(mostChanged < 12, `at most ${mostChanged} of about 48 addresses are new after 20 ms`);
    t.ok(changes > 200, "but all of them change over time");
    t.strictSame(listAddresses([...members].reverse(), 4_980), before, "the answer does not depend on the instance that gives it");
});

void tap.test("a slow or full instance gets less, a new one its share at once", async t => {
    const load = { delayMs: 2, inFlight: 5, heldFraction: 0.1 };
    t.equal(settings.computeCapacity({ capacityCores: 0, capacityCoreSpeed: 1, capacityLinkMbps: 0 }), undefined);
    t.equal(settings.computeCapacity({ capacityCores: 0.675, capacityCoreSpeed: 2, capacityLinkMbps: 7 }), 0.35);
    t.equal(settings.computeCapacity({ capacityCores: 0.27, capacityCoreSpeed: 1, capacityLinkMbps: 0 }), 0.27);
    t.equal(settings.computeCapacity({ capacityCores: 0.675, capacityCoreSpeed: 2, capacityLinkMbps: 140 }), 1.35);
    t.equal(entryWeight.computeWeight(1, load, undefined), 1);
    t.equal(entryWeight.computeWeight(1, { ...load, delayMs: 80 }, 1), 0.25, "slow");
    t.equal(entryWeight.computeWeight(1, { ...load, inFlight: 200 }, 1), 0.5, "many requests in flight");
    t.equal(entryWeight.computeWeight(1, { ...load, heldFraction: 1 }, 1), 0.088, "no memory left");
    t.equal(entryWeight.computeWeight(1, { ...load, delayMs: 90 }, 0.25), 0.25, "a load between two steps changes nothing");
    t.equal(entryWeight.computeWeight(1, load, 0.25), 1, "recovered");
    const members = createMembers(20);
    const joined = [...members, createMember(20, 1.35)];
    t.ok(computeRatios(joined, 10_000)[20]! > 0.7, "new");
    const slowed = members.map((member, index) => index === 3 ? { ...member, weight: member.weight! / 4 } : member);
    t.ok(computeRatios(slowed, 30_000)[3]! < 1.5, "slow");
});

void tap.test("the weight is published only if settings give a capacity, and rarely", async t => {
    const runReporter = (capacityCores: number, countInFlight: () => number) => {
        const time = new virtualTime.VirtualTime();
        const published: unknown[] = [];
        const reporter = new entryWeightReporter.EntryWeightReporter({
            context: {
                clock: { getNow: () => time.now },
                loop: time,
                settings: { capacityCores, capacityCoreSpeed: 1, capacityLinkMbps: 0, memoryMb: 0, bodyBytesHeld: 100 },
                heldBytes: { getBytes: () => 0 },
                logger: { writeInfo: () => {} },
            } as never,
            mesh: { setMember: change => void published.push(change.weight) },
            countInFlight,
        });
        reporter.start();
        time.addTime(20_000);
        return published;
    };
    t.strictSame(runReporter(0, () => 0), []);
    t.strictSame(runReporter(0.5, () => 3), [0.5]);
    let step = 0;
    t.ok(runReporter(0.5, () => (step += 1) % 2 * 400).length <= 11, "a load that changes all the time is published every two seconds");
});
