/**
 * Guards against a fleet that reverts to older contents, or no longer follows the store, after the store returned with an
 * older copy: what was written since the copy is gone, and revisions and leases are given out again.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const outageMs = 600;
const rewriteAfterMs = 700;
const repeatedOrders = 6;
const restoredWithinMs = 2_000;
const inForceWithinMs = 2_500;

interface Listing {
    readonly keys: readonly string[];
    readonly calls: Readonly<Record<string, number>>;
}

void tap.test("the store returns with an older copy", async t => {
    const testPlatform = await platform.startPlatform(4);
    t.teardown(() => testPlatform.stop());
    const { store, workers } = testPlatform;
    const instances = [await testPlatform.startInstance("north"), await testPlatform.startInstance("south"), await testPlatform.startInstance("west")];
    await Promise.all(instances.map(platform.waitUntilReady));
    const listVersions = (instance: platform.PlatformInstance) => instance.listLogs("configuration-in-force").map(line => Number(line.context.version));
    const waitForVersion = (version: number) => Promise.all(instances.map(instance => processes.waitFor(`${instance.id} has version ${version}`, () => listVersions(instance).includes(version), inForceWithinMs)));
    const countArrived = async (index: number) => (await workers[index]!.getState<{ readonly counts: { readonly arrived: number; }; }>()).counts.arrived;
    const sendLookups = async () => {
        const responses = await Promise.all(Array.from({ length: 30 }, (_, index) => instances[index % instances.length]!.send("/look/1")));
        return responses.map(({ status }) => status).filter(status => status !== 200);
    };
    const sendOrder = (instance: platform.PlatformInstance, key: string) => instance.send("/order/1", { method: "POST", body: "x", headers: { "x-agatebend-order-key": key } });
    const countExecuted = async () => (await Promise.all(workers.map((_, index) => countArrived(index)))).reduce((sum, count) => sum + count, 0);

    const born = Date.now();
    for (const [index] of workers.entries()) {
        await testPlatform.registerWorker(index, { born, seq: 1 });
    }
    await store.setBehaviour({ takeCopy: true });
    await testPlatform.registerWorker(0, { born, seq: 2, state: "draining" });
    await store.setBehaviour({ remove: ["servers/w1"] });
    await store.setBehaviour({ put: { "op/config": platform.createPlatformConfiguration(8, platform.defaultRoutes) } });
    await waitForVersion(8);
    const [holder, other] = instances as [platform.PlatformInstance, platform.PlatformInstance];
    await processes.waitFor("the removal is seen", () => instances.every(instance => instance.listLogs("upstream-gone").length > 0), inForceWithinMs);
    const ordersBefore = await countExecuted();
    t.equal((await sendOrder(holder, "own-1")).status, 200);
    t.equal(await countExecuted(), ordersBefore + 1);
    const arrivedBefore = [await countArrived(0), await countArrived(1)];

    await store.setBehaviour({ failure: "busy" });
    await new Promise(resolve => setTimeout(resolve, outageMs));
    const { calls: callsBefore } = await store.getState<Listing>();
    await store.setBehaviour({ failure: "none", restoreCopy: { rewriteAfterMs } });
    const restoredAt = performance.now();

    await t.test("a claim that was granted before is not granted to another instance, also right after the return", async t => {
        const executedBefore = await countExecuted();
        const statuses = await Promise.all(Array.from({ length: repeatedOrders }, () => sendOrder(other, "own-1").then(({ status }) => status)));
        t.equal(await countExecuted(), executedBefore, `executed once, answers ${statuses.join(" ")}`);
        await processes.waitFor("the claim is written again", () => holder.listLogs("order-claims-restored").length > 0, restoredWithinMs);
        t.equal((await sendOrder(other, "own-1")).status, 200, "the owner's answer");
        t.equal(await countExecuted(), executedBefore);
    });

    await t.test("the instances write their entries again within two seconds", async t => {
        const elapsedMs = performance.now() - restoredAt;
        await processes.waitFor("the entries are there", async () => (await store.getState<Listing>()).keys.filter(key => key.includes("members/")).length === instances.length, Math.max(1, restoredWithinMs + 500 - elapsedMs));
        t.ok(performance.now() - restoredAt < restoredWithinMs + 500);
    });

    await t.test("upstreams that left before get nothing, while the store lists their older entries", async t => {
        t.strictSame(await sendLookups(), []);
        await new Promise(resolve => setTimeout(resolve, rewriteAfterMs));
        t.strictSame(await sendLookups(), []);
        t.strictSame([await countArrived(0), await countArrived(1)], arrivedBefore);
        t.strictSame(instances.map(instance => instance.listLogs("store-restored").length), instances.map(() => 1));
    });

    await t.test("later changes are followed, although their revisions are lower than those before", async t => {
        await store.setBehaviour({ put: { "op/config": platform.createPlatformConfiguration(9, platform.defaultRoutes) } });
        await waitForVersion(9);
        instances.forEach(instance => t.strictSame(listVersions(instance), [...listVersions(instance)].sort((a, b) => a - b), `${instance.id} never reverts`));
        await testPlatform.registerWorker(1, { born: born + 1_000, seq: 1 });
        await processes.waitFor("a worker that registers again gets requests", async () => {
            await sendLookups();
            return await countArrived(1) > arrivedBefore[1]!;
        }, inForceWithinMs);
    });

    await t.test("the fleet makes few calls", async t => {
        const { calls } = await store.getState<Listing>();
        const writes = (calls["kv-txn"] ?? 0) - (callsBefore["kv-txn"] ?? 0);
        // The claims of the repeated orders, each written at most twice, and the member entry and one claim of each instance.
        t.ok(writes <= repeatedOrders * 2 + instances.length * 2, `${writes} writes`);
    });
});
