/**
 * Guards against bodies that cost far more memory than they have bytes, such as chunks of one byte with and without extensions.
 * The instance kept each piece as an object, ran out of memory, and ended with the requests of all callers.
 */

import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const deadlineMs = 3_000;
const requestCount = 8;
/** How long after its deadline a caller still waits. */
const patienceMs = 1_000;
/** The time after the deadline in which the instance closes connections that nobody needs. */
const closeLimitMs = 2_000;
/** The smallest machines of the users' deployments have 474 MB for a process. */
const memoryLimitBytes = 250 * 1024 * 1024;

/** Returns the largest resident memory that a process has had, in bytes. */
function getPeakMemory(testProcess: processes.TestProcess): number {
    const status = fs.readFileSync(`/proc/${testProcess.getProcessId()}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
}

/** Sends a request and stops reading at a time limit. */
function sendForAWhile(address: string, path: string, orderKey: string | undefined): Promise<number | undefined> {
    return new Promise(resolve => {
        const headers = { host: platform.host, "request-id": `pieces-${Math.random()}`, "deadline-ms": deadlineMs, ...(orderKey === undefined ? {} : { "x-agatebend-order-key": orderKey }) };
        const method = path.startsWith("/order") ? "POST" : "GET";
        const sent = http.request(`http://${address}${path}`, { method, headers, agent: false }, response => {
            response.on("error", () => {});
            response.on("close", () => resolve(response.statusCode));
            response.resume();
        });
        sent.on("error", () => resolve(undefined));
        setTimeout(() => sent.destroy(), deadlineMs + patienceMs);
        sent.end();
    });
}

void tap.test("an upstream that sends pieces of one byte without end", async t => {
    const doTest = (spoiled: string, path: string, hasKey = false) =>
        t.test(`${spoiled} ${path}${hasKey ? " with an order key" : ""}`, async t => {
            const testPlatform = await platform.startPlatform(1);
            t.teardown(() => testPlatform.stop());
            const instance = await testPlatform.startInstance("north", { "request-body-bytes": 67_108_864 }, ["--max-old-space-size=400"]);
            await platform.waitUntilReady(instance);
            await testPlatform.registerWorker(0, { slots: 50, seq: 2 });
            const worker = testPlatform.workers[0]!;
            await worker.setBehaviour({ spoiled, spoilPart: 1, slots: 50 });
            const { orderKeyPrefix } = JSON.parse((await processes.sendRequest(`http://${instance.addresses.entries}/v1/entries`)).body.toString()) as { readonly orderKeyPrefix: string; };
            const sent = Array.from({ length: requestCount }, (_, index) => sendForAWhile(instance.addresses.caller, path, hasKey ? `${orderKeyPrefix}~${index}` : undefined));
            const startedAt = performance.now();
            await new Promise(resolve => setTimeout(resolve, deadlineMs));
            const countOpen = async () => (await worker.getState<{ readonly openConnections: number; }>()).openConnections;
            await processes.waitFor("the connections to the worker are closed", async () => await countOpen() === 0).catch(() => {});
            const closedMs = Math.round(performance.now() - startedAt);
            const answeredMs = instance.listLogs("request-refused").map(({ context }) => context.latencyMs);
            t.ok(closedMs <= deadlineMs + closeLimitMs, `the connections to the worker are closed after ${closedMs} ms, the requests were answered after ${answeredMs.join(", ")}`);
            await Promise.all(sent);
            const peak = getPeakMemory(instance.process);
            t.ok(peak < memoryLimitBytes, `peak memory ${Math.round(peak / 1_048_576)} MiB`);
            t.equal(instance.process.exitCode, undefined, "the process runs");
        });
    await doTest("endlessExtensions", "/order/1", true);
    await doTest("endlessExtensions", "/look/1");
    await doTest("endlessPieces", "/order/1", true);
    await doTest("endlessPieces", "/look/1");
    await doTest("endlessChunkSize", "/order/1", true);
    await doTest("endlessChunkSize", "/look/1");
});

void tap.test("a caller that sends pieces of one byte without end", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "request-body-bytes": 67_108_864 }, ["--max-old-space-size=400"]);
    await platform.waitUntilReady(instance);
    const [host, port] = instance.addresses.caller.split(":");
    const piece = `1;${"x".repeat(100)}\r\nx\r\n`.repeat(2_000);
    const sockets = Array.from({ length: requestCount }, (_, index) => {
        const socket = net.connect(Number(port), host);
        socket.on("error", () => {});
        socket.resume();
        socket.write(`POST /order/1 HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: upload-${index}\r\nDeadline-Ms: ${deadlineMs}\r\nTransfer-Encoding: chunked\r\n\r\n`);
        socket.on("drain", () => socket.write(piece));
        socket.write(piece);
        return socket;
    });
    await new Promise(resolve => setTimeout(resolve, deadlineMs + closeLimitMs));
    const peak = getPeakMemory(instance.process);
    t.ok(peak < memoryLimitBytes, `peak memory ${Math.round(peak / 1_048_576)} MiB`);
    t.strictSame(sockets.filter(({ destroyed }) => !destroyed).length, 0, "the connections are closed");
    t.equal((await instance.send("/look/1")).status, 200, "other callers are served");
    sockets.forEach(socket => socket.destroy());
});
