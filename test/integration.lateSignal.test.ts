/**
 * Guards against a shutdown that counts its time from when a process that had been short of processor time came to handle the
 * signal: it took requests after its port should have closed, or requests that could end only after the platform would kill it.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";

const killAfterS = 6;
/** A stall at the signal that the shutdown makes up for, and one after which the platform kills the process before its end. */
const shortStallMs = 800;
const longStallMs = 2_500;
/** Later than the lifetime of entries answers and their grace, counted from the signal. */
const lateRequestMs = 3_200;
const usualWorkMs = 100;
const longWorkMs = 9_000;
const slowWorkMs = 4_000;
const settleMs = 500;

/** Stalls a process at its signal, sends an order late, whose work is slow this time, and returns how the process ended. */
async function runLateSignal(t: Pick<typeof tap, "teardown" | "ok">, stallMs: number): Promise<number | string> {
    const testPlatform = await platform.startPlatform(2, [
        { name: "look", prefix: "/look/", kind: "safe", service: "vault", timeoutMs: 12_000 },
        { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
    ]);
    t.teardown(() => testPlatform.stop());
    await testPlatform.registerWorker(1, { service: "vault" });
    const [worker, longWorker] = testPlatform.workers;
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "entries-ttl-ms": 1_000, "entries-grace-ms": 2_000, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));
    const send = (path: string, requestId: string) =>
        instance.send(path, { method: path === "/look/1" ? "GET" : "POST", deadlineMs: 12_000, requestId }).then(({ status, isComplete }) => ({ status, isComplete }), (error: Error) => ({ status: error.message, isComplete: false }));
    await worker!.setBehaviour({ workMs: usualWorkMs });
    await longWorker!.setBehaviour({ workMs: longWorkMs });
    for (let index = 0; index < 20; index += 1) {
        await send("/order/1", `usual-${index}`);
    }
    const inFlight = send("/look/1", "long");
    await wait(settleMs);

    const { process: testProcess } = instance;
    const signalledAt = performance.now();
    const killed = setTimeout(() => testProcess.sendSignal("SIGKILL"), killAfterS * 1_000);
    testProcess.sendSignal("SIGSTOP");
    testProcess.sendSignal("SIGTERM");
    await wait(stallMs);
    testProcess.sendSignal("SIGCONT");
    await wait(lateRequestMs - (performance.now() - signalledAt));
    await worker!.setBehaviour({ workMs: slowWorkMs });
    const late = await send("/order/1", "late");
    const status = await testProcess.waitForExit();
    clearTimeout(killed);
    await inFlight;
    const { runs } = await worker!.getState<{ readonly runs: Readonly<Record<string, number>>; }>();
    t.ok(
        runs.late === undefined || late.isComplete,
        `a request that was sent ${lateRequestMs} ms after the signal and ran is answered: ${late.status}; ${JSON.stringify(instance.listLogs("instance-draining").map(({ context }) => context))}`,
    );
    return status;
}

void tap.test("a planned stop whose signal is handled late", async t => {
    t.equal(await runLateSignal(t, shortStallMs), 0, "the process ends before the platform kills it");
});

void tap.test("a planned stop whose signal is handled later than it can make up for takes nothing that the platform may cut", async t => {
    t.equal(await runLateSignal(t, longStallMs), "SIGKILL", "a request that was in flight before the signal is not cut early");
});

void tap.test("a stall that was over before the signal does not shorten the shutdown", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 }]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "entries-ttl-ms": 1_000, "entries-grace-ms": 2_000, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));
    await testPlatform.workers[0]!.setBehaviour({ workMs: 6_000 });
    const waiting = instance.send("/order/1", { method: "POST", deadlineMs: 12_000 }).then(({ status }) => String(status), (error: Error) => error.message);
    await wait(100);
    instance.process.sendSignal("SIGSTOP");
    await wait(500);
    instance.process.sendSignal("SIGCONT");
    await wait(150);
    const signalledAt = performance.now();
    instance.process.sendSignal("SIGTERM");
    const status = await waiting;
    t.equal(status, "200", `ended ${Math.round(performance.now() - signalledAt)} ms after the signal; ${JSON.stringify(instance.listLogs("instance-draining").map(({ context }) => context))}`);
    t.equal(await instance.process.waitForExit(), 0);
});
