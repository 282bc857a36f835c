/** Which requests are given up in the queue, and which are tried. */

import tap from "tap";
import * as scheduler from "../../src/admission/scheduler.js";
import type * as types from "../../src/admission/types.js";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";

const deadlineMs = 2_345;

void tap.test("a queue", async t => {
    const createQueue = () => {
        const time = clock.createVirtualClock();
        let hasRoom = true;
        let looks: (() => void)[] = [];
        const created = new scheduler.Scheduler({
            context: {
                settings: { queueLength: 10, queueing: "fifo" },
                clock: time,
                loop: {
                    scheduleOnce: (_delayMs: number, task: () => void) => {
                        looks.push(task);
                        return () => {
                            looks = looks.filter(look => look !== task);
                        };
                    },
                },
            },
            pool: { getServicePool: () => ({ upstreams: [] }), startAttempt: () => ({}), finishAttempt: () => {} },
            service: "desk",
            ranks: [{ name: "urgent", guaranteedShare: 1 }],
            slotQuota: { isWithinQuota: () => true },
            chooseUpstream: () => hasRoom ? {} : undefined,
            formatGrounds: () => "",
        } as unknown as scheduler.CreateSchedulerOptions);
        const acquire = async (usualMs: number) => {
            const request = {
                service: "desk",
                route: "r",
                rankIndex: 0,
                deadlineAt: time.getNow() + deadlineMs,
                signal: new AbortController().signal,
                getUsualLatencyMs: () => usualMs,
                getAbortError: () => errors.createError("callerGone"),
            };
            const result = await created.acquireSlot(request as unknown as types.SlotRequest);
            return result.isOk() ? "sent" : result.error.kind;
        };
        return {
            time,
            acquire,
            setRoom: (room: boolean) => {
                hasRoom = room;
            },
            dispatch: () => created.dispatch(),
        };
    };

    await t.test("sends a request that has all of its time, however slow the route was", async t => {
        const { acquire } = createQueue();
        t.equal(await acquire(100), "sent");
        t.equal(await acquire(1_600), "sent", "else nothing would ever show that the route is quick again");
        t.equal(await acquire(10_000), "sent");
    });

    await t.test("gives up a request whose time has run down while it waited", async t => {
        for (
            const { usualMs, waitedMs, expected } of [
                { usualMs: 1_000, waitedMs: 800, expected: "sent" },
                { usualMs: 1_000, waitedMs: 1_200, expected: "deadlineBeforeSend" },
                { usualMs: 100, waitedMs: 2_150, expected: "sent" },
                { usualMs: 100, waitedMs: 2_250, expected: "deadlineBeforeSend" },
                { usualMs: 10_000, waitedMs: 1_000, expected: "sent" },
                { usualMs: 10_000, waitedMs: 1_200, expected: "deadlineBeforeSend" },
            ]
        ) {
            const queue = createQueue();
            queue.setRoom(false);
            const result = queue.acquire(usualMs);
            queue.time.addTime(waitedMs);
            queue.setRoom(true);
            queue.dispatch();
            t.equal(await result, expected, `usually ${usualMs} ms, waited ${waitedMs} ms`);
        }
    });
});
