/** Guards against an error that is closed with its connection before it was written, so that the caller gets no answer. */

import * as http from "node:http";
import type * as net from "node:net";
import tap from "tap";
import * as responses from "../../src/callers/responses.js";
import type * as context from "../../src/kernel/context.js";
import * as errors from "../../src/kernel/errors.js";
import * as processes from "../harness/processes.js";

const testContext = { identity: { instanceId: "i1" } } as context.Context;

/** Starts a server for one test; returns its URL. */
async function startServer(t: Pick<typeof tap, "teardown">, handle: http.RequestListener): Promise<string> {
    const server = http.createServer(handle);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`;
}

void tap.test("an error that ends a connection", async t => {
    await t.test("is received completely", async t => {
        const url = await startServer(t, (_, response) => responses.writeFinalError(response, errors.createError("internal"), testContext));
        const response = await processes.sendRequest(url);
        t.match(response, { status: 500, isComplete: true, headers: { connection: "close", "x-agatebend-error": "internal" } });
    });

    await t.test("breaks a response that has already started", async t => {
        const url = await startServer(t, (_, response) => {
            response.writeHead(200, { "content-length": 100 });
            response.write("part", () => responses.writeFinalError(response, errors.createError("internal"), testContext));
        });
        t.match(await processes.sendRequest(url), { status: 200, isComplete: false });
    });
});

void tap.test("the wait until a response is written ends", async t => {
    await t.test("with the last byte", async t => {
        let isWritten = false;
        const url = await startServer(t, (request, response) => {
            void responses.waitUntilWritten(request.socket, response).then(() => isWritten = true);
            response.end("whole");
        });
        await processes.sendRequest(url);
        await processes.waitFor("the wait ends", () => isWritten);
    });

    await t.test("with the connection, also for a response behind another one", async t => {
        let ended = 0;
        let arrived = 0;
        const url = await startServer(t, (request, response) => {
            arrived += 1;
            void responses.waitUntilWritten(request.socket, response).then(() => ended += 1);
        });
        const socket = (await import("node:net")).connect(Number(new URL(url).port), "127.0.0.1");
        socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n");
        await processes.waitFor("both requests arrive", () => arrived === 2);
        t.equal(ended, 0);
        socket.destroy();
        await processes.waitFor("both waits end", () => ended === 2);
    });
});
