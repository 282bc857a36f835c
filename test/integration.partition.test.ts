/** A one-way cut between two failure domains: what the link does not carry comes through the third. */

import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as ports from "./harness/ports.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const inForceTargetMs = 5_000;
const deafMs = 4_000;

void tap.test("south no longer hears north, which hears south", async t => {
    const store = await standIns.startEtcdStore();
    const [upstream] = await standIns.startUpstreams(1);
    const peerPorts = { north: await ports.findFreePort(), south: await ports.findFreePort() };
    const proxies = { north: await standIns.startFaultProxy(`127.0.0.1:${peerPorts.north}`), south: await standIns.startFaultProxy(`127.0.0.1:${peerPorts.south}`) };
    const started = [store.process, upstream!.process, proxies.north.process, proxies.south.process];
    t.teardown(() => Promise.all(started.map(process => process.stop())));
    const start = async (id: string, failureDomain: "north" | "middle" | "south", seeds: readonly string[], storeUrl: string) => {
        const flags: Record<string, string> = failureDomain === "middle" ? {} : { "peer-listen": `127.0.0.1:${peerPorts[failureDomain]}`, "peer-advertise": proxies[failureDomain].getAddress() };
        const instance = await fleet.startInstance({ id, failureDomain, storeUrl, seeds, flags });
        started.push(instance.process);
        return instance;
    };
    // The instance with the lesser identifier dials: south dials the others, and north dials middle. South has no store.
    const storeUrl = `http://${store.getAddress()}`;
    const middle = await start("c-middle", "middle", [], storeUrl);
    const north = await start("b-north", "north", [middle.ports.peer], storeUrl);
    const south = await start("a-south", "south", [middle.ports.peer], "http://127.0.0.1:9");
    const listStates = async (instance: fleet.Instance) => {
        const { json } = await instance.sendOperatorCall("Status", {});
        return (json.instances as readonly { instanceId: string; state: string; }[]).map(member => `${member.instanceId} ${member.state}`).sort();
    };
    const allRunning = ["a-south running", "b-north running", "c-middle running"];
    await processes.waitFor("all hear each other", async () => JSON.stringify(await Promise.all([north, middle, south].map(listStates))) === JSON.stringify([allRunning, allRunning, allRunning]));
    await processes.waitFor("south and north are linked", async () => (await south.getDump<{ peers: { links: string[]; }; }>()).peers.links.includes("b-north"));
    const createDocument = (retiredFeatures: readonly string[]) => configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() }, retiredFeatures });
    await fleet.applyConfiguration(north, createDocument([]));
    const { orderKeyPrefix } = await south.getEntries();

    // South dials north's proxy and north dials south's: neither carries bytes from north to south any more.
    await proxies.north.setBehaviour({ blocksBackward: true });
    await proxies.south.setBehaviour({ blocksForward: true });
    const links = await processes.waitFor("the link has died", async () => {
        const dump = await south.getDump<{ peers: { links: string[]; }; }>();
        return dump.peers.links.includes("b-north") ? undefined : dump.peers.links;
    });
    t.strictSame(links, ["c-middle"]);
    await new Promise(resolve => setTimeout(resolve, deafMs));
    t.strictSame(await listStates(south), allRunning, "south hears north through middle");
    t.strictSame(await listStates(north), allRunning);
    const startedAt = performance.now();
    const version = await fleet.applyConfiguration(north, createDocument(["reading"]));
    t.equal(await south.getConfigurationVersion(), version, "a change reaches south");
    t.ok(performance.now() - startedAt < inForceTargetMs, "within 5 s");
    t.equal((await south.send("/read/1")).status, 410);
    t.equal((await south.send("/normal/1")).status, 200, "south serves, though it has neither store nor link to north");

    // Callers' addresses are not cut here, so north reaches the key's owner; what a caller of south ran, north is told.
    const order = { method: "POST", body: "x", headers: { "x-agatebend-order-key": `${orderKeyPrefix}~1` } };
    t.equal((await south.send("/orders", order)).headers["x-agatebend-outcome"], "executed");
    t.equal((await north.send("/orders", order)).headers["x-agatebend-outcome"], "executed");
});
