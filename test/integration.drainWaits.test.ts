/**
 * Guards against orders that a stopping instance cuts although it could refuse them as not executed: taken by an estimate in the
 * second half of the shutdown, sent by an estimate after a long wait for a slot, or waiting for the retry budget at the end.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";

const routes: readonly platform.TestRoute[] = [
    { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 12_000 },
    { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
    { name: "hold", prefix: "/hold/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
];
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

async function start(t: Pick<typeof tap, "teardown">, flags: Readonly<Record<string, string | number>>) {
    const testPlatform = await platform.startPlatform(2, routes);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": 6, "entries-ttl-ms": 1_000, "entries-grace-ms": 2_000, "drain-timeout-ms": 600_000, ...flags });
    await platform.waitUntilReady(instance);
    const setBehaviour = (change: object) => Promise.all(testPlatform.workers.map(worker => worker.setBehaviour(change)));
    const send = async (requestId: string) => {
        const sentAt = performance.now();
        const status = await instance.send("/order/1", { method: "POST", body: "x", deadlineMs: 12_000, requestId })
            .then(({ status, isComplete }) => `${status}${isComplete ? "" : " cut"}`, (error: Error) => error.message);
        return { status, afterMs: Math.round(performance.now() - sentAt) };
    };
    return { testPlatform, instance, setBehaviour, send };
}

void tap.test("a late order to a slow upstream, where the entries' lifetime outlasts the shutdown, is refused", async t => {
    const { instance, setBehaviour, send } = await start(t, { "entries-ttl-ms": 10_000, "entries-grace-ms": 1_000 });
    for (let index = 0; index < 30; index += 1) {
        await send(`usual-${index}`);
    }
    instance.process.sendSignal("SIGTERM");
    await wait(3_200);
    await setBehaviour({ workMs: 4_000 });
    const { status, afterMs } = await send("late");
    t.match(status, /^(200|503)$/, `after ${afterMs} ms`);
    t.equal(await instance.process.waitForExit(), 0);
});

void tap.test("an order that was refused by upstreams and waits for the retry budget is refused before the end", async t => {
    const { instance, setBehaviour, send } = await start(t, { "retry-slack": 0, "retry-ratio": 0 });
    for (let index = 0; index < 30; index += 1) {
        await send(`usual-${index}`);
    }
    await setBehaviour({ slots: 0, queue: 0 });
    const waiting = send("waiting");
    await wait(500);
    instance.process.sendSignal("SIGTERM");
    const { status, afterMs } = await waiting;
    await instance.process.waitForExit();
    t.match(status, /^503$/, `after ${afterMs} ms; ${JSON.stringify(instance.listLogs("drain-request-cut").map(({ context }) => [context.waitingFor, context.trail]))}`);
    t.equal(await instance.process.waitForExit(), 0);
});

void tap.test("an order that was taken by an estimate and gets its slot after the port closed is refused", async t => {
    const { instance, setBehaviour, send } = await start(t, {});
    for (let index = 0; index < 30; index += 1) {
        await send(`usual-${index}`);
    }
    await setBehaviour({ slots: 40, queue: 40, workMs: 4_200 });
    // Orders of another route, whose latencies are kept apart, occupy the slots until 4.7 s after the signal.
    instance.process.sendSignal("SIGTERM");
    await wait(500);
    const held = Array.from({ length: 24 }, (_, index) => instance.send("/hold/1", { method: "POST", body: "x", deadlineMs: 5_000, requestId: `hold-${index}` }).then(({ status }) => status, (error: Error) => error.message));
    await wait(300);
    const { status, afterMs } = await send("queued");
    t.match(status, /^(200|503)$/, `after ${afterMs} ms; held ${JSON.stringify(await Promise.all(held))}`);
    await instance.process.waitForExit();
});
