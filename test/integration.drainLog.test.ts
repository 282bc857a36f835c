/**
 * Guards against a planned stop whose log does not tell why a request has no whole answer. Only the number of cut requests
 * was logged: neither which they were, nor what they waited for, nor who had closed the connection.
 */

import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 4;
const exitReserveMs = 400;
const maximumShorteningMs = 550;
const deadlineMs = 20_000;
/** More than the instance lists one by one. */
const manyRequests = 130;
const listedRequests = 100;
const suspendedMs = 800;
/** More than a request body may have. */
const tooManyBytes = 2 * 1024 * 1024;

void tap.test("the log of a planned stop", async t => {
    const testPlatform = await platform.startPlatform(1, [
        { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: deadlineMs },
        { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: deadlineMs },
    ]);
    t.teardown(() => testPlatform.stop());
    const [worker] = testPlatform.workers;
    await testPlatform.registerWorker(0, { slots: 2 * manyRequests });
    await worker!.setBehaviour({ slots: 2 * manyRequests, failure: "hang" });
    const startInstance = async () => {
        const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "drain-timeout-ms": 600_000, "entries-grace-ms": 1_000 });
        await platform.waitUntilReady(instance);
        return instance;
    };
    const countRuns = async (requestId: string) => (await worker!.getState<{ readonly runs: Readonly<Record<string, number>>; }>()).runs[requestId] ?? 0;
    const waitUntilRan = (requestId: string) => processes.waitFor(`the worker runs ${requestId}`, async () => await countRuns(requestId) > 0);
    /** Sends a request, waits until the worker runs it, and returns the request. */
    const startRequest = async (instance: platform.PlatformInstance, method: string, path: string, requestId: string, headers: http.OutgoingHttpHeaders = {}) => {
        const sent = http.request(`http://${instance.addresses.caller}${path}`, { method, agent: false, headers: { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs, ...headers } });
        let outcome = "no response";
        sent.on("error", error => {
            outcome = error.message;
        });
        sent.on("response", response => {
            outcome = `status ${response.statusCode}`;
            response.resume();
        });
        sent.end(method === "POST" ? "issue" : undefined);
        try {
            await waitUntilRan(requestId);
        }
        catch (thrown) {
            const lines = instance.process.stdoutLines.filter(line => line.includes(requestId));
            throw new Error(`${outcome}; ${lines.join("; ")}`, { cause: thrown });
        }
        return sent;
    };
    const getRequestLine = (instance: platform.PlatformInstance, requestId: string) => {
        const lines = instance.listLogs("drain-request-cut").filter(({ context }) => context.requestId === requestId);
        t.equal(lines.length, 1, `${requestId} has one line`);
        return lines[0]?.context ?? {};
    };

    await t.test("requests that the end of the shutdown cuts, by what they wait for", async t => {
        await worker!.setBehaviour({ failPart: 1 });
        const instance = await startInstance();
        await startRequest(instance, "POST", "/order/1", "hang-1");
        const leaving = await startRequest(instance, "POST", "/order/1", "detached-1", { "x-agatebend-order-key": "key-1" });
        leaving.destroy();
        const [host, port] = instance.addresses.caller.split(":");
        const half = net.connect(Number(port), host);
        half.on("error", () => {});
        half.write(`POST /order/1 HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: half-1\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: 10\r\n\r\nis`);
        const silent = net.connect(Number(port), host);
        silent.on("error", () => {});
        const begun = net.connect(Number(port), host);
        begun.on("error", () => {});
        begun.write("GET /look/1 HT");
        await new Promise(resolve => setTimeout(resolve, 300));
        instance.process.sendSignal("SIGTERM");
        await processes.waitFor("the shutdown has begun", () => instance.listLogs("instance-draining").length > 0);
        await startRequest(instance, "POST", "/order/1", "late-1", { "deadline-ms": 1_800 });
        const tooLarge = await instance.send("/order/1", { method: "POST", requestId: "large-1", headers: { "content-length": tooManyBytes }, body: "begun" });
        t.equal(tooLarge.status, 413);
        t.equal(await instance.process.waitForExit(), 0);

        const hanging = getRequestLine(instance, "hang-1");
        t.match(hanging, {
            endedBy: "shutdownEnd",
            waitingFor: "upstreamHead",
            kind: "order",
            route: "order",
            service: "desk",
            method: "POST",
            attempts: 1,
            hasCaller: true,
            isHeadPassedOn: false,
            passedBytes: 0,
            heldBytes: 0,
            trail: /^\[w0 .*waiting for upstreamHead\]$/,
        });
        t.ok(Number(hanging.wholeAfterMs) < 0 && Number(hanging.remainingMs) > 0 && Number(hanging.ageMs) > Number(hanging.sinceDrainMs), "it came before the shutdown and had time left");
        t.match(getRequestLine(instance, "detached-1"), { endedBy: "shutdownEnd", waitingFor: "upstreamHead", kind: "order", hasCaller: false });
        const incomplete = getRequestLine(instance, "half-1");
        t.match(incomplete, { endedBy: "shutdownEnd", waitingFor: "callerBody", kind: "order", attempts: 0, hasCaller: true, trail: "" });
        t.equal(incomplete.wholeAfterMs, undefined);
        t.strictSame(instance.listLogs("drain-request-cut").map(({ context }) => context.requestId).sort(), ["detached-1", "half-1", "hang-1"], "a request that was answered at its deadline is not among them");
        t.match(instance.listLogs("drain-cut").map(({ context }) => context), [{ requests: 3, repeatable: 0, orders: 1, incomplete: 1, ordersWithoutCaller: 1, unlisted: 0 }]);
        t.strictSame(instance.listLogs("drain-requests-answered").map(({ context }) => context.requestIds), ["large-1", "late-1"]);
        t.match(instance.listLogs("callers-drained").map(({ context }) => context), [{ answered: 2, answeredBeforeRead: 1, overrunMs: Number }]);
        t.match(instance.listLogs("callers-port-closed").map(({ context }) => context), [{ closedIdle: 0, withRequest: 3, withoutRequest: 2, withUnfinishedRequest: 1 }]);
        t.match(instance.listLogs("instance-draining").map(({ context }) => context), [{ timeoutMs: Number, killAfterMs: killAfterS * 1_000, delayMs: Number, stalledMs: Number }]);
        const { timeoutMs, delayMs } = instance.listLogs("instance-draining")[0]?.context ?? {};
        // A signal that this machine delays shortens the shutdown. Both times are rounded.
        const expectedMs = killAfterS * 1_000 - exitReserveMs - Math.min(Number(delayMs), maximumShorteningMs);
        t.ok(Math.abs(Number(timeoutMs) - expectedMs) <= 1, `${String(timeoutMs)} ms, ${String(delayMs)} ms late`);
        const [stopped] = instance.listLogs("instance-stopped").map(({ context }) => context);
        t.match(stopped, { durationMs: Number, overrunMs: Number, longestStallMs: Number });
        t.equal(stopped?.overrunMs, Math.max(0, Number(stopped?.durationMs) - Number(timeoutMs)));
    });

    await t.test("requests whose connection closes during the shutdown, by who closed it", async t => {
        await worker!.setBehaviour({ failPart: 1 });
        const instance = await startInstance();
        const closed = await startRequest(instance, "GET", "/look/1", "closed-1");
        const reset = await startRequest(instance, "GET", "/look/1", "reset-1");
        instance.process.sendSignal("SIGTERM");
        await processes.waitFor("the shutdown has begun", () => instance.listLogs("instance-draining").length > 0);
        closed.destroy();
        reset.socket!.resetAndDestroy();
        t.equal(await instance.process.waitForExit(), 0);
        t.match(getRequestLine(instance, "closed-1"), { endedBy: "caller", kind: "repeatable", hasCaller: false, isHeadPassedOn: false, trail: /w0/, logLevel: 30 });
        t.match(getRequestLine(instance, "reset-1"), { endedBy: "connectionError", error: /ECONNRESET/, kind: "repeatable", hasCaller: false, isHeadPassedOn: false, logLevel: 30 });
        t.strictSame(instance.listLogs("drain-cut").map(({ context }) => context), []);
        t.match(instance.listLogs("callers-drained").map(({ context }) => context), [{ answered: 0, closedByCaller: 1, closedByError: 1, closedByInstance: 0, closedUnlisted: 0 }]);
    });

    await t.test("a signal that a suspended process handles late", async t => {
        const instance = await startInstance();
        instance.process.sendSignal("SIGSTOP");
        instance.process.sendSignal("SIGTERM");
        await new Promise(resolve => setTimeout(resolve, suspendedMs));
        instance.process.sendSignal("SIGCONT");
        t.equal(await instance.process.waitForExit(), 0);
        const [draining] = instance.listLogs("instance-draining").map(({ context }) => context);
        // The check that noticed the suspension was due up to 250 ms after its beginning.
        t.ok(Number(draining?.stalledMs) > suspendedMs - 300, `stalled for ${String(draining?.stalledMs)} ms`);
    });

    await t.test("the number of lines is limited, and the lines of the shutdown are not dropped for them", async t => {
        await worker!.setBehaviour({ failPart: 1 });
        const instance = await startInstance();
        await Promise.all(Array.from({ length: manyRequests }, (_, index) => startRequest(instance, "POST", "/order/1", `many-${index}-`.padEnd(128, "x"))));
        instance.process.sendSignal("SIGTERM");
        t.equal(await instance.process.waitForExit(), 0);
        t.equal(instance.listLogs("drain-request-cut").length, listedRequests);
        t.match(instance.listLogs("drain-cut").map(({ context }) => context), [{ requests: manyRequests, orders: manyRequests, unlisted: manyRequests - listedRequests }]);
        t.equal(instance.listLogs("callers-drained").length, 1);
        t.equal(instance.listLogs("instance-stopped").length, 1);
    });

    await t.test("requests whose connection closes are limited too", async t => {
        await worker!.setBehaviour({ failPart: 1 });
        const instance = await startInstance();
        const sent = await Promise.all(Array.from({ length: manyRequests }, (_, index) => startRequest(instance, "POST", "/order/1", `gone-${index}`)));
        instance.process.sendSignal("SIGTERM");
        await processes.waitFor("the shutdown has begun", () => instance.listLogs("instance-draining").length > 0);
        sent.forEach(request => request.destroy());
        t.equal(await instance.process.waitForExit(), 0);
        const countLines = (endedBy: string) => instance.listLogs("drain-request-cut").filter(({ context }) => context.endedBy === endedBy).length;
        t.ok(countLines("caller") > 0 && countLines("caller") <= listedRequests, `${countLines("caller")} lines`);
        t.equal(countLines("shutdownEnd"), listedRequests);
        t.match(instance.listLogs("drain-cut").map(({ context }) => context), [{ requests: manyRequests, orders: 0, ordersWithoutCaller: manyRequests }]);
        t.match(instance.listLogs("callers-drained").map(({ context }) => context), [{ closedByCaller: manyRequests, closedUnlisted: manyRequests - listedRequests }]);
    });
});
