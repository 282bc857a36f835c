/**
 * Guards against a planned stop that outlasts the time after which the platform kills the process, because each of its last
 * steps waits for a peer that does not read: operators, callers that ask for entry points, and the reader of the log.
 */

import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 4;
const longWorkMs = 9_000;
/** The instance has read what it will read once it answers faster than this. */
const idleAnswerMs = 20;
const settleMs = 300;
/** Enough responses for more than the operating system buffers. */
const unreadRequests = 60_000;
/** Enough log lines for more than the operating system buffers. */
const refusedRequests = 1_500;

/** Sends many requests on a connection and reads no response. */
async function openUnreadConnection(address: string, path: string): Promise<net.Socket> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    socket.on("error", () => {});
    await new Promise<void>(resolve => socket.once("connect", resolve));
    socket.pause();
    socket.write(`GET ${path} HTTP/1.1\r\nHost: ${platform.host}\r\n\r\n`.repeat(unreadRequests));
    return socket;
}

void tap.test("a planned stop while peers do not read", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 12_000 }]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    await testPlatform.workers[0]!.setBehaviour({ workMs: longWorkMs });
    const inFlight = instance.send("/look/1", { deadlineMs: 12_000 }).catch(() => undefined);
    const { process: testProcess, addresses } = instance;
    testProcess.setOutputReading(false);
    const agent = new http.Agent({ keepAlive: true, maxSockets: 8 });
    await Promise.all(Array.from({ length: refusedRequests }, () => instance.send("/nowhere/1", { agent })));
    agent.destroy();
    const sockets = await Promise.all([openUnreadConnection(addresses.operator, "/healthz"), openUnreadConnection(addresses.entries, "/")]);
    t.teardown(() => sockets.forEach(socket => socket.destroy()));
    await processes.waitFor("the instance is idle", async () => {
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const askedAt = performance.now();
        await processes.sendRequest(`http://${addresses.ready}/readyz`);
        return performance.now() - askedAt < idleAnswerMs;
    });
    await new Promise(resolve => setTimeout(resolve, settleMs));

    testProcess.sendSignal("SIGTERM");
    const killed = setTimeout(() => testProcess.sendSignal("SIGKILL"), killAfterS * 1_000);
    t.equal(await testProcess.waitForExit(), 0, "the process ends before the platform kills it");
    clearTimeout(killed);
    await inFlight;
    testProcess.setOutputReading(true);
    await processes.waitFor("what was written of the log is read", () => testProcess.stdoutLines.length > 0);
});
