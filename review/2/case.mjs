// The operator adds a route whose prefix is /v1/. Clients then ask for /v1/entries on it.
import * as client from "../lib/client.mjs";
import * as fleet from "../lib/fleet.mjs";
import { Store } from "../lib/store.mjs";
import { Worker } from "../lib/worker.mjs";

const configApplyS = 2;
const oldRoutes = [{ name: "r-look", prefix: "/lohu930/", kind: "safe", service: "huvo11a" }];
const addedRoute = { name: "r-ledger", prefix: "/v1/", kind: "safe", service: "huvo11a" };

await fleet.runCase(import.meta.dirname, async ({ record, cleanups, withTrouble }) => {
    const store = await new Store().start();
    cleanups.push(() => store.stop());
    store.put("op/config", fleet.createConfiguration(7, oldRoutes, ["huvo11a"]));
    const runs = new Set();
    const workers = await Promise.all(["north", "middle", "south"].map(zone => new Worker({ service: "huvo11a", zone, onRun: ({ id }) => runs.add(id), createBody: request => Buffer.from(`ledger of ${request.url}\n`) }).start()));
    cleanups.push(() => workers.forEach(worker => worker.exit()));
    workers.forEach(worker => worker.register(store));
    const instances = await fleet.createInstances(store);
    cleanups.push(async () => {
        await Promise.all(instances.map(instance => instance.end()));
        instances.remove();
    });
    instances.forEach(instance => instance.start());
    for (const instance of instances) {
        await fleet.waitUntilReady(instance);
    }
    await fleet.sleep(3_000);
    if (withTrouble) {
        const revision = store.put("op/config", fleet.createConfiguration(12, [...oldRoutes, addedRoute], ["huvo11a"]));
        record(`configuration 12 adds the route ${addedRoute.prefix}; the store acknowledges it as revision ${revision}`);
    }
    // Stability is waited for as well: stableWindowS after the change.
    await fleet.sleep(Math.max(configApplyS * 1_000, 3_000) + 1_000);

    let mixed = 0;
    let unserved = 0;
    const paths = withTrouble ? ["/v1/books", "/v1/entries", "/v1/entries?page=2", "/v1/entries/7"] : ["/lohu930/2f", "/lohu930/entries", "/lohu930/v1/entries"];
    for (const instance of instances) {
        for (const path of paths) {
            const answer = await client.send(instance.front, { path });
            const isSuccess = answer.status >= 200 && answer.status < 300;
            const isMixed = isSuccess && !client.isSealedWhole(answer);
            mixed += Number(isMixed);
            unserved += Number(!isSuccess);
            record(`GET ${path} (${answer.id}) at ${instance.name}: ${runs.has(answer.id) ? "run by a worker" : "reaches no worker"}; the client gets ${answer.status}, seal ${answer.headers["response-seal"] ?? "none"}, body ${JSON.stringify(answer.body.toString().slice(0, 160))}${isMixed ? "  MIXED" : ""}`);
        }
    }
    record(`${mixed} successes came without the worker's Response-Seal; ${unserved} requests got no success`);
    return mixed > 0 || (!withTrouble && unserved > 0);
});
