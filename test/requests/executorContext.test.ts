/**
 * Guards against charging the retry budget for requests that never reached an upstream. With an empty budget, such a
 * request would fail although it can be sent again without extra load.
 */

import type * as http from "node:http";
import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as executorContext from "../../src/requests/executorContext.js";
import type * as types from "../../src/requests/types.js";

void tap.test("retrying an attempt that did not run, with an empty retry budget", async t => {
    const doTest = async (kind: "shed" | "unreachable", remainingMs: number) => {
        const time = clock.createVirtualClock();
        const executor = new executorContext.ExecutorContext({
            context: {
                clock: time,
                metrics: new promClient.Registry(),
                settings: { retryRatio: 0, retrySlack: 0, retryWindowS: 10 },
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
        const request = { route: { service: "desk", name: "r" }, deadlineAt: remainingMs, signal: new AbortController().signal };
        return executor.waitForRetry(request as unknown as types.RoutedRequest, kind);
    };
    t.equal(await doTest("shed", 1_000), false, "a shed request needs a retry from the budget, because it reached the upstream");
    t.equal(await doTest("unreachable", 1_000), true, "an unreachable upstream never received the request, so no retry is needed from the budget");
    t.equal(await doTest("unreachable", 100), false, "an unreachable upstream, with too little time left before the deadline");
});
