/** Guards against a configuration that is turned away whole, so that nothing is served, because the program does not allow one of its names. */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const service = "Envíos y pedidos, zona 1";
const route: platform.TestRoute = { name: "Órdenes / nuevas", prefix: "/órdenes nuevas/", kind: "unsafe", service };

void tap.test("names that only the platform allows", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    const configuration = { ...platform.createPlatformConfiguration(8, [...platform.defaultRoutes, route]), services: [service, "desk", "vault"].map(name => ({ name, connections: 330 })) };
    await testPlatform.registerWorker(0, { service });
    await testPlatform.store.setBehaviour({ put: { "op/config": configuration } });
    await processes.waitFor("the upstream is found under its new service", () => instance.listLogs("upstream-found").length > 1);
    const send = () => instance.send(encodeURI("/órdenes nuevas/1"), { method: "POST", body: "x" });
    await processes.waitFor("the route is served", async () => (await send()).status !== 404, 5_000).catch(() => {});
    t.equal((await send()).status, 200);
});
