/**
 * Guards against orders with a key that the end of a planned stop cuts although nothing at the instance runs them: orders that
 * wait for the store's answer to the claim of their key, or for the instance or the earlier request that runs the order.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const routes: readonly platform.TestRoute[] = [{ name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 }];
const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

/** A part of an order's response, or the error of its connection. */
interface OrderReply {
    readonly status: number | string;
    readonly outcome?: unknown;
    readonly error?: unknown;
    readonly afterMs: number;
}

async function start(t: Pick<typeof tap, "teardown">, names: readonly string[], flags: Readonly<Record<string, string | number>> = {}) {
    const testPlatform = await platform.startPlatform(2, routes);
    t.teardown(() => testPlatform.stop());
    const instances: platform.PlatformInstance[] = [];
    for (const name of names) {
        instances.push(await testPlatform.startInstance(name, { "kill-after-s": 6, "entries-ttl-ms": 1_000, "entries-grace-ms": 2_000, "drain-timeout-ms": 600_000, "store-timeout-ms": 20_000, ...flags }));
    }
    await Promise.all(instances.map(platform.waitUntilReady));
    const setBehaviour = (change: object) => Promise.all(testPlatform.workers.map(worker => worker.setBehaviour(change)));
    const countRuns = async (requestId: string) => {
        const states = await Promise.all(testPlatform.workers.map(worker => worker.getState<{ readonly runs: Readonly<Record<string, number>>; }>()));
        return states.reduce((sum, { runs }) => sum + (runs[requestId] ?? 0), 0);
    };
    return { testPlatform, instances, setBehaviour, countRuns };
}

async function sendOrder(instance: platform.PlatformInstance, requestId: string, key: string, body = "x"): Promise<OrderReply> {
    const sentAt = performance.now();
    const describe = ({ status, headers, isComplete }: processes.HttpResponse) => ({
        status: isComplete ? status : `${status} cut`,
        outcome: headers["x-agatebend-outcome"],
        error: headers["x-agatebend-error"],
    });
    const sent = instance.send("/order/1", { method: "POST", body, deadlineMs: 12_000, requestId, headers: { "x-agatebend-order-key": key } });
    const reply = await sent.then(describe, (error: Error) => ({ status: error.message }));
    return { ...reply, afterMs: Math.round(performance.now() - sentAt) };
}

void tap.test("an order that waits for the claim of its key at the end of a stop is refused and not sent", async t => {
    const { testPlatform, instances: [instance], countRuns } = await start(t, ["north"]);
    await testPlatform.store.setBehaviour({ failure: "silent" });
    const waiting = sendOrder(instance!, "waiting", "own-1");
    await wait(200);
    instance!.process.sendSignal("SIGTERM");
    t.match(await waiting, { status: 503, outcome: "unknown", error: "stoppedBeforeSend" });
    t.equal(await instance!.process.waitForExit(), 0);
    t.equal(await countRuns("waiting"), 0);
});

void tap.test("an order whose key is claimed late in a stop is refused and not sent", async t => {
    const { testPlatform, instances: [instance], countRuns } = await start(t, ["north"]);
    for (let index = 0; index < 30; index += 1) {
        await sendOrder(instance!, `usual-${index}`, `usual-${index}`);
    }
    await testPlatform.store.setBehaviour({ delayMs: 3_800 });
    const waiting = sendOrder(instance!, "late", "own-1");
    await wait(200);
    instance!.process.sendSignal("SIGTERM");
    const reply = await waiting;
    t.match(reply, { status: 503, outcome: "not-executed", error: "draining" });
    t.ok(reply.afterMs > 3_500 && reply.afterMs < 5_000, `after ${reply.afterMs} ms`);
    t.equal(await instance!.process.waitForExit(), 0);
    t.equal(await countRuns("late"), 0);
});

void tap.test("an order that waits for the owner of its key at the end of a stop gets its unknown outcome", async t => {
    const { instances: [owner, stopping], setBehaviour, countRuns } = await start(t, ["north", "south"]);
    await setBehaviour({ workMs: 9_000 });
    const first = sendOrder(owner!, "first", "own-1");
    await processes.waitFor("an upstream runs the order", async () => await countRuns("first") === 1);
    const waiting = sendOrder(stopping!, "repeat", "own-1");
    await wait(300);
    stopping!.process.sendSignal("SIGTERM");
    t.match(await waiting, { status: 504, outcome: "unknown", error: "stoppedAfterSend" });
    t.equal(await stopping!.process.waitForExit(), 0);
    t.match(await first, { status: 200, outcome: "executed" });
    t.equal(await countRuns("first") + await countRuns("repeat"), 1);
});

void tap.test("an order whose key's owner stops, while an earlier request runs it, gets its unknown outcome from both", async t => {
    const { instances: [owner, other], setBehaviour, countRuns } = await start(t, ["north", "south"]);
    await setBehaviour({ workMs: 9_000 });
    const first = sendOrder(owner!, "first", "own-1");
    await processes.waitFor("an upstream runs the order", async () => await countRuns("first") === 1);
    const replies = [sendOrder(owner!, "repeat", "own-1"), sendOrder(other!, "forwarded", "own-1")];
    await wait(300);
    owner!.process.sendSignal("SIGTERM");
    for (const reply of await Promise.all(replies)) {
        t.match(reply, { status: 504, outcome: "unknown", error: "stoppedAfterSend" });
    }
    t.match(await first, { status: /hang up|reset/iu }, "the upstream has not answered it");
    t.equal(await owner!.process.waitForExit(), 0);
    t.equal(await countRuns("first") + await countRuns("repeat") + await countRuns("forwarded"), 1);
});

// Guards against a late repeat that a stopping instance refuses although it has the order's response, or joins and then cuts, and against the advice not to retry.
void tap.test("late repeats at a stopping owner get the response that it has, and late orders with new keys are refused with true advice", async t => {
    const { instances: [owner, other], setBehaviour, countRuns } = await start(t, ["north", "south"], { "entries-ttl-ms": 10_000, "entries-grace-ms": 1_000 });
    t.match(await sendOrder(owner!, "first", "own-1"), { status: 200, outcome: "executed" });
    await setBehaviour({ workMs: 9_000 });
    void sendOrder(owner!, "running", "own-2");
    await processes.waitFor("an upstream runs the order", async () => await countRuns("running") === 1);
    owner!.process.sendSignal("SIGTERM");
    await wait(3_200);
    const replies = await Promise.all([sendOrder(owner!, "repeat", "own-1"), sendOrder(other!, "forwarded", "own-1"), sendOrder(owner!, "joined", "own-2"), sendOrder(owner!, "new", "own-3"), sendOrder(owner!, "stranger", "own-1", "y")]);
    t.match(replies, [
        { status: 200, outcome: "executed" },
        { status: 200, outcome: "executed" },
        { status: 504, outcome: "unknown", error: "stoppedAfterSend" },
        { status: 503, outcome: "unknown", error: "stoppedBeforeSend" },
        { status: 409, outcome: "unknown", error: "refusedRepeat" },
    ]);
    t.equal(await owner!.process.waitForExit(), 0);
    for (const requestId of ["repeat", "forwarded", "joined", "new", "stranger"]) {
        t.equal(await countRuns(requestId), 0, requestId);
    }
});
