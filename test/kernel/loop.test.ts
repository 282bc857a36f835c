/**
 * After a stall of the process, a late one-time task must run after the input that arrived meanwhile; otherwise a timeout
 * expires although the response has arrived. A late periodic task must run before that input, so that it notices the stall first.
 */

import * as net from "node:net";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as loop from "../../src/kernel/loop.js";

const stallMs = 200;

async function openPair(): Promise<{ readonly near: net.Socket; readonly far: net.Socket; readonly close: () => void; }> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<net.Socket>(resolve => server.once("connection", resolve));
    const near = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    const far = await accepted;
    return {
        near,
        far,
        close: () => {
            near.destroy();
            far.destroy();
            server.close();
        },
    };
}

function runBusyLoop(durationMs: number): void {
    const until = performance.now() + durationMs;
    while (performance.now() < until) {
        // Blocks the event loop, as a suspended process does.
    }
}

void tap.test("timers of the event loop", async t => {
    const timers = new loop.Loop({ clock: clock.createSystemClock(), getLogger: () => undefined as never });
    t.teardown(() => timers.stop());

    const schedulings: readonly { readonly kind: string; readonly schedule: (task: () => void) => loop.Cancel; readonly expected: readonly string[]; }[] = [
        { kind: "once", schedule: task => timers.scheduleOnce(20, task), expected: ["bytes", "task"] },
        { kind: "periodically", schedule: task => timers.scheduleRepeatedly(20, task), expected: ["task", "bytes"] },
        // Guards against upstreams taken for unreachable in a long iteration of the event loop, near whose end the time-out was due.
        { kind: "once, is due just before the input is read, and reads input first", schedule: task => timers.scheduleOnce(stallMs - 10, task, { readsInputFirst: true }), expected: ["bytes", "task"] },
    ];
    for (const { kind, schedule, expected } of schedulings) {
        await t.test(`a task that runs ${kind}, with input pending`, async t => {
            const pair = await openPair();
            const executionOrder: string[] = [];
            const received = new Promise<void>(resolve => {
                pair.near.on("data", () => {
                    executionOrder.push("bytes");
                    resolve();
                });
            });
            const ran = new Promise<void>(resolve => {
                const task = () => {
                    executionOrder.push("task");
                    resolve();
                };
                const cancel = schedule(task);
                t.teardown(() => cancel());
            });
            await new Promise<void>(resolve => pair.far.write("answer", () => resolve()));
            runBusyLoop(stallMs);
            await Promise.all([ran, received]);
            t.strictSame(executionOrder.slice(0, 2), expected);
            pair.close();
        });
    }

    await t.test("a late one-time task can be cancelled by the pending input", async t => {
        const pair = await openPair();
        let hasRun = false;
        const cancel = timers.scheduleOnce(20, () => {
            hasRun = true;
        });
        pair.near.once("data", () => cancel());
        await new Promise<void>(resolve => pair.far.write("answer", () => resolve()));
        runBusyLoop(stallMs);
        await new Promise(resolve => setTimeout(resolve, 50));
        t.notOk(hasRun);
        pair.close();
    });
});
