/**
 * Guards against charging the retry budget for requests that never reached an upstream. With an empty budget, such a
 * request would fail although it can be sent again without extra load.
 */

import type * as http from "node:http";
import { ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as executorContext from "../../src/requests/executorContext.js";
import type * as types from "../../src/requests/types.js";

void tap.test("retrying an attempt that did not run", async t => {
    const doTest = async (kind: "shed" | "unreachable", remainingMs: number, { retrySlack = 0, attemptMs = 0 } = {}) => {
        const time = clock.createVirtualClock();
        const executor = new executorContext.ExecutorContext({
            context: {
                clock: time,
                identity: { failureDomain: "north" },
                metrics: new promClient.Registry(),
                settings: { retryRatio: 0, retrySlack, retryWindowS: 10 },
                loop: {
                    scheduleOnce: (delayMs: number, task: () => void) => {
                        time.addTime(delayMs);
                        setImmediate(task);
                        return () => {};
                    },
                },
            },
            pool: { latencies: { getQuantile: () => 100 } },
            agent: {} as http.Agent,
            countInstances: () => 1,
        } as unknown as executorContext.CreateExecutorContextOptions);
        // The slack is granted in full only after the first window.
        executor.getRetryBudget("desk");
        time.addTime(10_000);
        const request = { route: { service: "desk", name: "r" }, deadlineAt: time.getNow() + remainingMs, signal: new AbortController().signal };
        return executor.waitForRetry(request as unknown as types.RoutedRequest, kind, attemptMs);
    };
    t.equal(await doTest("shed", 1_000), false, "a shed request needs a retry from the budget, because it reached the upstream");
    t.equal(await doTest("unreachable", 1_000), true, "an unreachable upstream never received the request, so no retry is needed from the budget");
    t.equal(await doTest("unreachable", 100), false, "an unreachable upstream, with too little time left before the deadline");
    t.equal(await doTest("shed", 1_000, { retrySlack: 5 }), true, "the budget has a retry");
    t.equal(await doTest("shed", 100, { retrySlack: 5 }), false, "the budget has a retry, but the deadline comes before the response");
    t.equal(await doTest("shed", 300, { retrySlack: 5, attemptMs: 300 }), false, "the upstreams take longer to reject than the time left");
});

void tap.test("a request that waited for a slot at a stopping instance", async t => {
    const doTest = async (remainingMs: number, { mayHaveRun = false, usualLatencyMs = 100 } = {}) => {
        const time = clock.createVirtualClock();
        const released: string[] = [];
        const executor = new executorContext.ExecutorContext({
            context: { clock: time, identity: { failureDomain: "north" }, metrics: new promClient.Registry(), settings: { retryRatio: 0, retrySlack: 0, retryWindowS: 10 } },
            pool: { latencies: { getQuantile: () => usualLatencyMs }, getServicePool: () => undefined },
            admission: {
                acquireSlot: () => {
                    time.addTime(1_000);
                    return Promise.resolve(ok({ release: (outcome: string) => released.push(outcome) }));
                },
            },
            agent: {} as http.Agent,
            countInstances: () => 1,
        } as unknown as executorContext.CreateExecutorContextOptions);
        const endsAt = time.getNow() + 1_000 + remainingMs;
        executor.setShutdownTimes({ endsAt, estimatesEndAt: endsAt });
        const request = { route: { service: "desk", name: "r" }, deadlineAt: endsAt + 1_000, body: Buffer.alloc(0), progress: { setWait: () => {} } };
        const slot = await executor.acquireSlot(request as unknown as types.RoutedRequest, new Set(), { isRetry: false, canRetry: false, mayHaveRun });
        return slot.match(() => "sent", error => `${error.kind}, slot ${released.join()}`);
    };
    t.equal(await doTest(200), "sent", "enough time is left");
    t.equal(await doTest(199), "draining, slot cancelled", "too little time is left, so it is refused as not executed and its slot is released");
    t.equal(await doTest(199, { mayHaveRun: true }), "sent", "an earlier attempt may have run it, so another upstream may still answer it");
});
