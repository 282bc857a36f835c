/**
 * Guards against responses that upstreams had sent before a planned stop ends, and that are cut because the process stands still
 * until its end and closes the connections before it reads them.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const routes: readonly platform.TestRoute[] = [
    { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
    { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 12_000 },
];
const killAfterS = 6;
const stallFromMs = 4_600;
const stallToMs = 5_720;
const workMs = 4_900;
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

void tap.test("responses that arrive while a stopping instance stands still until its end are passed on", async t => {
    const testPlatform = await platform.startPlatform(1, routes);
    t.teardown(() => testPlatform.stop());
    const [worker] = testPlatform.workers;
    await testPlatform.registerWorker(0, { slots: 10 });
    await worker!.setBehaviour({ slots: 10, workMs });
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "entries-ttl-ms": 1_000, "entries-grace-ms": 2_000, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    const send = (method: string, path: string, responseBytes: number) =>
        instance.send(path, { method, deadlineMs: 12_000, headers: { "response-bytes": responseBytes } }).then(
            ({ status, isComplete }) => `${status}${isComplete ? "" : " cut"}`,
            (error: Error) => `${method}, ${responseBytes} bytes: ${error.message}`,
        );
    const answers = [100, 100, 60_000, 500_000].flatMap(responseBytes => [send("POST", "/order/1", responseBytes), send("GET", "/look/1", responseBytes)]);
    await wait(100);
    await processes.waitFor("the worker runs every request", async () => (await worker!.getState<{ readonly busy: number; }>()).busy === answers.length);
    const signalledAt = performance.now();
    const waitUntil = (afterMs: number) => wait(signalledAt + afterMs - performance.now());
    instance.process.sendSignal("SIGTERM");
    await waitUntil(stallFromMs);
    instance.process.sendSignal("SIGSTOP");
    await waitUntil(stallToMs);
    instance.process.sendSignal("SIGCONT");
    t.strictSame((await Promise.all(answers)).filter(answer => answer !== "200"), []);
    t.equal(await instance.process.waitForExit(), 0);
});
