/**
 * Guards against a shutdown that counts its time from when a stalled process came to handle the signal, and against one that
 * does not say so. After a stall, the timer of the check runs before the signal handler, so the age of the last check alone
 * shows no stall.
 */

import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as stallWatch from "../../src/kernel/stallWatch.js";

void tap.test("stalls of the process", async t => {
    const createWatch = () => {
        const time = clock.createVirtualClock();
        const logged: unknown[] = [];
        let runCheck = () => {};
        let polledTasks: (() => void)[] = [];
        const scheduleRepeatedly = (_: number, task: () => void) => {
            runCheck = task;
            return () => {};
        };
        const watch = new stallWatch.StallWatch({ clock: time, loop: { scheduleRepeatedly }, logger: { writeWarning: (event, _, values) => void logged.push([event, values]) }, scheduleAfterPoll: task => void polledTasks.push(task) });
        const runPoll = () => {
            polledTasks.forEach(task => task());
            polledTasks = [];
        };
        return { time, logged, watch, runCheck: () => runCheck(), runPoll };
    };

    await t.test("the earliest arrival of a signal", async t => {
        const { time, watch, runCheck, runPoll } = createWatch();
        const getDelay = () => time.getNow() - watch.getEarliestArrivalAt();
        watch.start();
        time.addTime(250);
        runCheck();
        runPoll();
        time.addTime(290);
        t.equal(getDelay(), 0, "is now while the process keeps running");
        time.addTime(410);
        t.equal(getDelay(), 700, "is the last check if the next one is overdue");
        runCheck();
        time.addTime(10);
        t.equal(getDelay(), 710, "is the check before the stall if the delayed check ran first");
        time.addTime(100);
        t.equal(getDelay(), 810, "is the same check as long as the event loop has not polled");
        runPoll();
        time.addTime(40);
        t.equal(getDelay(), 850, "is the same check shortly after the poll");
        time.addTime(20);
        t.equal(getDelay(), 0, "is now if the stall was over before");
        time.addTime(80);
        runCheck();
        t.equal(getDelay(), 0, "is now once a check ran in time");
        runPoll();
        time.addTime(4_000);
        t.equal(getDelay(), 4_000, "is the last check, however long ago");
        t.equal(time.getNow() - watch.getAssumedArrivalAt(), 1_000, "is assumed to be at most one second ago");
    });
    await t.test("before the start", async t => {
        const { time, watch } = createWatch();
        time.addTime(5_000);
        t.equal(watch.getCheckDelayMs(), 0);
        t.equal(watch.takeLongestStallMs(), 0);
    });
    await t.test("a check that is overdue", async t => {
        const { time, watch } = createWatch();
        watch.start();
        time.addTime(250);
        t.equal(watch.getCheckDelayMs(), 0);
        time.addTime(700);
        t.equal(watch.getCheckDelayMs(), 700);
        t.equal(watch.takeLongestStallMs(), 700);
    });
    await t.test("a check that ran late just before", async t => {
        const { time, watch, logged, runCheck } = createWatch();
        watch.start();
        time.addTime(950);
        runCheck();
        t.equal(watch.getCheckDelayMs(), 700);
        t.equal(watch.takeLongestStallMs(), 700);
        t.equal(watch.takeLongestStallMs(), 0, "the longest stall is counted anew");
        t.strictSame(logged, [], "a short stall has no line of its own");
        time.addTime(250);
        runCheck();
        t.equal(watch.getCheckDelayMs(), 0);
    });
    await t.test("a long stall is logged", async t => {
        const { time, watch, logged, runCheck } = createWatch();
        watch.start();
        time.addTime(1_250);
        runCheck();
        t.strictSame(logged, [["process-stood-still", { gapMs: 1_250 }]]);
    });
});
