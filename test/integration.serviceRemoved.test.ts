/**
 * Guards against requests that are answered 404 although every configuration allows them: their route goes to another service
 * now, and the one that it went to when they came was removed before they were sent.
 */

import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const deadlineMs = 12_000;

function createRoutes(service: string): readonly platform.TestRoute[] {
    return [
        { name: "order", prefix: "/order/", kind: "unsafe", service, timeoutMs: deadlineMs },
        { name: "look", prefix: "/look/", kind: "safe", service, timeoutMs: deadlineMs },
    ];
}

/** Sends a request whose body ends later, and returns functions that send the rest and read the response's status. */
function sendBegun(address: string, method: string, path: string) {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    let text = "";
    socket.on("data", data => {
        text += data.toString("latin1");
    });
    socket.on("error", () => {});
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${platform.host}\r\nRequest-Id: begun-${path}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: 2\r\n\r\nx`);
    return {
        sendRest: () => void socket.write("x"),
        readStatus: async () => {
            await processes.waitFor(`${path} is answered`, () => text.includes("\r\n"));
            socket.destroy();
            return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1]);
        },
    };
}

void tap.test("requests whose route goes to another service before they are sent", async t => {
    const testPlatform = await platform.startPlatform(2, createRoutes("desk"));
    t.teardown(() => testPlatform.stop());
    await testPlatform.registerWorker(1, { service: "vault" });
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    const begun = [sendBegun(instance.addresses.caller, "POST", "/order/begun"), sendBegun(instance.addresses.caller, "GET", "/look/begun")];
    // Handled on one thread, after the begun requests.
    await instance.send("/look/first");
    const document = platform.createPlatformConfiguration(8, createRoutes("vault")) as { readonly services: readonly { readonly name: string; }[]; };
    await testPlatform.store.setBehaviour({ put: { "op/config": { ...document, services: document.services.filter(({ name }) => name === "vault") } } });
    await processes.waitFor("the configuration is in force", () => instance.listLogs("configuration-in-force").some(({ context }) => context.version === 8));
    begun.forEach(({ sendRest }) => sendRest());
    t.strictSame((await Promise.all(begun.map(({ readStatus }) => readStatus()))).filter(status => status !== 200 && status !== 503), [], "each is answered, or refused as not executed for now");
    t.equal((await instance.send("/look/after")).status, 200, "further requests go to the other service");
});
