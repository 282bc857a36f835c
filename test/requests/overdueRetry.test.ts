/**
 * Guards against a read that waits for its deadline at an upstream that has crashed without closing its connections. The
 * retry budget was asked once, when the attempt became overdue; with no retry left at that moment, it was never asked again.
 */

import { ok } from "neverthrow";
import type * as http from "node:http";
import tap from "tap";
import type * as attempt from "../../src/requests/attempt.js";
import type * as executorContext from "../../src/requests/executorContext.js";
import * as runWithRetries from "../../src/requests/runWithRetries.js";
import type * as types from "../../src/requests/types.js";

const medianMs = 300;
const deadlineMs = 6_000;

/** Runs a read whose first upstream never answers, and returns when that attempt was given up. */
async function runRead(retryFreeAt: number, maximumAttempts: number): Promise<number> {
    let now = 0;
    let attempts = 0;
    let givenUpAt = Infinity;
    const executor = {
        context: { clock: { getNow: () => now } },
        latencies: { getQuantile: () => medianMs },
        hedging: { getMaximumShare: () => 0 },
        getServiceDefinition: () => ({ minimumStallMs: 250 }),
        getRetryBudget: () => ({ recordRequest: () => {}, getRemainingRetries: () => now >= retryFreeAt ? 1 : 0, acquireRetry: () => now >= retryFreeAt }),
        acquireSlot: () => Promise.resolve(ok({ upstream: { getId: () => `u${attempts}`, routability: { kind: "routable" } }, attempt: { startedAt: now }, release: () => {} })),
        sendAttempt: ({ getWaitMs }: Pick<attempt.SendAttemptOptions, "getWaitMs">): Promise<attempt.AttemptResult> => {
            attempts += 1;
            if (attempts > 1) {
                return Promise.resolve({ kind: "lost", reason: "the second upstream crashed as well" });
            }
            for (let waitMs = getWaitMs(now); waitMs !== "timedOut"; waitMs = getWaitMs(now)) {
                now += waitMs;
            }
            givenUpAt = now;
            return Promise.resolve({ kind: "timedOut" });
        },
    } as unknown as executorContext.ExecutorContext;
    const request = { route: { service: "desk", name: "read", maximumAttempts }, deadlineAt: deadlineMs, signal: new AbortController().signal, trail: [] } as unknown as types.RoutedRequest;
    await runWithRetries.runWithRetries(executor, request, {} as http.ServerResponse);
    return givenUpAt;
}

void tap.test("an overdue read is sent again as soon as the budget allows it", async t => {
    t.equal(await runRead(0, 2), 6 * medianMs, "when it becomes overdue");
    t.equal(await runRead(2_250, 2), 2_300, "or when the budget has a retry");
    t.equal(await runRead(Infinity, 2), deadlineMs, "at its deadline, if it never has one");
    t.equal(await runRead(0, 1), deadlineMs, "at its deadline, if it may be sent only once");
});
