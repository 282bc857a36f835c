/** An accepted configuration is in force on all instances within seconds and never reverts, even when the store or instances fail. */

import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const staleAfterMs = 1_500;
const inForceTargetMs = 5_000;

void tap.test("configuration under failures", async t => {
    const store = await standIns.startEtcdStore();
    const [upstream] = await standIns.startUpstreams(1);
    const flags = { "stale-after-ms": staleAfterMs, "store-timeout-ms": 600, "suspect-after-ms": 1_000, "dead-after-ms": 60_000 };
    const storeUrl = `http://${store.getAddress()}`;
    const instances = [...await fleet.startFleet(["north", "middle", "south"], storeUrl, flags)];
    const [first, second, third] = instances as [fleet.Instance, fleet.Instance, fleet.Instance];
    t.teardown(() => Promise.all([store.process, upstream!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    const createDocument = (retiredFeatures: readonly string[] = []) => configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() }, retiredFeatures });
    const apply = (instance: fleet.Instance, document: object, options: object = {}) => instance.sendOperatorCall("Apply", { configurationJson: JSON.stringify(document), waitMs: 5_000, ...options });
    const waitForVersion = (version: number) =>
        processes.waitFor(`version ${version} is in force on all instances`, async () => (await Promise.all(instances.map(instance => instance.getConfigurationVersion()))).every(inForceVersion => inForceVersion === version));
    const getStoredVersion = async () => {
        const { values } = await store.getState<{ readonly values: Record<string, string>; }>();
        return (JSON.parse(values["/agatebend/configuration/head"]!) as { readonly version: number; }).version;
    };
    await fleet.applyConfiguration(first, createDocument());

    await t.test("two operators apply a change at the same time", async t => {
        const responses = await Promise.all([apply(first, createDocument(["a"]), { baseVersion: 1 }), apply(second, createDocument(["b"]), { baseVersion: 1 })]);
        t.strictSame(responses.map(response => response.status).sort(), [200, 409]);
        t.match(responses.find(response => response.status === 409)?.json.message, "version 2", "the rejected change reports the version in force");
        await waitForVersion(2);
    });

    await t.test("three operators retire features at the same time", async t => {
        const responses = await Promise.all(instances.map((instance, index) => instance.sendOperatorCall("Retire", { features: [`feature-${index}`] })));
        t.strictSame(responses.map(response => response.status), [200, 200, 200]);
        await waitForVersion(5);
        const { json } = await third.sendOperatorCall("Get", { section: "retired" });
        t.ok(["feature-0", "feature-1", "feature-2"].every(feature => String(json.json).includes(feature)));
    });

    await t.test("a compare-and-swap takes effect and its reply is lost", async t => {
        await store.setBehaviour({ lostReplies: 1, lostKey: "chunks" });
        t.match(await apply(first, createDocument(["lost-chunk"])), { status: 200, json: { version: "6" } }, "the lost reply was for a chunk");
        await store.setBehaviour({ lostReplies: 1, lostKey: "head" });
        t.match(await apply(first, createDocument(), { changeId: "lost" }), { status: 200, json: { version: "7" } });
        t.match(await apply(second, createDocument(["other"]), { changeId: "lost" }), { status: 200, json: { version: "7" } }, "a repeat with the same change identifier gets the first response");
        await waitForVersion(7);
    });

    await t.test("a slow store", async t => {
        await store.setBehaviour({ delayMs: 300 });
        const startedAt = performance.now();
        t.match(await apply(second, createDocument(["slow"])), { status: 200, json: { version: "8", instancesInForce: 3 } });
        t.ok(performance.now() - startedAt < inForceTargetMs, "in force on all instances within 5 s");
        await store.setBehaviour({ delayMs: 0 });
    });

    await t.test("the store is restored from an older backup", async t => {
        await store.setBehaviour({ action: "backup" });
        await fleet.applyConfiguration(first, createDocument(["reading"]));
        await store.setBehaviour({ action: "restore" });
        await processes.waitFor("the store holds version 9 again", async () => await getStoredVersion() === 9);
        await waitForVersion(9);
        t.equal((await first.send("/read/1")).status, 410, "the retired feature stays retired");
        await fleet.applyConfiguration(second, createDocument());
        await waitForVersion(10);
    });

    await t.test("a change directly after the store is restored from an older backup", async t => {
        await store.setBehaviour({ action: "backup" });
        await fleet.applyConfiguration(first, createDocument(["x"]));
        await store.setBehaviour({ action: "restore" });
        t.match(await apply(second, createDocument(["y"])), { status: 200, json: { version: "12" } }, "the new version is higher than the one in force");
        await waitForVersion(12);
    });

    await t.test("the store is unreachable", async t => {
        await store.setBehaviour({ isAway: true });
        t.match(await apply(first, createDocument()), { status: 503, json: { message: /not accepted/ } }, "a change is refused with a clear error");
        const lateInstance = await fleet.startInstance({ id: "i4", failureDomain: "south", storeUrl, seeds: [first.ports.peer], flags });
        instances.push(lateInstance);
        await processes.waitFor("an instance that starts during the outage has the configuration", async () => await lateInstance.getConfigurationVersion() === 12);
        await new Promise(resolve => setTimeout(resolve, staleAfterMs * 2));
        t.equal((await lateInstance.send("/normal/1")).status, 200, "the new instance serves requests");
        t.equal((await first.send("/normal/1")).status, 200, "the other instances serve requests");
        await store.setBehaviour({ isAway: false });
    });

    await t.test("a feature is retired while an instance is suspended", async t => {
        third.process.sendSignal("SIGSTOP");
        const retired = await first.sendOperatorCall("Retire", { features: ["reading"] });
        t.equal(retired.status, 200);
        const pending = Array.from({ length: 5 }, () => third.send("/read/1"));
        await new Promise(resolve => setTimeout(resolve, staleAfterMs * 2));
        third.process.sendSignal("SIGCONT");
        const statuses = (await Promise.all(pending)).map(response => response.status);
        t.notOk(statuses.includes(200), `requests that waited are refused: ${statuses.join(" ")}`);
        await waitForVersion(13);
    });

    await t.test("a feature is retired while its requests are queued", async t => {
        await fleet.applyConfiguration(first, createDocument());
        await upstream!.setBehaviour({ slots: 1, serviceMs: 700 });
        const pending = Array.from({ length: 8 }, () => first.send("/read/1"));
        await processes.waitFor("requests are queued", async () => JSON.stringify((await first.getDump<{ admission: object; }>()).admission).match(/"queued":[5-9]/));
        t.equal((await second.sendOperatorCall("Retire", { features: ["reading"] })).status, 200);
        const statuses = (await Promise.all(pending)).map(response => response.status);
        t.ok(statuses.filter(status => status === 410).length >= 5, `queued requests were refused: ${statuses.join(" ")}`);
        await upstream!.setBehaviour({ slots: 3, serviceMs: 10 });
        await fleet.applyConfiguration(first, createDocument());
    });

    await t.test("an instance reaches neither the store nor other instances", async t => {
        await store.setBehaviour({ isAway: true });
        const otherInstances = instances.filter(instance => instance !== second);
        otherInstances.forEach(instance => instance.process.sendSignal("SIGSTOP"));
        const refused = await processes.waitFor("the instance refuses requests", async () => {
            const response = await second.send("/normal/1");
            return response.status === 503 ? response : undefined;
        });
        t.match(refused.headers, { "x-agatebend-error": "configurationStale", "x-agatebend-outcome": "not-executed" });
        otherInstances.forEach(instance => instance.process.sendSignal("SIGCONT"));
        await store.setBehaviour({ isAway: false });
        await processes.waitFor("the instance serves requests again", async () => (await second.send("/normal/1")).status === 200);
    });
});
