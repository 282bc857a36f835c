/** An end-to-end test with real processes: entries, a read, an order, a download, a configuration change and a retired feature. */

import * as crypto from "node:crypto";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";
import * as upstream from "./standins/upstream.js";

const fileBytes = 20 * 1024 * 1024;

void tap.test("a request and a change go the whole way", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(4);
    const instances = await fleet.startFleet(["north", "middle", "south"], `http://${store.getAddress()}`);
    t.teardown(() => Promise.all([store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    const exchanges: unknown[] = [];
    const record = (step: string, response: processes.HttpResponse) => {
        const { headers, status, body, isComplete } = response;
        const shownBody = body.length > 500 ? { bytes: body.length, sha256: crypto.createHash("sha256").update(body).digest("hex") } : JSON.parse(body.toString() || "{}") as unknown;
        exchanges.push({ step, status, outcome: headers["x-agatebend-outcome"], error: headers["x-agatebend-error"], retry: headers["x-agatebend-retry"], isWhole: isComplete, body: shownBody });
    };
    const document = configurations.createTestConfiguration({ upstreams: Object.fromEntries(upstreams.map((standIn, index) => [`${["north", "middle", "south"][index % 3]}-${index}`, standIn.getAddress()])) });
    record("before any configuration", await instances[0]!.send("/read/1"));

    t.equal(await fleet.applyConfiguration(instances[1]!, document), 1, "the first change is version 1");
    t.strictSame(await Promise.all(instances.map(instance => instance.getConfigurationVersion())), [1, 1, 1], "it is in force at all three instances");

    const { entries, orderKeyPrefix } = await instances[0]!.getEntries("?workspace=st-anne&failureDomain=south");
    t.equal(entries[0]?.instanceId, "i3", "the first address is in the caller's failure domain");
    const url = `http://${entries[0]!.address}`;
    record("read", await processes.sendRequest(`${url}/read/42?week=9`, { headers: { "x-echo": "mine", "x-agatebend-workspace": "st-anne" } }));
    const order = { method: "POST", body: "two envelopes", headers: { "x-agatebend-order-key": `${orderKeyPrefix}~first` } };
    record("order, through an instance that does not own its key", await processes.sendRequest(`${url}/orders`, order));
    record("the same order again", await instances[1]!.send("/orders", order));
    record("an order without a key", await instances[1]!.send("/orders", { method: "POST", body: "x" }));
    record("no such route", await instances[2]!.send("/elsewhere"));
    const download = await processes.sendRequest(`${url}/files/${fileBytes}`);
    record("download", download);
    t.equal(crypto.createHash("sha256").update(download.body).digest("hex"), upstream.computeFileHash(fileBytes), "the download is byte-identical");
    const executions = await Promise.all(upstreams.map(async standIn => (await standIn.getState<{ executions: Record<string, number>; }>()).executions));
    t.strictSame(executions.flatMap(counts => Object.values(counts)), [1], "the order ran once");

    const retired = await instances[2]!.sendOperatorCall("Retire", { features: ["reading"], waitMs: 10_000 });
    t.match(retired, { status: 200, json: { version: "2", instancesKnown: 3, instancesInForce: 3 } }, "the feature is retired at all three instances");
    for (const instance of instances) {
        record(`a retired feature at ${instance.id}`, await instance.send("/read/42", { headers: { "user-agent": "old-job", "x-agatebend-workspace": "st-anne" } }));
    }
    const { json } = await instances[0]!.sendOperatorCall("Get", { section: "retired" });
    t.match(JSON.parse(String(json.json)), { calls: [{ feature: "reading", workspace: "st-anne", caller: "127.0.0.1 old-job", count: 1 }] }, "callers of the retired feature are reported");
    t.matchSnapshot(exchanges, "the session");
});
