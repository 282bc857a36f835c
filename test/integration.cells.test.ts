/**
 * Guards against instances of a large fleet that go on with old workers or an old configuration: most of them follow their
 * cell's relays instead of the store, which may be killed, frozen or cut off while something changes.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

/** The bound of the users' platform within which a worker that leaves gets no more requests, and a configuration is in force. */
const changeWithinMs = 2_000;
const heartbeatIntervalMs = 150;
/** Long enough for more heartbeats than are written until a change after the return is looked for. */
const copyAgeMs = 4_500;
const reappearanceMs = 2_000;

void tap.test("four instances in a cell", async t => {
    const testPlatform = await platform.startPlatform(3);
    t.teardown(() => testPlatform.stop());
    let sequence = 1;
    const removed = new Set<number>();
    const heartbeats = setInterval(() => {
        sequence += 1;
        testPlatform.workers.forEach((_, index) => removed.has(index) ? undefined : void testPlatform.registerWorker(index, { seq: sequence }).catch(() => {}));
    }, heartbeatIntervalMs);
    t.teardown(() => clearInterval(heartbeats));
    const proxy = await standIns.startFaultProxy(testPlatform.store.getAddress());
    t.teardown(() => proxy.process.stop());
    const instances: platform.PlatformInstance[] = [];
    for (let index = 0; index < 4; index += 1) {
        // With two peer links, three instances are the limit of a complete topology, and four are a cell.
        instances.push(await testPlatform.startInstance("north", { "maximum-peer-links": 2, store: `kv://${proxy.getAddress()}` }));
    }
    await Promise.all(instances.map(platform.waitUntilReady));
    const readDump = async (instance: platform.PlatformInstance) =>
        JSON.parse((await processes.sendRequest(`http://${instance.addresses.operator}/dump`)).body.toString()) as {
            readonly discovery: { readonly watchesStore: boolean; readonly following?: string; readonly followers: number; };
            readonly peers: { readonly links: readonly string[]; };
        };
    const follower = await processes.waitFor("one instance follows a relay", async () => {
        const dumps = await Promise.all(instances.map(readDump));
        return instances.filter((_, index) => !dumps[index]!.discovery.watchesStore)[0];
    });
    const firstDumps = await processes.waitFor("two instances watch the store", async () => {
        const dumps = await Promise.all(instances.map(readDump));
        return dumps.filter(({ discovery }) => discovery.watchesStore).length === 2 ? dumps : undefined;
    });
    const relays = instances.filter((_, index) => firstDumps[index]!.discovery.watchesStore);
    const waitUntilFollowing = () => processes.waitFor("the follower follows again", async () => !(await readDump(follower)).discovery.watchesStore);
    let version = 20;
    /** Removes a worker and adds a route, and waits until the follower applies both. */
    const testChange = (name: string) =>
        t.test(name, async () => {
            version += 1;
            const marker = `marker-${version}`;
            const goneCount = follower.listLogs("upstream-gone").length;
            removed.add(2);
            await new Promise(resolve => setTimeout(resolve, heartbeatIntervalMs));
            await testPlatform.store.setBehaviour({
                remove: ["servers/w2"],
                put: { "op/config": platform.createPlatformConfiguration(version, [...platform.defaultRoutes, { name: marker, prefix: `/${marker}/`, kind: "safe", service: "desk" }]) },
            });
            await processes.waitFor("the change is in force", async () => follower.listLogs("upstream-gone").length > goneCount && (await follower.send(`/${marker}/1`)).status === 200, changeWithinMs);
            removed.delete(2);
            const foundCount = follower.listLogs("upstream-found").length;
            await processes.waitFor("the worker is back", () => follower.listLogs("upstream-found").length > foundCount);
        });

    await t.test("only the relays watch the store", async t => {
        // An instance that has changed its relay leaves the former one with the next update of that.
        const dumps = await processes.waitFor("each follower follows one relay", async () => {
            const read = await Promise.all(instances.map(readDump));
            return read.reduce((sum, { discovery }) => sum + discovery.followers, 0) === 2 ? read : undefined;
        });
        t.strictSame(dumps.map(({ discovery }) => discovery.watchesStore).sort(), [false, false, true, true]);
        t.equal((await follower.send("/look/1")).status, 200);
    });
    await testChange("a change while all is well");

    await t.test("the store returns with an older copy, and its revisions are lower than the follower's", async t => {
        await testPlatform.store.setBehaviour({ takeCopy: true });
        await new Promise(resolve => setTimeout(resolve, copyAgeMs));
        await testPlatform.store.setBehaviour({ restoreCopy: {} });
        await processes.waitFor("the relays notice", () => relays.every(relay => relay.listLogs("store-restored").length === 1), changeWithinMs);
        t.equal((await follower.send("/look/1")).status, 200);
        // As after any outage, an entry that is removed within this time may reappear and is kept.
        await new Promise(resolve => setTimeout(resolve, reappearanceMs));
    });
    await testChange("a change after the store returned");
    await waitUntilFollowing();

    await t.test("both relays are frozen", async () => {
        relays.forEach(relay => relay.process.sendSignal("SIGSTOP"));
        await new Promise(resolve => setTimeout(resolve, 200));
    });
    await testChange("a change while both relays are frozen");
    relays.forEach(relay => relay.process.sendSignal("SIGCONT"));
    await waitUntilFollowing();

    await t.test("one relay is killed", async () => {
        const following = (await readDump(follower)).discovery.following;
        const killed = relays.find(({ id }) => id === following)!;
        await killed.process.stop();
        await testPlatform.store.setBehaviour({ put: { "op/config": platform.createPlatformConfiguration(++version, [...platform.defaultRoutes, { name: "other", prefix: "/other/", kind: "safe", service: "desk" }]) } });
        await processes.waitFor("the change is in force", async () => (await follower.send("/other/1")).status === 200, changeWithinMs);
        killed.restart();
        await processes.waitFor("the killed instance is back", () => killed.listLogs("instance-started").length > 0);
        await platform.waitUntilReady(killed);
    });
    await testChange("a change after a relay was replaced");

    await t.test("the store is away for a while", async t => {
        await proxy.setBehaviour({ blocksForward: true, blocksBackward: true });
        await new Promise(resolve => setTimeout(resolve, 3_000));
        t.equal((await follower.send("/look/1")).status, 200);
        await proxy.setBehaviour({ blocksForward: false, blocksBackward: false });
        await processes.waitFor("all hear from the store again", async () => (await Promise.all(instances.map(readDump))).every(({ discovery }, index) => discovery.watchesStore || !relays.includes(instances[index]!)));
    });
    await waitUntilFollowing();
    await testChange("a change after the store was away");
    t.strictSame(instances.flatMap(instance => instance.listLogs("uncaught-exception")), []);
});
