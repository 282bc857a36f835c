/**
 * Requests with workspace keys, against stand-ins. Guards against requests that are executed without a valid key, keys that
 * leave the instance, keys that become valid again after they were withdrawn, and responses to orders of other callers.
 */

import * as http from "node:http";
import tap from "tap";
import * as workspaces from "../src/workspaces/index.js";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const configurationKey = "op/config";
const settleMs = 400;
const keys = { first: "key-of-first-7f3a", second: "key-of-second-91bc", withdrawn: "key-withdrawn-55de", unknown: "key-unknown-08aa" } as const;
const routes: readonly platform.TestRoute[] = [...platform.defaultRoutes, { name: "open", prefix: "/open/", kind: "safe", service: "desk", public: true }, { name: "wait", prefix: "/wait/", kind: "unsafe", service: "vault" }];
const usual: readonly platform.TestWorkspace[] = [{ name: "first", keys: [keys.first, keys.withdrawn] }, { name: "second/South", keys: [keys.second], priority: 0 }];
const withoutKey: readonly platform.TestWorkspace[] = [{ name: "first", keys: [keys.first] }, ...usual.slice(1)];

interface WorkerState {
    readonly runs: Readonly<Record<string, number>>;
    readonly tenants: Readonly<Record<string, string>>;
    readonly authorizations: number;
}

const bearer = (key: string) => ({ authorization: `Bearer ${key}` });
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

