/** Health updates reach every instance exactly once, with few messages, and also if a relay stops responding. */

import * as promClient from "prom-client";
import tap from "tap";
import * as pool from "../../src/pool/index.js";
import type * as healthUpdateBuffer from "../../src/upstreamHealth/healthUpdateBuffer.js";
import * as healthUpdateRelay from "../../src/upstreamHealth/healthUpdateRelay.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";
import * as virtualTime from "../harness/virtualTime.js";

const domains = ["north", "south", "east"];
const linkMs = 1;
const zeroCounts = { good: 0, bad: 0, survived: 0 };

interface Node {
    readonly id: string;
    readonly domain: string;
    readonly relay: healthUpdateRelay.HealthUpdateRelay;
    readonly applied: healthUpdateBuffer.HealthUpdate[];
    readonly upstream: pool.Upstream;
    readonly table: upstreamHealth.UpstreamHealthTable;
    readonly logs: string[];
    received: number;
    isSilent: boolean;
    /** No peer is linked to it. */
    isLost: boolean;
    /** The messages that it sends to this instance are lost. */
    unreachablePeer: string;
}

/** Creates a fleet in which every instance is linked to all others. */
function createFleet(count: number) {
    const time = new virtualTime.VirtualTime();
    const nodes: Node[] = [];
    const handlers = new Map<string, (from: string, body: unknown) => void>();
    for (let index = 0; index < count; index += 1) {
        const [id, domain] = [`i${index}`, domains[index % domains.length]!];
        const upstream = new pool.Upstream({ service: "s", definition: { id: "u1", address: "127.0.0.1:1", failureDomain: "north", state: "live" }, slots: 9 });
        const table = new upstreamHealth.UpstreamHealthTable();
        const applied: healthUpdateBuffer.HealthUpdate[] = [];
        const logs: string[] = [];
        const send = (peerIds: readonly string[], _topic: string, body: unknown) => {
            for (const peerId of peerIds) {
                const receiver = nodes.find(other => other.id === peerId)!;
                if (!node.isSilent && !receiver.isSilent && node.unreachablePeer !== peerId) {
                    receiver.received += 1;
                    time.scheduleOnce(linkMs, () => handlers.get(peerId)?.(id, structuredClone(body)));
                }
            }
            return peerIds.length;
        };
        const relay = new healthUpdateRelay.HealthUpdateRelay({
            context: {
                identity: { instanceId: id, failureDomain: domain, incarnation: 1 },
                clock: { getNow: () => time.now },
                loop: time,
                metrics: new promClient.Registry(),
                logger: { writeInfo: (event: string) => logs.push(event), writeWarning: (event: string) => logs.push(event) },
            },
            mesh: {
                setNoticeHandler: (_topic: string, handler: (from: string, body: unknown) => void) => handlers.set(id, handler),
                listLinkedPeersByCell: () => {
                    const linked = nodes.filter(other => other.id !== id && !other.isLost);
                    return new Map(domains.map(linkedDomain => [linkedDomain, linked.filter(other => other.domain === linkedDomain).map(other => other.id)] as const).filter(([, peerIds]) => peerIds.length > 0));
                },
                getCell: (peerId: string) => nodes.find(other => other.id === peerId)?.domain,
                getMember: () => undefined,
                sendNotices: send,
            },
            applyUpdates: (updates: readonly healthUpdateBuffer.HealthUpdate[]) => {
                applied.push(...updates);
                updates.forEach(update => table.recordRemoteInFlight(upstream, update.origin, update.inFlight, time.now));
            },
            getLocalInFlight: () => upstream.attempts.size,
            getDomainInFlight: () => table.getDomainInFlight(upstream),
        } as unknown as healthUpdateRelay.CreateHealthUpdateRelayOptions);
        const node: Node = { id, domain, relay, applied, upstream, table, logs, received: 0, isSilent: false, isLost: false, unreachablePeer: "" };
        nodes.push(node);
    }
    /** Ends an instance, and tells the others that their links to it have closed. */
    const stopNode = (lost: Node) => {
        lost.isSilent = true;
        lost.isLost = true;
        for (const { upstream, table, relay } of nodes.filter(other => other !== lost)) {
            const loaded = table.removeOrigin([upstream], lost.id);
            relay.handlePeerLoss(lost.id);
            relay.relayLoadEnd(lost.id, loaded.map(found => found.getId()));
        }
    };
    const countFailures = ({ applied }: Node) => applied.reduce((sum, { counts }) => sum + counts.bad, 0);
    return { time, nodes, handlers, stopNode, countFailures };
}

const failure = { upstream: "u1", inFlight: 0, counts: { ...zeroCounts, bad: 1 }, newestGoodSentAt: -Infinity };
const createLoadUpdate = (inFlight: number) => ({ upstream: "u1", inFlight, counts: zeroCounts, newestGoodSentAt: -Infinity });

/** Lets each instance of the domain north report once, and finds the one that they report to. */
function findRelay(nodes: readonly Node[], time: virtualTime.VirtualTime) {
    const north = nodes.filter(({ domain }) => domain === "north");
    north.forEach(({ relay }) => relay.addLocalUpdate(createLoadUpdate(0)));
    time.addTime(100);
    return { north, relay: north.reduce((most, next) => next.received > most.received ? next : most) };
}

void tap.test("a failure reaches every other instance once, within milliseconds", async t => {
    for (const sender of [0, 5, 11]) {
        const { time, nodes, countFailures } = createFleet(12);
        nodes[sender]!.relay.addLocalUpdate(failure);
        time.addTime(30);
        t.strictSame(nodes.map(countFailures), nodes.map((_, index) => index === sender ? 0 : 1), `reported by i${sender}`);
        time.addTime(2_000);
        t.strictSame(nodes.map(countFailures), nodes.map((_, index) => index === sender ? 0 : 1), "and it does not arrive again");
    }
});

