/** News of upstreams reaches every instance once, through few messages, also past a relay that has fallen silent. */

import * as promClient from "prom-client";
import tap from "tap";
import type * as loop from "../../src/kernel/loop.js";
import * as pool from "../../src/pool/index.js";
import type * as healthUpdateBuffer from "../../src/upstreamHealth/healthUpdateBuffer.js";
import * as healthUpdateRelay from "../../src/upstreamHealth/healthUpdateRelay.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";

const domains = ["north", "south", "east"];
const linkMs = 1;
const noOutcome = { good: 0, bad: 0, survived: 0 };

/** Time that moves only when it is told to, with timers. */
class VirtualTime {
    now = 1_000;
    private tasks: { readonly at: number; readonly run: () => void; }[] = [];

    readonly scheduleOnce = (delayMs: number, task: () => void): loop.Cancel => {
        const entry = { at: this.now + delayMs, run: task };
        this.tasks.push(entry);
        return () => {
            this.tasks = this.tasks.filter(known => known !== entry);
        };
    };

    /** Moves on, running what falls due. */
    addTime(durationMs: number): void {
        const until = this.now + durationMs;
        while (true) {
            const next = this.tasks.filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0];
            if (next === undefined) {
                break;
            }
            this.tasks = this.tasks.filter(known => known !== next);
            this.now = next.at;
            next.run();
        }
        this.now = until;
    }
}

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
    /** Nobody is linked to it. */
    isLost: boolean;
    /** What it sends to this instance is lost. */
    unreached: string;
}

/** A fleet whose instances are all linked to each other. */
function createFleet(count: number) {
    const time = new VirtualTime();
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
                const target = nodes.find(known => known.id === peerId)!;
                if (!node.isSilent && !target.isSilent && node.unreached !== peerId) {
                    target.received += 1;
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
                listLinkedPeers: () => nodes.filter(known => known.id !== id && !known.isLost).map(known => known.id),
                listMembers: () => nodes.map(known => ({ instanceId: known.id, failureDomain: known.domain })),
                getMember: (peerId: string) => nodes.filter(known => known.id === peerId).map(known => ({ failureDomain: known.domain }))[0],
                sendNotices: send,
            },
            applyItems: (items: readonly healthUpdateBuffer.HealthUpdate[]) => {
                applied.push(...items);
                items.forEach(item => table.recordRemoteInFlight(upstream, item.origin, item.inFlight, time.now));
            },
            getOwnInFlight: () => upstream.attempts.size,
            getDomainInFlight: () => table.getDomainInFlight(upstream),
        } as unknown as healthUpdateRelay.CreateHealthUpdateRelayOptions);
        const node: Node = { id, domain, relay, applied, upstream, table, logs, received: 0, isSilent: false, isLost: false, unreached: "" };
        nodes.push(node);
    }
    const countFailures = ({ applied }: Node) => applied.reduce((sum, { counts }) => sum + counts.bad, 0);
    return { time, nodes, handlers, countFailures };
}

const failure = { upstream: "u1", inFlight: 0, counts: { ...noOutcome, bad: 1 }, goodSentAt: -Infinity };
const load = (inFlight: number) => ({ upstream: "u1", inFlight, counts: noOutcome, goodSentAt: -Infinity });

void tap.test("a failure is told to every other instance once, within milliseconds", async t => {
    for (const teller of [0, 5, 11]) {
        const { time, nodes, countFailures } = createFleet(12);
        nodes[teller]!.relay.addLocalUpdate(failure);
        time.addTime(30);
        t.strictSame(nodes.map(countFailures), nodes.map((_, index) => index === teller ? 0 : 1), `told by i${teller}`);
        time.addTime(2_000);
        t.strictSame(nodes.map(countFailures), nodes.map((_, index) => index === teller ? 0 : 1), "and not again");
    }
});