void tap.test("workspace keys on the platform", async t => {
    const testPlatform = await platform.startPlatform(1, routes);
    t.teardown(() => testPlatform.stop());
    const putConfiguration = (version: number, entries: readonly platform.TestWorkspace[]) => testPlatform.store.setBehaviour({ put: { [configurationKey]: platform.createPlatformConfiguration(version, routes, entries) } });
    const worker = testPlatform.workers[0]!;
    const readState = () => worker.getState<WorkerState>();
    const readDump = async (instance: platform.PlatformInstance) => (await processes.sendRequest(`http://${instance.addresses.operator}/dump`)).body.toString();
    const isInForce = (instance: platform.PlatformInstance, version: number) =>
        processes.waitFor(`version ${version} is in force at ${instance.id}`, async () => (JSON.parse(await readDump(instance)) as { readonly configuration: { readonly version: number; }; }).configuration.version >= version);

    await testPlatform.store.setBehaviour({ remove: [configurationKey] });
    const instance = await testPlatform.startInstance();
    t.equal((await instance.send("/look/1", { headers: bearer(keys.first) })).status, 503, "before a configuration");
    await putConfiguration(10, usual);
    await platform.waitUntilReady(instance);

    await t.test("a key admits the requests of its workspace", async t => {
        const doTest = async (name: string, path: string, headers: Readonly<Record<string, string>>, expected: { readonly status: number; readonly tenant?: string; }) => {
            const requestId = name.replaceAll(/[^a-z]/gi, "-");
            const response = await instance.send(path, { requestId, headers, ...(path.startsWith("/order") ? { method: "POST", body: "x" } : {}) });
            const { runs, tenants } = await readState();
            t.equal(response.status, expected.status, name);
            t.equal(runs[requestId] ?? 0, expected.status === 200 ? 1 : 0, `${name}: executed or not`);
            t.equal(tenants[requestId], expected.tenant, `${name}: the tenant that the upstream sees`);
            if (response.status === 401) {
                t.match(response.headers, { "x-agatebend-error": "keyUnknown", "x-agatebend-outcome": "not-executed", "www-authenticate": "Bearer" });
            }
        };
        await doTest("no key", "/look/1", {}, { status: 401 });
        await doTest("an unknown key", "/look/1", bearer(keys.unknown), { status: 401 });
        await doTest("an order without key", "/order/1", {}, { status: 401 });
        await doTest("an order with an unknown key", "/order/1", bearer(keys.unknown), { status: 401 });
        await doTest("a claimed name without key", "/look/1", { tenant: "first", "x-agatebend-workspace": "first" }, { status: 401 });
        await doTest("a key", "/look/1", bearer(keys.first), { status: 200, tenant: "first" });
        await doTest("a second key", "/look/1", bearer(keys.withdrawn), { status: 200, tenant: "first" });
        await doTest("an order", "/order/1", bearer(keys.second), { status: 200, tenant: usual[1]!.name });
        await doTest("another claimed name", "/look/1", { ...bearer(keys.first), Tenant: "second", "x-agatebend-workspace": "second" }, { status: 200, tenant: "first" });
        await doTest("a claimed name as hop by hop header", "/order/1", { ...bearer(keys.first), Tenant: "second", connection: "tenant, authorization" }, { status: 200, tenant: "first" });
        await doTest("a public route", "/open/1", {}, { status: 200 });
        await doTest("a public route with a claimed name", "/open/1", { tenant: "first" }, { status: 200 });
        await doTest("a public route with an unknown key", "/open/1", { ...bearer(keys.unknown), tenant: "first" }, { status: 200 });
        await doTest("a public route with a key", "/open/1", bearer(keys.first), { status: 200, tenant: "first" });
        t.equal((await readState()).authorizations, 0, "no Authorization header reaches an upstream");
    });

    await t.test("the rank of a workspace goes before the route's", async t => {
        const readLogged = async (key: string, count: number) => {
            const before = instance.listLogs("request-answered").length;
            for (let index = 0; index < count; index += 1) {
                await instance.send("/look/1", { headers: bearer(key) });
            }
            return processes.waitFor("one of the requests is logged", () => instance.listLogs("request-answered")[before]);
        };
        // One of 16 successful requests is logged.
        t.match((await readLogged(keys.second, 16)).context, { rank: "rank-0", workspace: usual[1]!.name });
        t.match((await readLogged(keys.first, 16)).context, { rank: "rank-1", workspace: "first" });
    });

    await t.test("a withdrawn key", async t => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        t.teardown(() => agent.destroy());
        t.equal((await instance.send("/look/1", { agent, headers: bearer(keys.withdrawn) })).status, 200);
        // The service of these routes has no workers yet, so the requests are queued.
        const sendQueued = (name: "refused" | "kept", key: string) => [
            instance.send("/file/1", { requestId: `file-${name}`, headers: bearer(key) }),
            instance.send("/wait/1", { requestId: `wait-${name}`, headers: bearer(key), method: "POST", body: "x" }),
        ];
        const refused = sendQueued("refused", keys.withdrawn);
        const kept = sendQueued("kept", keys.first);
        await wait(100);
        await putConfiguration(11, withoutKey);
        t.strictSame((await Promise.all(refused)).map(({ status }) => status), [401, 401], "queued requests are refused");
        await testPlatform.registerWorker(0, { service: "vault" });
        t.strictSame((await Promise.all(kept)).map(({ status }) => status), [200, 200], "queued requests with another key go on");
        await testPlatform.registerWorker(0);
        const { runs } = await readState();
        t.strictSame(Object.keys(runs).filter(requestId => requestId.endsWith("-refused")), [], "they were not executed");
        t.equal((await instance.send("/look/1", { agent, headers: bearer(keys.withdrawn) })).status, 401, "a kept connection is refused");
        t.equal((await instance.send("/look/1", { agent, headers: bearer(keys.first) })).status, 200);
    });

    await t.test("a withdrawn key does not become valid again", async t => {
        const proxy = await standIns.startFaultProxy(testPlatform.store.getAddress());
        t.teardown(() => proxy.process.stop());
        const second = await testPlatform.startInstance("south", { store: `kv://${proxy.getAddress()}` });
        await platform.waitUntilReady(second);
        await isInForce(second, 11);
        await putConfiguration(12, usual);
        await Promise.all([isInForce(instance, 12), isInForce(second, 12)]);
        t.equal((await second.send("/look/1", { headers: bearer(keys.withdrawn) })).status, 200, "the key is given out again");
        // The second process is stopped with the older version, and the key is withdrawn meanwhile.
        await proxy.setBehaviour({ blocksForward: true, blocksBackward: true });
        second.process.sendSignal("SIGSTOP");
        await putConfiguration(13, withoutKey);
        await isInForce(instance, 13);
        second.process.sendSignal("SIGCONT");
        await isInForce(second, 13);
        const statuses = async () => Promise.all([instance, second].map(async each => (await each.send("/look/1", { headers: bearer(keys.withdrawn) })).status));
        t.strictSame(await statuses(), [401, 401], "a peer with an older version takes the newer one, and gives none back");
        await testPlatform.store.setBehaviour({ put: { [configurationKey]: platform.createPlatformConfiguration(12, routes, usual) } });
        await proxy.setBehaviour({ blocksForward: false, blocksBackward: false });
        await wait(settleMs);
        t.strictSame(await statuses(), [401, 401], "an older version in the store changes nothing");
        await putConfiguration(13, withoutKey);
        await instance.process.stop();
        instance.restart();
        await processes.waitFor("the instance has started", () => instance.listLogs("instance-started").length > 0);
        await platform.waitUntilReady(instance);
        t.strictSame(await statuses(), [401, 401], "a restart");
    });

    await t.test("no key leaves the instance", async t => {
        await testPlatform.store.setBehaviour({ put: { [configurationKey]: { ...platform.createPlatformConfiguration(14, routes), workspaces: [{ name: "first", keys: keys.first }] } } });
        await processes.waitFor("the version is refused", () => instance.listLogs("configuration-refused").length > 0);
        await wait(settleMs);
        const metrics = (await processes.sendRequest(`http://${instance.addresses.operator}/metrics`)).body.toString();
        const errorBody = (await instance.send("/look/1", { headers: bearer(keys.unknown) })).body.toString();
        const places = { dump: await readDump(instance), metrics, "an error": errorBody, "a log line": [...instance.previousLines, ...instance.process.stdoutLines, ...instance.process.stderrChunks].join("\n") };
        t.match(places["a log line"], /configuration-refused/, "a version that is not valid is logged");
        for (const [name, text] of Object.entries(places)) {
            t.strictSame(Object.values(keys).filter(key => text.includes(key)), [], name);
        }
        t.equal((await readState()).authorizations, 0, "no Authorization header reached an upstream");
    });
});

