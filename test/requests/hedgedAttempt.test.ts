/**
 * Guards against two responses to one request, a slot or a connection that the other attempt keeps, a hedge that waits or that
 * counts as a failure, and hedges of requests that may be executed only once.
 */

import fc from "fast-check";
import tap from "tap";
import * as promClient from "prom-client";
import type * as attempt from "../../src/requests/attempt.js";
import type * as executorContext from "../../src/requests/executorContext.js";
import * as hedgedAttempt from "../../src/requests/hedgedAttempt.js";
import * as hedging from "../../src/requests/hedging.js";
import * as routeLatencies from "../../src/pool/routeLatencies.js";
import * as virtualTime from "../harness/virtualTime.js";

/** What an upstream does with an attempt, and when after it is sent. */
interface Script {
    readonly afterMs: number;
    readonly result: "answered 200" | "answered 500" | "lost" | "shed" | "unreachable";
}

interface Options {
    readonly first: Script;
    readonly hedge?: Script;
    readonly maximumAttempts?: number;
    readonly repeatable?: boolean;
    readonly maximumShare?: number;
    readonly hasFreeSlot?: boolean;
    readonly retriesLeft?: number;
    readonly utilization?: number;
    readonly deadlineMs?: number;
    /** When the caller disconnects. */
    readonly abortAfterMs?: number;
}

const delayMs = 125;

/** Runs one attempt that may be hedged. */
async function runAttempt(options: Options) {
    const time = new virtualTime.VirtualTime();
    const startedAt = time.now;
    const latencies = new routeLatencies.RouteLatencies();
    for (let index = 0; index < 100; index += 1) {
        latencies.recordAttempt("desk", { route: "r", rankIndex: 0, startedAt: 0, respondedAt: 100 });
    }
    const released: Record<string, string[]> = { w1: [], w2: [] };
    const closedResponses: string[] = [];
    const sentAt: Record<string, number> = {};
    const abortedAt: Record<string, number> = {};
    const createSlot = (id: string) => ({ upstream: { getId: () => id }, attempt: { startedAt: time.now }, queuedMs: 0, release: (outcome: string) => released[id]!.push(outcome) });
    const controller = new AbortController();
    const registry = new promClient.Registry();
    const context = { clock: { getNow: () => time.now }, loop: time, metrics: registry, settings: { hedgeRatio: 0 } };
    const route = { service: "desk", name: "r", repeatable: options.repeatable ?? true, maximumAttempts: options.maximumAttempts ?? 2, hedging: { maximumShare: options.maximumShare ?? 1 } };
    const request = { route, deadlineAt: time.now + (options.deadlineMs ?? 5_000), signal: controller.signal, trail: [] as string[] };
    let retriesLeft = options.retriesLeft ?? 10;
    const scripts: Readonly<Record<string, Script | undefined>> = { w1: options.first, w2: options.hedge };
    const executor = {
        context,
        latencies,
        hedging: new hedging.Hedging(context as never, latencies),
        getDrainError: () => undefined,
        getUtilization: () => options.utilization ?? 0.5,
        getRetryBudget: () => ({
            getRemainingRetries: () => retriesLeft,
            acquireRetry: () => {
                retriesLeft -= 1;
                return retriesLeft >= 0;
            },
        }),
        acquireFreeSlot: (_request: unknown, excluded: ReadonlySet<string>) => options.hasFreeSlot === false || excluded.has("w2") ? undefined : createSlot("w2"),
        sendAttempt: ({ slot, signal, getWaitMs }: attempt.SendAttemptOptions) =>
            new Promise<attempt.AttemptResult>(resolve => {
                const id = slot.upstream.getId();
                let isRunning = true;
                const checkTimeout = () => {
                    const waitMs = isRunning ? getWaitMs(time.now - slot.attempt.startedAt) : "timedOut";
                    if (waitMs !== "timedOut") {
                        time.scheduleOnce(Math.max(1, waitMs), checkTimeout);
                    }
                };
                queueMicrotask(checkTimeout);
                sentAt[id] = time.now - startedAt;
                const response = { statusCode: 200, on: () => {}, destroy: () => closedResponses.push(id) };
                const { afterMs, result } = scripts[id]!;
                const cancel = time.scheduleOnce(afterMs, () => {
                    isRunning = false;
                    if (result === "answered 200" || result === "answered 500") {
                        resolve({ kind: "answered", response: { ...response, statusCode: Number(result.slice(-3)) } as never });
                        return;
                    }
                    resolve({ kind: result, reason: "test" });
                });
                signal.addEventListener("abort", () => {
                    isRunning = false;
                    abortedAt[id] = time.now - startedAt;
                    cancel();
                    resolve({ kind: "cancelled", wasSent: true });
                });
            }),
    };
    const progress = { excludedUpstreamIds: new Set<string>(), attempts: 1, sentAttempts: 0, isContinuation: false };
    const ends: hedgedAttempt.AttemptEnd[] = [];
    let endedAfterMs = NaN;
    void hedgedAttempt.sendAttempt(executor as unknown as executorContext.ExecutorContext, {
        attempt: { slot: createSlot("w1"), request, signal: controller.signal } as never,
        progress,
        getWaitMs: () => 1_000,
    }).then(end => {
        ends.push(end);
        endedAfterMs = time.now - startedAt;
    });
    if (options.abortAfterMs !== undefined) {
        time.scheduleOnce(options.abortAfterMs, () => controller.abort());
    }
    for (let step = 0; step < 400; step += 1) {
        time.addTime(5);
        await new Promise(resolve => setImmediate(resolve));
    }
    const [end] = ends;
    return {
        ends: ends.length,
        by: end?.slot.upstream.getId(),
        result: end?.result.kind === "answered" ? `answered ${end.result.response.statusCode}` : end?.result.kind,
        afterMs: endedAfterMs,
        hedgeSentAt: sentAt.w2,
        released,
        abortedAt,
        closedResponses,
        progress: { attempts: progress.attempts, sentAttempts: progress.sentAttempts, excluded: [...progress.excludedUpstreamIds] },
        trail: request.trail,
        metrics: await registry.getMetricsAsJSON(),
        retriesLeft,
    };
}

