/**
 * Guards against downloads that no time limit ends. Once a part of a body had been passed on, only a pause ended it, so that an
 * upstream that fell silent or went on without end kept its caller waiting past the route's time-out.
 */

import * as http from "node:http";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const timeoutMs = 1_500;
/** The time after a limit in which the request must have ended. */
const toleranceMs = 500;
/** More than an instance holds back, and more than the buffers of a connection. */
const bodyBytes = 24 * 1024 * 1024;

interface Download {
    readonly status: number | undefined;
    readonly isComplete: boolean;
    readonly durationMs: number;
}

/** Downloads a body, reading nothing of it for `pauseMs`. */
function readDownload(address: string, requestId: string, deadlineMs: number, pauseMs = 0): Promise<Download> {
    return new Promise(resolve => {
        const startedAt = performance.now();
        const headers = { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs };
        const sent = http.request(`http://${address}/file/1`, { headers, agent: false }, response => {
            response.on("error", () => {});
            response.on("close", () => resolve({ status: response.statusCode, isComplete: response.complete, durationMs: performance.now() - startedAt }));
            setTimeout(() => response.resume(), pauseMs);
        });
        sent.on("error", () => resolve({ status: undefined, isComplete: false, durationMs: performance.now() - startedAt }));
        sent.end();
    });
}

void tap.test("a download whose time is over is broken off", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "file", prefix: "/file/", kind: "download", service: "desk", timeoutMs }]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    const worker = testPlatform.workers[0]!;
    const doTest = (name: string, spoiled: string, deadlineMs: number, reason: string) =>
        t.test(name, async t => {
            await worker.setBehaviour({ spoiled, spoilPart: 1, slots: 20, bodyBytes });
            const result = await readDownload(instance.addresses.caller, name, deadlineMs);
            t.match(result, { status: 200, isComplete: false });
            const limitMs = Math.min(deadlineMs, timeoutMs);
            t.ok(result.durationMs > limitMs - toleranceMs && result.durationMs < limitMs + toleranceMs, `ended after ${Math.round(result.durationMs)} ms, the limit is ${limitMs}`);
            const line = await processes.waitFor("the cut is logged", () => instance.listLogs("answer-cut").find(({ context }) => context.requestId === name));
            t.match(line, { message: new RegExp(reason), context: { body: "deadline" } });
        });
    await doTest("silent after a part, route's time-out", "stall", 10_000, "route's time-out");
    await doTest("without end, route's time-out", "endlessBody", 10_000, "route's time-out");
    await doTest("in chunks without end, caller's deadline", "endlessChunks", 1_000, "the deadline passed");

    await t.test("a caller that does not read is cut while the upstream has more", async t => {
        await worker.setBehaviour({ spoiled: "none", spoilPart: 0 });
        const result = await readDownload(instance.addresses.caller, "slow-caller", 10_000, timeoutMs + toleranceMs);
        t.match(result, { status: 200, isComplete: false });
        const line = await processes.waitFor("the cut is logged", () => instance.listLogs("answer-cut").find(({ context }) => context.requestId === "slow-caller"));
        t.ok(Number(line.context.latencyMs) < timeoutMs + toleranceMs, `ended after ${String(line.context.latencyMs)} ms`);
    });

    await t.test("a whole download is served", async t => {
        t.match(await readDownload(instance.addresses.caller, "whole", 10_000), { status: 200, isComplete: true });
    });
});