void tap.test("order keys and workspace keys", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(1);
    const instances = await fleet.startFleet(["north", "south"], `http://${store.getAddress()}`, { "stale-after-ms": 60_000 });
    const [owner, other] = instances as [fleet.Instance, fleet.Instance];
    t.teardown(() => Promise.all([store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    const base = configurations.createTestConfiguration({ upstreams: { "north-0": upstreams[0]!.getAddress() } });
    const digests = (...each: string[]) => ({ keyDigests: each.map(workspaces.computeKeyDigest) });
    await fleet.applyConfiguration(owner, { ...base, workspaces: { first: digests(keys.first, keys.withdrawn), second: digests(keys.second) } });
    const countExecutions = async (key: string) => (await upstreams[0]!.getState<{ readonly executions: Record<string, number>; }>()).executions[key] ?? 0;
    const sendOrder = (instance: fleet.Instance, key: string, headers: Readonly<Record<string, string>>) => instance.send("/orders", { method: "POST", body: "order", headers: { "x-agatebend-order-key": key, ...headers } });
    const prefix = (await owner.getEntries()).orderKeyPrefix!;

    for (const key of [`${prefix}~1`, "own-1"]) {
        await t.test(key === "own-1" ? "a key of the caller" : "an issued key", async t => {
            const refused = await sendOrder(owner, key, bearer(keys.unknown));
            t.match([refused.status, refused.headers["x-agatebend-outcome"]], [401, "unknown"], "an earlier request may have used the order key");
            const first = await sendOrder(other, key, bearer(keys.first));
            t.match([first.status, first.headers["x-agatebend-outcome"]], [200, "executed"], "the owner executes a forwarded order, although it refused a stranger's");
            t.equal((await sendOrder(owner, key, bearer(keys.withdrawn))).body.toString(), first.body.toString(), "another key of the workspace gets the response again");
            t.equal((await sendOrder(owner, key, bearer(keys.second))).status, 422, "another workspace does not");
            for (const instance of [owner, other]) {
                for (const headers of [{}, bearer(keys.unknown)]) {
                    const stranger = await sendOrder(instance, key, headers);
                    t.match([stranger.status, stranger.headers["x-agatebend-outcome"], stranger.headers["x-agatebend-error"]], [401, "unknown", "keyUnknownRepeat"], "neither does a stranger");
                }
            }
            t.equal(await countExecutions(key), 1);
        });
    }
    await t.test("an order key after its workspace key was withdrawn", async t => {
        await fleet.applyConfiguration(owner, { ...base, workspaces: { first: digests(keys.first), second: digests(keys.second) } });
        t.equal((await sendOrder(other, "own-1", bearer(keys.withdrawn))).status, 401);
        t.equal((await sendOrder(other, "own-1", bearer(keys.first))).status, 200, "a valid key still gets the response");
        t.equal(await countExecutions("own-1"), 1);
    });
});