const readMetric = (metrics: readonly { readonly name: string; readonly values?: readonly { readonly value: number; readonly labels: object; }[]; }[], name: string) => metrics.find(metric => metric.name === name)?.values ?? [];

void tap.test("a hedge", async t => {
    const fast: Script = { afterMs: 50, result: "answered 200" };
    const slow: Script = { afterMs: 700, result: "answered 200" };
    await t.test("is not sent if the first attempt is answered in its usual time", async t => {
        const run = await runAttempt({ first: fast, hedge: fast });
        t.match(run, { ends: 1, by: "w1", result: "answered 200", hedgeSentAt: undefined, progress: { attempts: 1, sentAttempts: 0 }, trail: [], retriesLeft: 10 });
    });
    await t.test("is answered first", async t => {
        const run = await runAttempt({ first: slow, hedge: fast });
        t.match(run, { ends: 1, by: "w2", result: "answered 200", progress: { attempts: 2, sentAttempts: 1, excluded: ["w1"] }, trail: ["[hedge to w2: won]"], retriesLeft: 9 });
        t.ok(run.hedgeSentAt! >= 100 && run.hedgeSentAt! <= delayMs + 5, `sent after the route's 95 % latency, ${run.hedgeSentAt} ms`);
        t.equal(run.abortedAt.w1, run.afterMs, "the first attempt is closed at once");
        t.strictSame(run.released, { w1: ["superseded"], w2: [] }, "its slot is released and does not count as failed; the other one is still held");
        t.match(readMetric(run.metrics, "agatebend_hedges_ended_total"), [{ value: 1, labels: { result: "won" } }]);
    });
    await t.test("is answered after the first attempt", async t => {
        const run = await runAttempt({ first: { afterMs: 200, result: "answered 200" }, hedge: slow });
        t.match(run, { ends: 1, by: "w1", result: "answered 200", released: { w1: [], w2: ["superseded"] }, progress: { attempts: 2, sentAttempts: 1, excluded: ["w2"] }, trail: ["[hedge to w2: lost]"] });
        t.equal(run.abortedAt.w2, run.afterMs);
    });
    await t.test("replaces a first attempt that fails", async t => {
        t.match(await runAttempt({ first: { afterMs: 200, result: "lost" }, hedge: { afterMs: 300, result: "answered 200" } }), { by: "w2", result: "answered 200", released: { w1: ["failed"] }, progress: { sentAttempts: 1 } });
        t.match(await runAttempt({ first: { afterMs: 200, result: "shed" }, hedge: { afterMs: 300, result: "answered 200" } }), { by: "w2", result: "answered 200", released: { w1: ["shed"] }, progress: { sentAttempts: 0 } });
        const run = await runAttempt({ first: { afterMs: 200, result: "answered 500" }, hedge: { afterMs: 300, result: "answered 200" } });
        t.match(run, { by: "w2", result: "answered 200", closedResponses: ["w1"], released: { w1: ["failed"] } });
    });
    await t.test("fails while the first attempt goes on", async t => {
        t.match(await runAttempt({ first: slow, hedge: { afterMs: 20, result: "answered 500" } }), {
            by: "w1",
            result: "answered 200",
            closedResponses: ["w2"],
            released: { w2: ["failed"] },
            progress: { sentAttempts: 1, excluded: ["w2"] },
        });
        t.match(await runAttempt({ first: slow, hedge: { afterMs: 20, result: "unreachable" } }), { by: "w1", result: "answered 200", released: { w2: ["unreachable"] }, progress: { sentAttempts: 0 } });
    });
    await t.test("leaves a request as not executed if neither attempt was", async t => {
        t.match(await runAttempt({ first: { afterMs: 200, result: "shed" }, hedge: { afterMs: 300, result: "shed" } }), { by: "w2", result: "shed", progress: { sentAttempts: 0 } });
    });
    await t.test("ends with the caller", async t => {
        t.match(await runAttempt({ first: slow, hedge: slow, abortAfterMs: 300 }), { ends: 1, result: "cancelled", abortedAt: { w1: 300, w2: 300 }, progress: { sentAttempts: 1 } });
    });
    await t.test("is not sent", async t => {
        const doTest = async (name: string, options: Partial<Options>, reason: string | undefined) => {
            const run = await runAttempt({ first: slow, hedge: fast, ...options });
            t.match(run, { ends: 1, by: "w1", hedgeSentAt: undefined, released: { w1: [], w2: [] }, progress: { attempts: 1, sentAttempts: 0 }, trail: reason === undefined ? [] : [`[hedge not sent: ${reason}]`] }, name);
            t.match(readMetric(run.metrics, "agatebend_hedges_denied_total"), reason === undefined ? [] : [{ value: 1, labels: { service: "desk", reason } }], name);
            t.equal(run.retriesLeft, options.retriesLeft ?? 10, `${name}: nothing is charged`);
        };
        await doTest("a request that may be executed only once", { repeatable: false }, undefined);
        await doTest("a route without hedging", { maximumShare: 0 }, undefined);
        await doTest("one attempt is allowed", { maximumAttempts: 1 }, "attempts");
        await doTest("no slot is free", { hasFreeSlot: false }, "noSlot");
        await doTest("most slots are in use", { utilization: 0.99 }, "busy");
        await doTest("the budget is used up", { retriesLeft: 0 }, "budget");
        await doTest("the share is used up", { maximumShare: 0.3 }, "share");
        await doTest("the deadline is near", { deadlineMs: 150 }, "deadline");
    });
});

void tap.test("whatever two attempts do, one result is used and every other slot is released once", async t => {
    const script = fc.record({ afterMs: fc.integer({ min: 0, max: 150 }).map(steps => steps * 5), result: fc.constantFrom("answered 200", "answered 500", "lost", "shed", "unreachable") }) as fc.Arbitrary<Script>;
    await fc.assert(
        fc.asyncProperty(fc.record({ first: script, hedge: script, abortAfterMs: fc.option(fc.integer({ min: 0, max: 100 }).map(steps => steps * 5), { nil: undefined }) }), async options => {
            const { ends, by, released, hedgeSentAt } = await runAttempt(options);
            const isOtherReleased = hedgeSentAt === undefined ? released.w2!.length === 0 : released[by === "w1" ? "w2" : "w1"]!.length === 1;
            return ends === 1 && released[by!]!.length === 0 && isOtherReleased;
        }),
        { numRuns: 100, seed: 20_261_207 },
    );
    t.pass();
});
