/**
 * The ejections of both sides of a partition together leave the floor of upstreams in rotation.
 * Each side sees different upstreams fail, so without a shared limit their ejections could add up to too many.
 */

import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as ports from "./harness/ports.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const upstreamCount = 8;
const floor = 5;
/** The minimum observation time, and the maximum while one side has not ejected an upstream yet. */
const observationMs = 10_000;
const maximumObservationMs = 45_000;
/** Longer than the time for which an instance must follow a decider before the decider counts it. */
const followMs = 4_500;

void tap.test("a partition splits a fleet in two", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(upstreamCount);
    const startedProcesses = [store.process, upstreams[0]!.process];
    t.teardown(() => Promise.all(startedProcesses.map(testProcess => testProcess.stop())));
    // Seeds create the links within a side. Links between the sides go through the proxies, whose addresses the instances advertise.
    const ids = ["a1", "a2", "a3", "b1", "b2", "b3"];
    const peerPorts = new Map(await Promise.all(ids.map(async id => [id, await ports.findFreePort()] as const)));
    const proxies = await Promise.all(ids.map(id => standIns.startFaultProxy(`127.0.0.1:${peerPorts.get(id)}`)));
    startedProcesses.push(...proxies.map(proxy => proxy.process));
    const instances = await Promise.all(ids.map(async (id, index) => {
        const sameSide = ids.filter(other => other[0] === id[0] && other !== id).map(other => `127.0.0.1:${peerPorts.get(other)}`);
        const otherSide = id === "a1" ? [proxies[ids.indexOf("b1")]!.getAddress()] : [];
        const flags = { "peer-listen": `127.0.0.1:${peerPorts.get(id)}`, "peer-advertise": proxies[index]!.getAddress() };
        return fleet.startInstance({ id, failureDomain: ["north", "middle", "south"][index % 3]!, storeUrl: `http://${store.getAddress()}`, seeds: [...sameSide, ...otherSide], flags });
    }));
    startedProcesses.push(...instances.map(instance => instance.process));
    const areAllRunning = async () => {
        const statuses = await Promise.all(instances.map(instance => instance.sendOperatorCall("Status", {})));
        return statuses.every(({ json }) => (json.instances as readonly { state: string; }[]).filter(member => member.state === "running").length === ids.length);
    };
    await processes.waitFor("all instances see each other as running", areAllRunning);
    await fleet.applyConfiguration(instances[0]!, configurations.createTestConfiguration({ upstreams: Object.fromEntries(upstreams.map((standIn, index) => [`north-${index}`, standIn.getAddress()])), floor, slots: 8 }));
    await Promise.all(upstreams.map(standIn => standIn.setBehaviour({ slots: 8 })));
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
    const maximumEjected = { a: 0, b: 0, union: 0 };
    const startedAt = performance.now();
    const isObservationOver = () => performance.now() - startedAt > (maximumEjected.a > 0 && maximumEjected.b > 0 ? observationMs : maximumObservationMs);
    while (!isObservationOver()) {
        const pools = await Promise.all(instances.map(async instance => (await instance.getDump<{ pool: { docs: { upstreams: readonly { id: string; routability: string; }[]; }; }; }>()).pool.docs.upstreams));
        const ejected = pools.map(pool => pool.filter(upstream => upstream.routability === "ejected" || upstream.routability === "trial").map(upstream => upstream.id));
        maximumEjected.a = Math.max(maximumEjected.a, ...ejected.slice(0, 3).map(list => list.length));
        maximumEjected.b = Math.max(maximumEjected.b, ...ejected.slice(3).map(list => list.length));
        maximumEjected.union = Math.max(maximumEjected.union, new Set(ejected.flat()).size);
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    isOver = true;
    await Promise.all(callers);
    t.ok(maximumEjected.a > 0 && maximumEjected.b > 0, `both sides ejected upstreams: at most ${maximumEjected.a} and ${maximumEjected.b} at once`);
    t.ok(maximumEjected.union <= upstreamCount - floor, `the union of all ejections was at most ${maximumEjected.union} of ${upstreamCount}, floor ${floor}`);
});
