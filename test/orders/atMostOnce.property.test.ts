/** Interleavings of the ledger and the attempts: never two runs of a key, and no run of one reported `not-executed`. */

import { Readable } from "node:stream";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";
import * as loop from "../../src/kernel/loop.js";
import * as orderLedger from "../../src/orders/orderLedger.js";
import type * as executorContext from "../../src/requests/executorContext.js";
import * as runAtMostOnce from "../../src/requests/runAtMostOnce.js";
import type * as types from "../../src/requests/types.js";

/** What an attempt does, and whether the upstream runs the order. */
const attemptKinds = ["shed", "unreachable", "lostUnrun", "lostRun", "answered", "serverError", "cutAnswer", "timedOutRun"] as const;
type AttemptKind = (typeof attemptKinds)[number];

const ranKinds: ReadonlySet<AttemptKind> = new Set(["lostRun", "answered", "cutAnswer", "timedOutRun", "serverError"]);
const deadlineMs = 1_000;

function createResponse(status: number, isWhole: boolean) {
    const stream = Readable.from(isWhole ? [Buffer.from("done")] : []);
    return Object.assign(stream, { statusCode: status, headers: { "content-length": "4" }, rawHeaders: ["Content-Length", "4"], complete: isWhole });
}

function createResult(kind: AttemptKind) {
    const results = {
        shed: () => ({ kind: "shed" }),
        unreachable: () => ({ kind: "unreachable", reason: "refused" }),
        lostUnrun: () => ({ kind: "lost", reason: "reset" }),
        lostRun: () => ({ kind: "lost", reason: "reset" }),
        answered: () => ({ kind: "answered", response: createResponse(200, true) }),
        serverError: () => ({ kind: "answered", response: createResponse(500, true) }),
        cutAnswer: () => ({ kind: "answered", response: createResponse(200, false) }),
        timedOutRun: () => ({ kind: "timedOut" }),
    };
    return results[kind]();
}

void tap.test("a key runs at most once and its word is kept", async t => {
    const arrival = fc.record({ key: fc.constantFrom("a", "b"), fingerprint: fc.constantFrom("x", "x", "x", "y") });
    await fc.assert(
        fc.asyncProperty(fc.scheduler(), fc.array(fc.constantFrom(...attemptKinds), { minLength: 1, maxLength: 8 }), fc.array(arrival, { minLength: 1, maxLength: 8 }), fc.nat(4), async (scheduler, script, arrivals, slotsUntilDeadline) => {
            const time = clock.createVirtualClock();
            const timers = new loop.Loop({ clock: time, getLogger: () => undefined as never });
            const held = new orderLedger.OrderLedger({ maximumKeys: 10, maximumBytes: 100, maximumAnswerBytes: 100 });
            const runs = new Map<string, number>();
            const told = new Map<string, errors.Outcome[]>();
            let next = 0;
            let slots = 0;
            const runKey = (key: string) =>
                runAtMostOnce.runAtMostOnce({
                    context: { clock: time, loop: timers, settings: { bodyIdleTimeoutMs: 1_000, requestBodyBytes: 100 } },
                    leavingUpstreams: { addMark: () => {} },
                    getRetryBudget: () => ({ recordRequest: () => {} }),
                    waitForRetry: async () => true,
                    getServiceDefinition: () => ({}),
                    acquireSlot: async () => {
                        await scheduler.schedule(Promise.resolve());
                        slots += 1;
                        if (slots > slotsUntilDeadline + script.length) {
                            return err(errors.createError("deadlineBeforeSend"));
                        }
                        return ok({ upstream: { getId: () => String(slots) }, release: () => {} });
                    },
                    sendAttempt: async () => {
                        const kind = script[next % script.length]!;
                        next += 1;
                        if (ranKinds.has(kind)) {
                            runs.set(key, (runs.get(key) ?? 0) + 1);
                        }
                        await scheduler.schedule(Promise.resolve());
                        return createResult(kind) as never;
                    },
                } as unknown as executorContext.ExecutorContext, { route: { service: "s", maximumAttempts: 10 }, deadlineAt: deadlineMs } as unknown as types.RoutedRequest);
            const sendOrder = async ({ key, fingerprint }: { key: string; fingerprint: string; }) => {
                await scheduler.schedule(Promise.resolve());
                const beginning = held.admitKey(key, fingerprint, deadlineMs * 2, time.getNow());
                if (beginning.kind === "run") {
                    const outcome = await runKey(key);
                    held.recordResult(key, outcome);
                    return { key, outcome };
                }
                const outcome: orderLedger.OrderResult = beginning.kind === "refuse" ? { kind: "error", error: beginning.error, attempts: 0 } : await beginning.result;
                return { key, outcome };
            };
            const pending = Promise.all(arrivals.map(sendOrder));
            await scheduler.waitFor(pending);
            for (const { key, outcome } of await pending) {
                const word = outcome.kind === "answer" ? outcome.outcome : errors.getAnswer(outcome.error).outcome;
                told.set(key, [...told.get(key) ?? [], word]);
            }
            timers.stop();
            for (const [key, words] of told) {
                const count = runs.get(key) ?? 0;
                if (count > 1 || (count > 0 && words.includes("not-executed")) || (count === 0 && words.includes("executed"))) {
                    throw new Error(`${key} ran ${count} times and was reported ${words.join(", ")}`);
                }
            }
        }),
        { numRuns: 3_000, seed: 20_261_204 },
    );
    t.pass("3,000 interleavings");
});
