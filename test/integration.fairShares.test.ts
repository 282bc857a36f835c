/** Guards against a workspace whose backlog delays the requests of another, and against fair shares for names that callers give without a key. */

import * as crypto from "node:crypto";
import * as timers from "node:timers/promises";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as standIns from "./harness/standIns.js";

const serviceMs = 50;
const backlog = 60;

void tap.test("one workspace has a backlog", async t => {
    const store = await standIns.startEtcdStore();
    const [upstream] = await standIns.startUpstreams(1);
    const [instance] = await fleet.startFleet(["north"], `http://${store.getAddress()}`);
    t.teardown(() => Promise.all([store.process, upstream!.process, instance!.process].map(testProcess => testProcess.stop())));
    await upstream!.setBehaviour({ slots: 1, serviceMs });
    const document = configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() }, slots: 1, deadlineMs: 10_000 });
    const getKey = (name: string) => `key-of-${name}`;
    const workspaces = Object.fromEntries(["large", "small"].map(name => [name, { keyDigests: [crypto.createHash("sha256").update(getKey(name)).digest("hex")] }]));

    const measureSmall = async () => {
        const send = (name: string) => instance!.send("/read/1", { headers: { authorization: `Bearer ${getKey(name)}`, "x-agatebend-workspace": name } });
        const large = Array.from({ length: backlog }, () => send("large"));
        await timers.setTimeout(5 * serviceMs);
        const startedAt = performance.now();
        const response = await send("small");
        const latencyMs = performance.now() - startedAt;
        const answers = await Promise.all(large);
        return { latencyMs, failures: [response, ...answers].filter(({ status }) => status !== 200).length };
    };

    await fleet.applyConfiguration(instance!, { ...document, workspaces });
    const withKeys = await measureSmall();
    t.ok(withKeys.latencyMs < 10 * serviceMs, `with keys, the other workspace is answered after ${Math.round(withKeys.latencyMs)} ms`);
    t.equal(withKeys.failures, 0, "and all requests of the backlog are served");
    await fleet.applyConfiguration(instance!, document);
    const withoutKeys = await measureSmall();
    t.ok(withoutKeys.latencyMs > 0.6 * backlog * serviceMs, `without configured workspaces, it waits for its turn: ${Math.round(withoutKeys.latencyMs)} ms`);
});
