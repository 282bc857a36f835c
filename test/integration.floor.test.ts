/** The floor holds over the union of both sides of a partition, each of which sees other upstreams fail. */

import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as ports from "./harness/ports.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const upstreamCount = 8;
const floor = 5;
/** The least time to watch, and the most while one side has not ejected yet. */
const watchMs = 10_000;
const maximumWatchMs = 45_000;
/** Longer than an instance must follow a decider before it counts. */
const followMs = 4_500;

void tap.test("a fleet is cut in two", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(upstreamCount);
    const started = [store.process, upstreams[0]!.process];
    t.teardown(() => Promise.all(started.map(process => process.stop())));
    // Links within a side are made by seeds, links between the sides through proxies: they advertise those.
    const ids = ["a1", "a2", "a3", "b1", "b2", "b3"];
    const peerPorts = new Map(await Promise.all(ids.map(async id => [id, await ports.findFreePort()] as const)));
    const proxies = await Promise.all(ids.map(id => standIns.startFaultProxy(`127.0.0.1:${peerPorts.get(id)}`)));
    started.push(...proxies.map(proxy => proxy.process));
    const instances = await Promise.all(ids.map(async (id, index) => {
        const side = ids.filter(other => other[0] === id[0] && other !== id).map(other => `127.0.0.1:${peerPorts.get(other)}`);
        const bridge = id === "a1" ? [proxies[ids.indexOf("b1")]!.getAddress()] : [];
        const flags = { "peer-listen": `127.0.0.1:${peerPorts.get(id)}`, "peer-advertise": proxies[index]!.getAddress() };
        return fleet.startInstance({ id, failureDomain: ["north", "middle", "south"][index % 3]!, storeUrl: `http://${store.getAddress()}`, seeds: [...side, ...bridge], flags });
    }));
    started.push(...instances.map(instance => instance.process));
    const isWhole = async () => {
        const statuses = await Promise.all(instances.map(instance => instance.sendOperatorCall("Status", {})));
        return statuses.every(({ json }) => (json.instances as readonly { state: string; }[]).filter(member => member.state === "running").length === ids.length);
    };
    await processes.waitFor("all hear each other", isWhole);
    await fleet.applyConfiguration(instances[0]!, configurations.createTestConfiguration({ upstreams: Object.fromEntries(upstreams.map((known, index) => [`north-${index}`, known.getAddress()])), floor, slots: 8 }));
    await Promise.all(upstreams.map(known => known.setBehaviour({ slots: 8 })));
    await new Promise(resolve => setTimeout(resolve, followMs));

    let isOver = false;
    const callers = instances.flatMap(instance =>
        Array.from({ length: 4 }, async () => {
            while (!isOver) {
                await instance.send("/read/1", { headers: { "x-agatebend-deadline-ms": "1000" } }).catch(() => undefined);
                await new Promise(resolve => setTimeout(resolve, 20));
            }
        })
    );
    await Promise.all(proxies.map(proxy => proxy.setBehaviour({ refuses: true, action: "reset" })));
    await Promise.all([0, 1, 2].map(index => upstreams[index]!.setBehaviour({ cutFrom: "a1,a2,a3" })));
    await Promise.all([3, 4, 5].map(index => upstreams[index]!.setBehaviour({ cutFrom: "b1,b2,b3" })));
    const seen = { a: 0, b: 0, union: 0 };
    const startedAt = performance.now();
    const isWatchOver = () => performance.now() - startedAt > (seen.a > 0 && seen.b > 0 ? watchMs : maximumWatchMs);
    while (!isWatchOver()) {
        const pools = await Promise.all(instances.map(async instance => (await instance.getDump<{ pool: { docs: { upstreams: readonly { id: string; routability: string; }[]; }; }; }>()).pool.docs.upstreams));
        const held = pools.map(pool => pool.filter(known => known.routability === "ejected" || known.routability === "trial").map(known => known.id));
        seen.a = Math.max(seen.a, ...held.slice(0, 3).map(list => list.length));
        seen.b = Math.max(seen.b, ...held.slice(3).map(list => list.length));
        seen.union = Math.max(seen.union, new Set(held.flat()).size);
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    isOver = true;
    await Promise.all(callers);
    t.ok(seen.a > 0 && seen.b > 0, `both sides ejected: at most ${seen.a} and ${seen.b} at once`);
    t.ok(seen.union <= upstreamCount - floor, `the union of all ejections was at most ${seen.union} of ${upstreamCount}, floor ${floor}`);
});
