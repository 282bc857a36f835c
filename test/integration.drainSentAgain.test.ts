/**
 * Guards against a lookup that a stopping instance gives up although there is time to send it again: an upstream hung with it,
 * others refused it, and the rule for requests that have not run ended it.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const routes: readonly platform.TestRoute[] = [{ name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 12_000, maximumAttempts: 3 }];
const entriesTtlMs = 500;
const entriesGraceMs = 500;
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

void tap.test("a lookup whose upstream hangs and that others refuse during a planned stop is sent again", async t => {
    const testPlatform = await platform.startPlatform(2, routes);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": 8, "entries-ttl-ms": entriesTtlMs, "entries-grace-ms": entriesGraceMs, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    const { workers } = testPlatform;
    for (let index = 0; index < 30; index += 1) {
        await instance.send("/look/1", { requestId: `usual-${index}` });
    }
    await Promise.all(workers.map(worker => worker.setBehaviour({ failPart: 1, failure: "hang" })));
    const answered = instance.send("/look/1", { requestId: "hung", deadlineMs: 12_000 }).then(({ status }) => String(status), (error: Error) => error.message);
    await processes.waitFor("an upstream runs the lookup", async () => {
        const states = await Promise.all(workers.map(worker => worker.getState<{ readonly runs: Readonly<Record<string, number>>; }>()));
        return states.some(({ runs }) => runs.hung === 1);
    });
    instance.process.sendSignal("SIGTERM");
    // The attempt that hangs goes on; all further ones are refused for a time.
    await Promise.all(workers.map(worker => worker.setBehaviour({ failPart: 0, slots: 0, queue: 0 })));
    await wait(3_000);
    await Promise.all(workers.map(worker => worker.setBehaviour({ slots: 3, queue: 12 })));
    t.equal(await answered, "200", JSON.stringify(instance.listLogs("request-refused").map(({ context }) => context.trail)));
    t.equal(await instance.process.waitForExit(), 0);
});
