/**
 * Guards against a workspace that takes the slots or the queue of others, against requests that wait although they cannot
 * be in time, and against a changed order where no workspaces are configured.
 */

import tap from "tap";
import * as scheduler from "../../src/admission/scheduler.js";
import type * as types from "../../src/admission/types.js";
import * as errors from "../../src/kernel/errors.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as virtualTime from "../harness/virtualTime.js";

const deadlineMs = 4_000;
const targetLatencyMs = 1_000;
const medianMs = 200;

interface RequestOptions {
    readonly remainingMs?: number;
    readonly isRetry?: boolean;
    readonly mayHaveRun?: boolean;
    readonly signal?: AbortSignal;
}

function createQueue(
    { slots, queueLength = 100, hasFairShares = true, isShedding = false, queueing = "shares" }: {
        readonly slots: number;
        readonly queueLength?: number;
        readonly hasFairShares?: boolean;
        readonly isShedding?: boolean;
        readonly queueing?: "shares" | "fifo";
    },
) {
    const time = new virtualTime.VirtualTime();
    const held: (() => void)[] = [];
    const ends: string[] = [];
    let lastRetryAfterMs: number | undefined;
    const subject = new scheduler.Scheduler({
        context: { settings: { queueLength, queueing }, clock: { getNow: () => time.now }, loop: time, randomness: randomness.createSeededRandomness(1) },
        pool: { getServicePool: () => ({ upstreams: [] }), startAttempt: () => ({}), finishAttempt: () => subject.dispatch() },
        service: "desk",
        ranks: [{ name: "usual", guaranteedShare: 1 }],
        slotAllocator: { isWithinAllocation: (_service: string, _rank: number, inFlight: number) => inFlight < slots },
        chooseUpstream: () => ({}),
        formatUpstreamSummary: () => "",
        hasFairShares: () => hasFairShares,
        isShedding: () => isShedding,
    } as unknown as scheduler.CreateSchedulerOptions);
    const send = (name: string, { remainingMs = deadlineMs, isRetry = false, mayHaveRun = false, signal = new AbortController().signal }: RequestOptions = {}) => {
        const request: Partial<types.SlotRequest> = {
            workspace: name.slice(0, -1),
            rankIndex: 0,
            deadlineAt: time.now + remainingMs,
            targetLatencyMs,
            isRetry,
            mayHaveRun,
            signal,
            getMedianLatencyMs: () => medianMs,
            getAbortError: () => errors.createError("callerGone"),
        };
        const sentAt = time.now;
        return subject.acquireSlot(request as types.SlotRequest).then(result => {
            if (result.isOk()) {
                held.push(() => result.value.release("answered"));
            }
            lastRetryAfterMs = result.isOk() ? undefined : result.error.retryAfterMs;
            ends.push(result.isOk() ? name : `${name} ${result.error.kind} after ${time.now - sentAt} ms`);
        });
    };
    /** Ends the requests that hold a slot one after another, 200 ms each, up to a number of them. */
    const finishRequests = async (maximum = Infinity) => {
        for (let count = 0; count < maximum && held.length > 0; count += 1) {
            time.addTime(medianMs);
            held.shift()!();
            await new Promise(setImmediate);
        }
    };
    return { time, send, finishRequests, ends, getLastRetryAfterMs: () => lastRetryAfterMs };
}

const names = ["a1", "a2", "a3", "a4", "b1", "a5", "b2", "c1", "a6"];

void tap.test("the order of requests", async t => {
    const doTest = async (name: string, options: Parameters<typeof createQueue>[0], expected: readonly string[]) => {
        const { send, finishRequests, ends } = createQueue(options);
        names.forEach(request => void send(request));
        await new Promise(setImmediate);
        await finishRequests();
        t.strictSame(ends, expected, name);
    };
    await doTest("with workspaces", { slots: 1 }, ["a1", "b1", "c1", "a2", "b2", "a3", "a4", "a5", "a6"]);
    await doTest("without workspaces it is that of arrival", { slots: 1, hasFairShares: false }, names);
    await doTest("the setting fifo keeps the order of arrival", { slots: 1, queueing: "fifo" }, names);
});