void tap.test("the load of a failure domain is told as one sum", async t => {
    const { time, nodes } = createFleet(12);
    nodes.filter(({ domain }) => domain === "north").forEach(({ relay, upstream }, index) => {
        for (let count = 0; count <= index; count += 1) {
            upstream.attempts.add({ route: "r", rankIndex: 0, startedAt: time.now });
        }
        relay.addLocalUpdate(load(index + 1));
    });
    time.addTime(1_000);
    for (const { id, table, upstream } of nodes) {
        t.equal(table.getFleetInFlight(upstream), 10, `1 + 2 + 3 + 4, as seen from ${id}`);
    }
});

void tap.test("an instance's messages do not grow with the fleet", async t => {
    const countReceived = (count: number) => {
        const { time, nodes } = createFleet(count);
        for (let step = 0; step < 200; step += 1) {
            nodes.forEach(({ relay }, index) => relay.addLocalUpdate(load((step + index) % 5)));
            time.addTime(10);
        }
        return [...nodes].map(({ received }) => received).sort((a, b) => a - b)[Math.floor(count / 2)]!;
    };
    const [few, many] = [countReceived(12), countReceived(36)];
    t.ok(many <= few * 1.2, `the median instance receives ${few} messages among 12 and ${many} among 36`);
});

void tap.test("a relay that has fallen silent, or is not reached, is replaced", async t => {
    const doTest = (name: string, disturb: (relay: Node, first: Node) => void) => {
        const { time, nodes, countFailures } = createFleet(12);
        const north = nodes.filter(({ domain }) => domain === "north");
        north.forEach(({ relay }) => relay.addLocalUpdate(load(1)));
        time.addTime(100);
        const relay = north.reduce((most, next) => next.received > most.received ? next : most);
        const [first, second] = north.filter(node => node !== relay) as [Node, Node];
        disturb(relay, first);
        for (let step = 0; step < 30; step += 1) {
            first.relay.addLocalUpdate(load(2));
            second.relay.addLocalUpdate(load(2));
            time.addTime(10);
        }
        t.ok(first.logs.includes("news-relay-avoided"), `${name}: it is noticed`);
        first.relay.addLocalUpdate(failure);
        time.addTime(50);
        t.equal(countFailures(second), 1, `${name}: news goes through another`);
        t.equal(countFailures(nodes.find(({ domain }) => domain === "south")!), 1, `${name}: to the other domains too`);
    };
    doTest("silent", relay => {
        relay.isSilent = true;
    });
    doTest("heard, but deaf for one", (relay, first) => {
        first.unreached = relay.id;
    });
});

void tap.test("a load whose end is lost with its relay does not count on", async t => {
    const doTest = (name: string, disturb: (relay: Node, first: Node) => void) => {
        const { time, nodes } = createFleet(12);
        const north = nodes.filter(({ domain }) => domain === "north");
        north.forEach(({ relay }) => relay.addLocalUpdate(load(0)));
        time.addTime(100);
        const relay = north.reduce((most, next) => next.received > most.received ? next : most);
        const first = north.find(node => node !== relay)!;
        const attempt = { route: "r", rankIndex: 0, startedAt: time.now };
        first.upstream.attempts.add(attempt);
        first.relay.addLocalUpdate(load(1));
        time.addTime(400);
        const others = nodes.filter(node => node !== relay && node !== first);
        t.ok(others.every(({ table, upstream }) => table.getFleetInFlight(upstream) === 1), `${name}: the load is known`);
        first.upstream.attempts.delete(attempt);
        first.relay.addLocalUpdate(load(0));
        time.addTime(35);
        disturb(relay, first);
        time.addTime(1_000);
        t.strictSame(others.map(({ table, upstream }) => table.getFleetInFlight(upstream)), others.map(() => 0), `${name}: and so is its end`);
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

void tap.test("what can't be read is left out", async t => {
    const { nodes, handlers } = createFleet(3);
    handlers.get("i0")!("i1", { parts: [{ origin: "i1", news: [["u1", -1]] }], spread: "none" });
    t.strictSame(nodes[0]!.applied, []);
    t.strictSame(nodes[0]!.logs, ["news-malformed"]);
});
