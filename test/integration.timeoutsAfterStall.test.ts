/**
 * Guards against time-outs of connections that end a request which has arrived: after a stall, a time-out fires before the
 * request is read, and the caller gets a reset or an error in place of an answer, or an error after its answer, which its next
 * request would take for its own.
 */

import { once } from "node:events";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const routes: readonly platform.TestRoute[] = [
    { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 12_000 },
];
/** Opens a connection that carries no request yet. */
async function openConnection(address: string): Promise<net.Socket> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    await once(socket, "connect");
    return socket;
}

/** Sends an order and returns what comes first, or why nothing comes. */
function sendOrder(socket: net.Socket, requestId: string): Promise<string> {
    socket.write(`POST /order/1 HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: ${requestId}\r\nDeadline-Ms: 4000\r\nContent-Length: 1\r\n\r\nx`);
    return new Promise(resolve => {
        socket.once("data", data => resolve(data.toString("latin1").slice(0, 100)));
        socket.once("error", error => resolve(error.message));
        socket.once("close", () => resolve("closed"));
    });
}

const wait = (delayMs: number) => new Promise(resolve => setTimeout(resolve, delayMs));

async function start(t: Pick<typeof tap, "teardown">) {
    const testPlatform = await platform.startPlatform(2, routes);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    return { testPlatform, instance };
}

async function setLimits(testPlatform: platform.TestPlatform, instance: platform.PlatformInstance, limits: object) {
    const document = platform.createPlatformConfiguration(8, routes);
    await testPlatform.store.setBehaviour({ put: { "op/config": { ...document, limits: { headerBytes: 16_384, bodyBytes: 1_048_576, ...limits } } } });
    await processes.waitFor("the limits are in force", async () => instance.listLogs("configuration-in-force").some(({ context }) => context.version === 8));
}

void tap.test("a request that arrives on an idle connection during a stall is answered", async t => {
    const { testPlatform, instance } = await start(t);
    await setLimits(testPlatform, instance, { headerTimeoutMs: 3_000, idleTimeoutMs: 1_000 });
    const socket = await openConnection(instance.addresses.caller);
    t.teardown(() => socket.destroy());
    t.match(await sendOrder(socket, "first"), /^HTTP\/1.1 200/);
    await wait(300);
    instance.process.sendSignal("SIGSTOP");
    await wait(100);
    const second = sendOrder(socket, "second");
    await wait(2_500);
    instance.process.sendSignal("SIGCONT");
    t.match(await second, /^HTTP\/1.1 200/);
});

void tap.test("a request whose connection was opened before a stall as long as the header time-out is answered", async t => {
    const { testPlatform, instance } = await start(t);
    await setLimits(testPlatform, instance, { headerTimeoutMs: 1_000, idleTimeoutMs: 15_000 });
    const socket = await openConnection(instance.addresses.caller);
    t.teardown(() => socket.destroy());
    await wait(300);
    instance.process.sendSignal("SIGSTOP");
    await wait(100);
    const answer = sendOrder(socket, "first");
    await wait(3_000);
    instance.process.sendSignal("SIGCONT");
    t.match(await answer, /^HTTP\/1.1 200/);
});

void tap.test("a request that is answered at once after a stall gets no second answer", async t => {
    const { testPlatform, instance } = await start(t);
    await setLimits(testPlatform, instance, { headerTimeoutMs: 1_000, idleTimeoutMs: 15_000 });
    const socket = await openConnection(instance.addresses.caller);
    t.teardown(() => socket.destroy());
    let text = "";
    socket.on("data", data => {
        text += data.toString("latin1");
    });
    await wait(300);
    instance.process.sendSignal("SIGSTOP");
    await wait(100);
    socket.write(`GET /nowhere HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: first\r\nDeadline-Ms: 4000\r\n\r\n`);
    await wait(3_000);
    instance.process.sendSignal("SIGCONT");
    await processes.waitFor("the request is answered", () => text.includes("HTTP/1.1"));
    await wait(500);
    t.strictSame(text.match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 404"]);
});
