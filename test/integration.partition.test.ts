/** In a one-way partition between two failure domains, gossip and configuration changes arrive through the third domain. */

import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as ports from "./harness/ports.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const inForceTargetMs = 5_000;
const observationMs = 4_000;

void tap.test("south receives nothing from north, while north receives from south", async t => {
    const store = await standIns.startEtcdStore();
    const [upstream] = await standIns.startUpstreams(1);
    const peerPorts = { north: await ports.findFreePort(), south: await ports.findFreePort() };
    const proxies = { north: await standIns.startFaultProxy(`127.0.0.1:${peerPorts.north}`), south: await standIns.startFaultProxy(`127.0.0.1:${peerPorts.south}`) };
    const startedProcesses = [store.process, upstream!.process, proxies.north.process, proxies.south.process];
    t.teardown(() => Promise.all(startedProcesses.map(testProcess => testProcess.stop())));
    const start = async (id: string, failureDomain: "north" | "middle" | "south", seeds: readonly string[], storeUrl: string) => {
        const flags: Record<string, string> = failureDomain === "middle" ? {} : { "peer-listen": `127.0.0.1:${peerPorts[failureDomain]}`, "peer-advertise": proxies[failureDomain].getAddress() };
        const instance = await fleet.startInstance({ id, failureDomain, storeUrl, seeds, flags });
        startedProcesses.push(instance.process);
        return instance;
    };
    // Of two instances, the one with the smaller identifier opens the link: south to the others, and north to middle. South cannot reach a store.
    const storeUrl = `http://${store.getAddress()}`;
    const middle = await start("c-middle", "middle", [], storeUrl);
    const north = await start("b-north", "north", [middle.ports.peer], storeUrl);
    const south = await start("a-south", "south", [middle.ports.peer], "http://127.0.0.1:9");
    const listStates = async (instance: fleet.Instance) => {
        const { json } = await instance.sendOperatorCall("Status", {});
        return (json.instances as readonly { instanceId: string; state: string; }[]).map(member => `${member.instanceId} ${member.state}`).sort();
    };
    const allRunning = ["a-south running", "b-north running", "c-middle running"];
    await processes.waitFor("all instances see each other as running", async () => JSON.stringify(await Promise.all([north, middle, south].map(listStates))) === JSON.stringify([allRunning, allRunning, allRunning]));
    await processes.waitFor("south and north are linked", async () => (await south.getDump<{ peers: { links: string[]; }; }>()).peers.links.includes("b-north"));
    const createDocument = (retiredFeatures: readonly string[]) => configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() }, retiredFeatures });
    await fleet.applyConfiguration(north, createDocument([]));
    const { orderKeyPrefix } = await south.getEntries();

    // South connects through north's proxy, and north through south's. Both proxies now drop the bytes from north to south.
    await proxies.north.setBehaviour({ blocksBackward: true });
    await proxies.south.setBehaviour({ blocksForward: true });
    const links = await processes.waitFor("the link between south and north is closed", async () => {
        const dump = await south.getDump<{ peers: { links: string[]; }; }>();
        return dump.peers.links.includes("b-north") ? undefined : dump.peers.links;
    });
    t.strictSame(links, ["c-middle"]);
    await new Promise(resolve => setTimeout(resolve, observationMs));
    t.strictSame(await listStates(south), allRunning, "south sees north as running through middle");
    t.strictSame(await listStates(north), allRunning);
    const startedAt = performance.now();
    const version = await fleet.applyConfiguration(north, createDocument(["reading"]));
    t.equal(await south.getConfigurationVersion(), version, "a configuration change reaches south");
    t.ok(performance.now() - startedAt < inForceTargetMs, "within 5 s");
    t.equal((await south.send("/read/1")).status, 410);
    t.equal((await south.send("/normal/1")).status, 200, "south serves requests without a store and without a link to north");

    // The callers' ports are not partitioned, so north reaches the key's owner in south and gets the order's outcome.
    const order = { method: "POST", body: "x", headers: { "x-agatebend-order-key": `${orderKeyPrefix}~1` } };
    t.equal((await south.send("/orders", order)).headers["x-agatebend-outcome"], "executed");
    t.equal((await north.send("/orders", order)).headers["x-agatebend-outcome"], "executed");
});
