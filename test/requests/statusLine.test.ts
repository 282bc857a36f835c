/**
 * Guards against responses that are none: a status that HTTP does not have, or another version of HTTP, as a server of another
 * protocol may send. Node's parser accepts them, and callers got them as whole responses. They are the upstream's failure, and
 * say nothing of the request, whatever their headers are.
 */

import * as net from "node:net";
import tap from "tap";
import * as forwardOrder from "../../src/orders/forwardOrder.js";
import * as clock from "../../src/kernel/clock.js";
import * as loop from "../../src/kernel/loop.js";
import * as processes from "../harness/processes.js";
import * as rawUpstream from "../harness/rawUpstream.js";

const invalidLines = [
    "HTTP/1.1 600 X",
    "HTTP/1.1 999 X",
    "HTTP/2.0 200 X",
    "HTTP/2.0 206 X",
    "HTTP/2.0 503 X",
    "HTTP/0.9 200 X",
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 00 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 2e2 X",
    "HTTP/1.2 200 X",
    "HTTP/3 200 X",
    "ICY 200 OK",
];
const validLines = ["HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 299 X", "HTTP/1.1 404 X", "HTTP/1.1 599 X", "HTTP/1.1 200"];
const requestId = "r1";
const headers = `Request-Id: ${requestId}\r\nResponse-Seal: s\r\n`;
const body = "Content-Length: 5\r\n\r\nhello";

void tap.test("an upstream's status line", async t => {
    const upstream = await rawUpstream.startRawUpstream();
    t.teardown(() => upstream.stop());
    let answered = 0;
    const services = { "with echo and seal": {}, "without echo": { echoHeader: undefined }, "without echo and seal": { echoHeader: undefined, sealHeader: undefined } };
    for (const [name, service] of Object.entries(services)) {
        for (const isPooled of [true, false]) {
            const send = async (text: string) => {
                upstream.setAnswer(socket => socket.write(text));
                const { kind } = await upstream.sendAttempt({ requestId, isPooled, service });
                answered += kind === "answered" ? 1 : 0;
                return kind;
            };
            for (const line of invalidLines) {
                t.equal(await send(`${line}\r\n${headers}${body}`), "lost", `${line}, ${name}`);
                t.equal(await send(`${line}\r\n${headers}Not-Executed: 1\r\n${body}`), "lost", `${line} with the mark of a refusal, ${name}`);
            }
            t.equal(await send(`HTTP/2.0 102 X\r\n\r\nHTTP/1.1 200 OK\r\n${headers}${body}`), "lost", `an interim response of another version, ${name}`);
            t.equal(await send(`HTTP/1.1 102 X\r\n\r\nHTTP/1.1 200 OK\r\n${headers}${body}`), "answered", `an interim response, ${name}`);
            for (const line of validLines) {
                t.equal(await send(`${line}\r\n${headers}${body}`), "answered", `${line}, ${name}`);
            }
        }
    }
    await processes.waitFor("no connection of a lost attempt is left", () => upstream.countOpenConnections() <= answered);
});

void tap.test("a notice of a response that is none is not applied", async t => {
    const upstream = await rawUpstream.startRawUpstream();
    t.teardown(() => upstream.stop());
    for (const line of ["HTTP/2.0 503 X", "HTTP/1.1 600 X"]) {
        upstream.setAnswer(socket => socket.write(`${line}\r\n${headers}Draining: 1\r\nRetry-After: 5\r\n${body}`));
        const notices: unknown[] = [];
        await upstream.sendAttempt({ requestId, isPooled: false, onNotice: notice => notices.push(notice) });
        t.strictSame(notices, [], line);
    }
});

void tap.test("the status line of the instance that owns an order key", async t => {
    let line = "";
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.once("data", () => socket.write(`${line}\r\nX-Agatebend-Outcome: not-executed\r\nX-Agatebend-Error: overloaded\r\n${body}`));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connections = new Set<net.Socket>();
    server.on("connection", socket => connections.add(socket));
    t.teardown(() => {
        connections.forEach(socket => socket.destroy());
        server.close();
    });
    const time = clock.createSystemClock();
    const context = { clock: time, loop: new loop.Loop({ clock: time, getLogger: () => undefined as never }), identity: { instanceId: "i1" }, settings: { requestBodyBytes: 1_000, bodyIdleTimeoutMs: 1_000 } };
    const forward = () => {
        const request = { method: "POST", path: "/", rawHeaders: [], body: Buffer.from("x"), workspace: "", feature: undefined, deadlineHeader: "deadline-ms", deadlineAt: time.getNow() + 2_000, reservation: undefined };
        return forwardOrder.forwardOrder({ context, request, key: "k", address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` } as unknown as forwardOrder.ForwardOrderOptions);
    };
    for (line of invalidLines) {
        t.match(await forward(), { kind: "error", error: { kind: "answerLost" } }, line);
    }
    line = "HTTP/1.1 503 X";
    t.match(await forward(), { kind: "error", error: { kind: "overloaded" } }, line);
});