void tap.test("the load of a failure domain is reported as one sum", async t => {
    const { time, nodes } = createFleet(12);
    nodes.filter(({ domain }) => domain === "north").forEach(({ relay, upstream }, index) => {
        for (let count = 0; count <= index; count += 1) {
            upstream.attempts.add({ route: "r", rankIndex: 0, startedAt: time.now });
        }
        relay.addLocalUpdate(createLoadUpdate(index + 1));
    });
    time.addTime(1_000);
    for (const { id, table, upstream } of nodes) {
        t.equal(table.getFleetInFlight(upstream), 10, `1 + 2 + 3 + 4, as observed by ${id}`);
    }
});

void tap.test("the number of messages per instance does not grow with the fleet", async t => {
    const countReceived = (count: number) => {
        const { time, nodes } = createFleet(count);
        for (let step = 0; step < 200; step += 1) {
            nodes.forEach(({ relay }, index) => relay.addLocalUpdate(createLoadUpdate((step + index) % 5)));
            time.addTime(10);
        }
        return [...nodes].map(({ received }) => received).sort((a, b) => a - b)[Math.floor(count / 2)]!;
    };
    const [few, many] = [countReceived(12), countReceived(36)];
    t.ok(many <= few * 1.2, `the median instance receives ${few} messages among 12 and ${many} among 36`);
});

void tap.test("a relay that is silent or unreachable is replaced", async t => {
    const doTest = (name: string, disturb: (relay: Node, first: Node) => void) => {
        const { time, nodes, countFailures } = createFleet(12);
        const { north, relay } = findRelay(nodes, time);
        const [first, second] = north.filter(node => node !== relay) as [Node, Node];
        disturb(relay, first);
        for (let step = 0; step < 30; step += 1) {
            first.relay.addLocalUpdate(createLoadUpdate(2));
            second.relay.addLocalUpdate(createLoadUpdate(2));
            time.addTime(10);
        }
        t.ok(first.logs.includes("news-relay-avoided"), `${name}: the relay is avoided`);
        first.relay.addLocalUpdate(failure);
        time.addTime(50);
        t.equal(countFailures(second), 1, `${name}: updates go through another relay`);
        t.equal(countFailures(nodes.find(({ domain }) => domain === "south")!), 1, `${name}: updates reach the other failure domains`);
    };
    doTest("silent", relay => {
        relay.isSilent = true;
    });
    doTest("unreachable for one instance", (relay, first) => {
        first.unreachablePeer = relay.id;
    });
});

void tap.test("a load is corrected even if its last update was lost with the relay", async t => {
    const doTest = (name: string, disturb: (relay: Node, first: Node) => void) => {
        const { time, nodes } = createFleet(12);
        const { north, relay } = findRelay(nodes, time);
        const first = north.find(node => node !== relay)!;
        const attempt = { route: "r", rankIndex: 0, startedAt: time.now };
        first.upstream.attempts.add(attempt);
        first.relay.addLocalUpdate(createLoadUpdate(1));
        time.addTime(400);
        const others = nodes.filter(node => node !== relay && node !== first);
        t.ok(others.every(({ table, upstream }) => table.getFleetInFlight(upstream) === 1), `${name}: the load is counted`);
        first.upstream.attempts.delete(attempt);
        first.relay.addLocalUpdate(createLoadUpdate(0));
        time.addTime(35);
        disturb(relay, first);
        time.addTime(1_000);
        t.strictSame(others.map(({ table, upstream }) => table.getFleetInFlight(upstream)), others.map(() => 0), `${name}: the end of the load is counted`);
    };
    doTest("frozen", relay => {
        relay.isSilent = true;
    });
    doTest("killed", (relay, first) => {
        relay.isSilent = true;
        relay.isLost = true;
        first.relay.handlePeerLoss(relay.id);
    });
});

/** Guards against requests of a killed instance that keep counting as in flight, so that upstreams look busy and get no others. */
void tap.test("the load of a killed instance is not counted any longer", async t => {
    const doTest = (name: string, reportedMs: number, isRelayKilled: boolean) => {
        const { time, nodes, stopNode } = createFleet(12);
        const { north, relay } = findRelay(nodes, time);
        const killed = isRelayKilled ? relay : north.find(node => node !== relay)!;
        killed.upstream.attempts.add({ route: "r", rankIndex: 0, startedAt: time.now });
        killed.relay.addLocalUpdate(createLoadUpdate(1));
        time.addTime(reportedMs);
        stopNode(killed);
        time.addTime(1_000);
        for (const domain of domains) {
            const others = nodes.filter(node => node !== killed && node.domain === domain);
            t.strictSame(others.map(({ table, upstream }) => table.getFleetInFlight(upstream)), others.map(() => 0), `${name}, in ${domain}`);
        }
    };
    // After more than 3 s no instance sends its own loads again, which would correct the sum by chance.
    doTest("reported to all domains", 4_000, false);
    doTest("reported by the relay that was killed", 4_000, true);
    doTest("still buffered by the relay", 40, false);
});

void tap.test("a malformed message is ignored", async t => {
    const { nodes, handlers } = createFleet(3);
    handlers.get("i0")!("i1", { parts: [{ origin: "i1", news: [["u1", -1]] }], spread: "none" });
    t.strictSame(nodes[0]!.applied, []);
    t.strictSame(nodes[0]!.logs, ["news-malformed"]);
});
