/**
 * Guards against pipelined requests that are cut: a stopping instance announced the close of a connection in the response to the
 * first of several requests on it, so that the others, which an upstream was running, got no answer. Also against such requests
 * that go on when their caller has left, because only the first of them noticed it.
 */

import { once } from "node:events";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const routes: readonly platform.TestRoute[] = [
    { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
    { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 12_000 },
];
const workMs = 500;
/** The platform sets this limit. */
const leftToleranceMs = 500;
/** More than the buffers of the kernel and the process hold of a response. */
const unreadBytes = 16 * 1024 * 1024;

/** A caller that sends requests without waiting for the responses to earlier ones. */
class PipeliningCaller {
    private readonly socket: net.Socket;
    private text = "";
    private isClosed = false;

    constructor(address: string) {
        const [host, port] = address.split(":");
        this.socket = net.connect(Number(port), host);
        this.socket.on("data", data => {
            this.text += data.toString("latin1");
        });
        this.socket.on("error", () => {});
        this.socket.once("close", () => {
            this.isClosed = true;
        });
    }

    async waitUntilConnected(): Promise<void> {
        await once(this.socket, "connect");
    }

    /** Stops or resumes reading. */
    setReading(isReading: boolean): void {
        if (isReading) {
            this.socket.resume();
            return;
        }
        this.socket.pause();
    }

    sendLookup(requestId: string, responseBytes: number): void {
        this.socket.write(`GET /look/1 HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 4000\r\nResponse-Bytes: ${responseBytes}\r\n\r\n`);
    }

    sendOrder(requestId: string, extraWorkMs = 0): void {
        this.socket.write(`POST /order/1 HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 4000\r\nExtra-Work-Ms: ${extraWorkMs}\r\nContent-Length: 1\r\n\r\nx`);
    }

    close(): void {
        this.socket.destroy();
    }

    /** Waits until the connection is closed, and returns the identifiers of the requests that were answered with 200. */
    async readAnsweredIds(): Promise<readonly string[]> {
        await processes.waitFor("the connection closes", () => this.isClosed);
        return this.text.split(/(?=HTTP\/1\.1 )/).filter(response => response.startsWith("HTTP/1.1 200")).map(response => /^([\w-]+):x+$/m.exec(response.slice(response.indexOf("\r\n\r\n") + 4))?.[1] ?? "");
    }
}

void tap.test("pipelined requests around a planned stop", async t => {
    const testPlatform = await platform.startPlatform(1, routes);
    t.teardown(() => testPlatform.stop());
    const [worker] = testPlatform.workers;
    await testPlatform.registerWorker(0, { slots: 10 });
    await worker!.setBehaviour({ slots: 10, workMs });
    const startInstance = async () => {
        const instance = await testPlatform.startInstance("north", { "kill-after-s": 6, "entries-ttl-ms": 500, "entries-grace-ms": 500, "drain-timeout-ms": 600_000 });
        await platform.waitUntilReady(instance);
        return instance;
    };
    const countRuns = async (requestId: string) => (await worker!.getState<{ readonly runs: Readonly<Record<string, number>>; }>()).runs[requestId] ?? 0;
    const waitUntilRan = (requestId: string) => processes.waitFor(`the worker runs ${requestId}`, async () => await countRuns(requestId) > 0);

    await t.test("in flight when the stop begins are all answered", async t => {
        const instance = await startInstance();
        const caller = new PipeliningCaller(instance.addresses.caller);
        await caller.waitUntilConnected();
        ["before-1", "before-2", "before-3"].forEach(requestId => caller.sendOrder(requestId));
        await waitUntilRan("before-3");
        instance.process.sendSignal("SIGTERM");
        t.strictSame(await caller.readAnsweredIds(), ["before-1", "before-2", "before-3"]);
        t.equal(await instance.process.waitForExit(), 0);
    });

    await t.test("that come after it are answered if they run", async t => {
        const instance = await startInstance();
        const caller = new PipeliningCaller(instance.addresses.caller);
        await caller.waitUntilConnected();
        caller.sendOrder("first");
        await waitUntilRan("first");
        instance.process.sendSignal("SIGTERM");
        await processes.waitFor("the shutdown has begun", () => instance.listLogs("instance-draining").length > 0);
        ["after-1", "after-2"].forEach(requestId => caller.sendOrder(requestId, 300));
        const answered = await caller.readAnsweredIds();
        t.equal(answered[0], "first");
        for (const requestId of ["after-1", "after-2"]) {
            t.ok(answered.includes(requestId) || await countRuns(requestId) === 0, `${requestId} is answered or has not run`);
        }
        t.equal(await instance.process.waitForExit(), 0);
    });

    await t.test("that cross the announced close of their connection do not run", async t => {
        const instance = await startInstance();
        const caller = new PipeliningCaller(instance.addresses.caller);
        await caller.waitUntilConnected();
        caller.setReading(false);
        caller.sendLookup("long", unreadBytes);
        await waitUntilRan("long");
        instance.process.sendSignal("SIGTERM");
        await processes.waitFor("the shutdown has begun", () => instance.listLogs("instance-draining").length > 0);
        // The response begins meanwhile.
        await new Promise(resolve => setTimeout(resolve, 2 * workMs));
        caller.sendOrder("crossing");
        await new Promise(resolve => setTimeout(resolve, workMs));
        caller.setReading(true);
        t.strictSame(await caller.readAnsweredIds(), ["long"]);
        t.equal(await countRuns("crossing"), 0);
        t.equal(await instance.process.waitForExit(), 0);
    });
});

void tap.test("upstreams stop work on pipelined requests whose caller has left", async t => {
    const testPlatform = await platform.startPlatform(1, routes);
    t.teardown(() => testPlatform.stop());
    const [worker] = testPlatform.workers;
    await testPlatform.registerWorker(0, { slots: 10 });
    await worker!.setBehaviour({ slots: 10, workMs: 10_000 });
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    const caller = new PipeliningCaller(instance.addresses.caller);
    await caller.waitUntilConnected();
    ["left-1", "left-2"].forEach(requestId => caller.sendLookup(requestId, 100));
    const countBusy = async () => (await worker!.getState<{ readonly busy: number; }>()).busy;
    await processes.waitFor("the worker runs both", async () => await countBusy() === 2);
    caller.close();
    await new Promise(resolve => setTimeout(resolve, leftToleranceMs));
    t.equal(await countBusy(), 0);
});
