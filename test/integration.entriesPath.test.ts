/**
 * Guards against requests that the instance answers itself although a route sends them to a service. Callers of a service
 * with a path like that of the entry points got the fleet's own data as a success.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const paths = ["/v1/entries", "/v1/entries?page=2", "/v1/entries/7"];

void tap.test("a route whose prefix covers the path of the entry points", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "library", prefix: "/v1/", kind: "safe", service: "desk" }]);
    t.teardown(() => testPlatform.stop());

    await t.test("an instance with a port for entry points sends all paths of the callers' port to the service", async t => {
        const instance = await testPlatform.startInstance();
        await platform.waitUntilReady(instance);
        for (const path of paths) {
            const response = await instance.send(path, { requestId: `library${path}` });
            t.equal(response.headers["response-seal"], "seal-w0", `${path} is answered by the service`);
            t.match(response.body.toString(), `library${path}:`);
        }
        const entries = await processes.sendRequest(`http://${instance.addresses.entries}/v1/entries`);
        t.match(JSON.parse(entries.body.toString()), { addresses: [instance.addresses.caller] }, "the port for entry points answers");
        t.equal(instance.listLogs("route-shadowed").length, 0);
    });

    await t.test("an instance without such a port reserves the path and reports the route", async t => {
        const instance = await testPlatform.startInstance("south", { "entries-listen": "" });
        await platform.waitUntilReady(instance);
        t.match(JSON.parse((await instance.send("/v1/entries")).body.toString()), { entries: Array }, "the callers' port answers");
        t.equal((await instance.send("/v1/entries/7")).headers["response-seal"], "seal-w0", "a path below it is answered by the service");
        t.strictSame(instance.listLogs("route-shadowed").map(({ context }) => context.route), ["library"], "the log names the route");
    });
});
