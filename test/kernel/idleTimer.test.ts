/** Guards against a timer for each piece of a body, which took the processor time that the other requests needed. */

import tap from "tap";
import * as idleTimer from "../../src/kernel/idleTimer.js";
import * as virtualTime from "../harness/virtualTime.js";

function createTimer(limitMs: number) {
    const time = new virtualTime.VirtualTime();
    const startedAt = time.now;
    const state = { limitMs, scheduled: 0, idleAt: [] as number[] };
    const timer = new idleTimer.IdleTimer({
        clock: { getNow: () => time.now },
        loop: {
            scheduleOnce: (delayMs, task) => {
                state.scheduled += 1;
                return time.scheduleOnce(delayMs, task);
            },
        },
        getLimitMs: () => state.limitMs,
        onIdle: () => state.idleAt.push(time.now - startedAt),
    });
    return { time, timer, state };
}

void tap.test("an idle timer", async t => {
    await t.test("calls back after the limit, counted from the last restart", async t => {
        const { time, timer, state } = createTimer(400);
        timer.restart();
        time.addTime(399);
        timer.restart();
        time.addTime(399);
        t.strictSame(state.idleAt, []);
        time.addTime(1_000);
        t.strictSame(state.idleAt, [799]);
    });

    await t.test("sets few timers for many restarts", async t => {
        const { time, timer, state } = createTimer(500);
        for (let piece = 0; piece < 100_000; piece += 1) {
            timer.restart();
            time.addTime(0.01);
        }
        t.ok(state.scheduled <= 4, `${state.scheduled} timers`);
        t.strictSame(state.idleAt, []);
    });

    await t.test("does not call back once stopped, until it is restarted", async t => {
        const { time, timer, state } = createTimer(400);
        timer.restart();
        timer.stop();
        time.addTime(2_000);
        t.strictSame(state.idleAt, []);
        timer.restart();
        time.addTime(2_000);
        t.strictSame(state.idleAt, [2_400]);
    });

    await t.test("uses the limit of the moment", async t => {
        const { time, timer, state } = createTimer(15_000);
        timer.restart();
        time.addTime(1_500);
        state.limitMs = 1_000;
        time.addTime(2_000);
        t.strictSame(state.idleAt, [2_000]);
    });
});
