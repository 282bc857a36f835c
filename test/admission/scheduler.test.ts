/**
 * A queued request is rejected once too little time is left before its deadline, judged by the route's median latency.
 * A request with at least half of its time left is sent even on a slow route. Otherwise the route's latency would never be
 * measured again.
 */

import tap from "tap";
import * as scheduler from "../../src/admission/scheduler.js";
import type * as types from "../../src/admission/types.js";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";

const deadlineMs = 2_345;

void tap.test("scheduler queue", async t => {
    const createQueue = ({ pauseMs = 0 } = {}) => {
        const time = clock.createVirtualClock();
        let hasFreeUpstream = true;
        let scheduledTasks: (() => void)[] = [];
        const subject = new scheduler.Scheduler({
            context: {
                settings: { queueLength: 10, queueing: "fifo" },
                clock: time,
                loop: {
                    scheduleOnce: (_delayMs: number, task: () => void) => {
                        time.addTime(pauseMs);
                        scheduledTasks.push(task);
                        return () => {
                            scheduledTasks = scheduledTasks.filter(scheduled => scheduled !== task);
                        };
                    },
                },
            },
            pool: { getServicePool: () => ({ upstreams: [] }), startAttempt: () => ({}), finishAttempt: () => {} },
            service: "desk",
            ranks: [{ name: "urgent", guaranteedShare: 1 }],
            slotAllocator: { isWithinAllocation: () => true },
            chooseUpstream: () => hasFreeUpstream ? {} : undefined,
            formatUpstreamSummary: () => "",
        } as unknown as scheduler.CreateSchedulerOptions);
        const acquireSlot = (medianMs: number) => {
            const request = {
                service: "desk",
                route: "r",
                rankIndex: 0,
                deadlineAt: time.getNow() + deadlineMs,
                signal: new AbortController().signal,
                getMedianLatencyMs: () => medianMs,
                getAbortError: () => errors.createError("callerGone"),
            };
            return subject.acquireSlot(request as unknown as types.SlotRequest);
        };
        const acquire = async (medianMs: number) => {
            const result = await acquireSlot(medianMs);
            return result.isOk() ? "sent" : result.error.kind;
        };
        return {
            time,
            acquireSlot,
            acquire,
            setFreeUpstream: (isFree: boolean) => {
                hasFreeUpstream = isFree;
            },
            dispatch: () => subject.dispatch(),
        };
    };

    await t.test("sends a request with its full time left, however slow the route was", async t => {
        const { acquire } = createQueue();
        t.equal(await acquire(100), "sent");
        t.equal(await acquire(1_600), "sent", "new latency samples come only from sent requests");
        t.equal(await acquire(10_000), "sent");
    });

    await t.test("rejects a request with too little time left after waiting in the queue", async t => {
        for (
            const { medianMs, queuedMs, expected } of [
                { medianMs: 1_000, queuedMs: 800, expected: "sent" },
                { medianMs: 1_000, queuedMs: 1_200, expected: "deadlineBeforeSend" },
                { medianMs: 100, queuedMs: 2_150, expected: "sent" },
                { medianMs: 100, queuedMs: 2_250, expected: "deadlineBeforeSend" },
                { medianMs: 10_000, queuedMs: 1_000, expected: "sent" },
                { medianMs: 10_000, queuedMs: 1_200, expected: "deadlineBeforeSend" },
            ]
        ) {
            const queue = createQueue();
            queue.setFreeUpstream(false);
            const result = queue.acquire(medianMs);
            queue.time.addTime(queuedMs);
            queue.setFreeUpstream(true);
            queue.dispatch();
            t.equal(await result, expected, `median latency ${medianMs} ms, queued for ${queuedMs} ms`);
        }
    });

    // Guards against a pause of the process that is taken for a lack of slots: no hedge was sent for a second after it.
    await t.test("a request that gets a free slot at once has not waited, even if the process was paused", async t => {
        const { acquireSlot } = createQueue({ pauseMs: 9 });
        t.equal((await acquireSlot(100))._unsafeUnwrap().queuedMs, 0);
    });

    await t.test("a request that waits for a slot has waited for all that time", async t => {
        const queue = createQueue({ pauseMs: 9 });
        queue.setFreeUpstream(false);
        const result = queue.acquireSlot(100);
        queue.time.addTime(50);
        queue.setFreeUpstream(true);
        queue.dispatch();
        // The pauses are those while its rejection and the next dispatch were scheduled.
        t.equal((await result)._unsafeUnwrap().queuedMs, 9 + 9 + 50);
    });
});