void tap.test("a retry goes before the other requests of its workspace only", async t => {
    const { send, finishRequests, ends } = createQueue({ slots: 1 });
    ["a1", "a2", "a3", "b1"].forEach(request => void send(request));
    void send("a4", { isRetry: true });
    await new Promise(setImmediate);
    await finishRequests();
    t.strictSame(ends, ["a1", "b1", "a4", "a2", "a3"]);
});

void tap.test("a full queue", async t => {
    const doTest = async (name: string, options: Partial<Parameters<typeof createQueue>[0]>, requests: readonly (readonly [string, RequestOptions?])[], expected: string) => {
        const { send, ends } = createQueue({ slots: 0, queueLength: 4, ...options });
        requests.forEach(([request, requestOptions]) => void send(request, requestOptions));
        await new Promise(setImmediate);
        t.strictSame(ends, [`${expected} overloaded after 0 ms`], name);
    };
    await doTest("the workspace that holds most loses a request to one that arrives", {}, [["a1"], ["a2"], ["a3"], ["b1"], ["b2"]], "a3");
    await doTest("a request of the workspace that holds most is refused", {}, [["a1"], ["a2"], ["a3"], ["b1"], ["a4"]], "a4");
    await doTest("of those, the one with the least time is refused", {}, [["a1"], ["a2", { remainingMs: 1_000 }], ["a3"], ["b1"], ["a4"]], "a2");
    await doTest("one that an upstream may have run stays", {}, [["a1"], ["a2", { remainingMs: 1_000, isRetry: true, mayHaveRun: true }], ["a3"], ["b1"], ["a4"]], "a4");
    await doTest("without workspaces, the one that arrives is refused", { hasFairShares: false }, [["a1"], ["a2", { remainingMs: 1_000 }], ["a3"], ["b1"], ["b2"]], "b2");
});

void tap.test("a request that cannot be in time is refused before its turn", async t => {
    const { time, send, ends } = createQueue({ slots: 0 });
    void send("a1");
    void send("a2", { remainingMs: 1_000 });
    void send("a3", { isRetry: true });
    const advanceTo = async (at: number) => {
        time.addTime(at - time.now);
        await new Promise(setImmediate);
    };
    const startedAt = time.now;
    await advanceTo(startedAt + 699);
    t.strictSame(ends, []);
    await advanceTo(startedAt + 702);
    t.strictSame(ends, ["a2 deadlineBeforeSend after 702 ms"], "1.5 times the median no longer fits");
    await advanceTo(startedAt + targetLatencyMs + 2);
    t.equal(ends.at(-1), "a3 overloaded after 1002 ms", "a retry waits for its target latency at most");
    t.equal(ends.length, 2);
});

void tap.test("while the service sheds, a retry that no upstream has run is refused soon", async t => {
    const doTest = async (isShedding: boolean, options: RequestOptions, expected: readonly string[]) => {
        const { time, send, ends } = createQueue({ slots: 0, isShedding });
        void send("a1", options);
        time.addTime(targetLatencyMs / 8 + 2);
        await new Promise(setImmediate);
        t.strictSame(ends, expected);
    };
    await doTest(true, { isRetry: true }, ["a1 overloaded after 127 ms"]);
    await doTest(true, { isRetry: true, mayHaveRun: true }, []);
    await doTest(true, {}, []);
    await doTest(false, { isRetry: true }, []);
});

void tap.test("a request whose turn is expected too late is refused on arrival, those of other workspaces are not", async t => {
    const doTest = async (hasFairShares: boolean, name: string, expected: readonly string[]) => {
        const { send, ends, finishRequests, getLastRetryAfterMs } = createQueue({ slots: 1, hasFairShares });
        Array.from({ length: 40 }, () => void send("a1"));
        await new Promise(setImmediate);
        await finishRequests(6);
        const before = ends.length;
        void send(name);
        await new Promise(setImmediate);
        t.strictSame(ends.slice(before), expected, `${name}, ${hasFairShares ? "with" : "without"} workspaces`);
        const retryAfterMs = getLastRetryAfterMs();
        t.ok(expected.length === 0 || (retryAfterMs! > medianMs && retryAfterMs! < 2 * deadlineMs), `the refusal says when there will be room: ${retryAfterMs} ms`);
    };
    await doTest(true, "a2", ["a2 deadlineBeforeSend after 0 ms"]);
    await doTest(true, "b1", []);
    await doTest(false, "a2", []);
});
