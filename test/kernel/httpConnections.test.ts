/**
 * Guards against connections that wait for their peers without a limit, or that hold up a stop, once their writing side is
 * closed, against requests that are read although their connection is closed as idle, and against a stop that new connections
 * hold up.
 */

import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as httpConnections from "../../src/kernel/httpConnections.js";

const maximumLingering = 1_000;
const lingerBytes = 16 * 1024 * 1024;
const lingerTimeoutMs = 5_000;
const toleranceMs = 1_500;
/** What the buffers of both sides of a connection hold. */
const bufferBytes = 12 * 1024 * 1024;
/** Leaves time for bytes to arrive on a busy machine. */
const arrivalMs = 100;
/** More than one poll accepts, and far longer than connections are accepted. */
const floodConnections = 50;
const floodMs = 1_500;
/** Headers of a request whose body does not end. */
const unfinished = `Content-Length: ${1024 * 1024 * 1024}\r\n`;

async function startServer(t: Pick<typeof tap, "teardown">) {
    const paths: (string | undefined)[] = [];
    const server = http.createServer((request, response) => {
        paths.push(request.url);
        if (request.url === "/last") {
            response.setHeader("connection", "close");
        }
        response.end("done");
    });
    const connections = new httpConnections.HttpConnections(server);
    const serverSockets: net.Socket[] = [];
    server.on("connection", socket => serverSockets.push(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const peers: net.Socket[] = [];
    /** Sends a request, and returns after its response while this side of the connection stays open. */
    const sendRequest = async (path: string, headers = ""): Promise<net.Socket> => {
        const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        peers.push(socket);
        socket.on("error", () => {});
        socket.write(`POST ${path} HTTP/1.1\r\nHost: localhost\r\n${headers}\r\n`);
        await new Promise(resolve => socket.once("data", resolve));
        return socket;
    };
    t.teardown(() => {
        peers.forEach(socket => socket.destroy());
        connections.closeAll();
    });
    return { connections, sendRequest, paths, serverSockets, port };
}

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

void tap.test("connections that are closed after a response to an unfinished request", async t => {
    await t.test("one whose peer closes it", async t => {
        const { sendRequest, serverSockets } = await startServer(t);
        const socket = await sendRequest("/last", unfinished);
        await wait(arrivalMs);
        t.equal(serverSockets[0]!.destroyed, false, "waits for the peer");
        socket.end();
        await wait(arrivalMs);
        t.equal(serverSockets[0]!.destroyed, true, "closes after the peer");
    });

    await t.test("one whose peer never closes it", async t => {
        const { sendRequest, serverSockets } = await startServer(t);
        const startedAt = performance.now();
        await sendRequest("/last", unfinished);
        await new Promise(resolve => serverSockets[0]!.once("close", resolve));
        const closedMs = performance.now() - startedAt;
        t.ok(closedMs > lingerTimeoutMs - toleranceMs && closedMs < lingerTimeoutMs + toleranceMs, `closes after ${Math.round(closedMs)} ms`);
    });

    await t.test("one whose peer goes on sending", async t => {
        const { sendRequest, serverSockets, paths } = await startServer(t);
        const socket = await sendRequest("/last", "Content-Length: 10\r\n");
        const request = Buffer.from("0123456789GET /second HTTP/1.1\r\nHost: localhost\r\n\r\n".repeat(10_000));
        const send = () => void socket.write(request, error => error ? undefined : send());
        send();
        await new Promise(resolve => serverSockets[0]!.once("close", resolve));
        const { bytesRead } = serverSockets[0]!;
        t.ok(bytesRead > lingerBytes && bytesRead <= lingerBytes + bufferBytes, `closes after ${bytesRead} bytes`);
        t.strictSame(paths, ["/last"], "no further request begins");
    });

    await t.test("more than may wait", async t => {
        const { sendRequest, serverSockets } = await startServer(t);
        for (let count = 0; count <= maximumLingering; count += 1) {
            await sendRequest("/last", unfinished);
        }
        await wait(arrivalMs);
        t.strictSame(serverSockets.flatMap(({ destroyed }, index) => destroyed ? index : []), [0], "the oldest closes");
    });

    await t.test("when the server stops", async t => {
        const { connections, sendRequest, serverSockets } = await startServer(t);
        await sendRequest("/last", unfinished);
        await wait(arrivalMs);
        t.strictSame(connections.listOpenResponses(), [], "its response is not open");
        t.strictSame(connections.countConnections(), { withRequest: 0, withoutRequest: 0, withUnfinishedRequest: 0 }, "it is not counted");
        t.equal(connections.closeIdle(), 0, "it is not idle");
        t.equal(serverSockets[0]!.destroyed, false);
        connections.closeAll();
        t.equal(serverSockets[0]!.destroyed, true, "it closes with the others");
    });
});

void tap.test("connections without an unfinished request", async t => {
    await t.test("one whose response is the last", async t => {
        const { sendRequest, serverSockets } = await startServer(t);
        await sendRequest("/last");
        await wait(arrivalMs);
        t.equal(serverSockets[0]!.destroyed, true, "closes at once");
    });

    await t.test("a kept one, and a request that crosses its close", async t => {
        const { connections, sendRequest, serverSockets, paths } = await startServer(t);
        const socket = await sendRequest("/kept");
        await wait(arrivalMs);
        const bytesBefore = serverSockets[0]!.bytesRead;
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write("GET /crossing HTTP/1.1\r\nHost: localhost\r\n\r\n");
        t.equal(connections.closeIdle(), 1);
        await closed;
        t.equal(serverSockets[0]!.bytesRead, bytesBefore, "the request is not read");
        t.strictSame(paths, ["/kept"], "the request does not begin");
    });
});

void tap.test("reading what has arrived ends while new connections keep coming", async t => {
    const { connections, port } = await startServer(t);
    let isOver = false;
    const openNext = () => {
        const socket = net.connect({ port, host: "127.0.0.1" });
        socket.on("error", () => {});
        socket.once("connect", () => {
            socket.destroy();
            if (!isOver) {
                openNext();
            }
        });
    };
    Array.from({ length: floodConnections }, openNext);
    await wait(arrivalMs);
    const startedAt = performance.now();
    const readMs = await Promise.race([connections.waitUntilRead().then(() => performance.now() - startedAt), wait(floodMs).then(() => floodMs)]);
    isOver = true;
    t.ok(readMs < floodMs, `ends after ${Math.round(readMs)} ms`);
});
