/** Guards against data on an upstream connection that is taken for the response to a later request, and against suspecting sound upstreams. */

import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import type * as pool from "../../src/pool/index.js";
import * as upstreamAgent from "../../src/requests/upstreamAgent.js";
import * as processes from "../harness/processes.js";

const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const settleMs = 60;

void tap.test("data that belongs to no request", async t => {
    let answerRequest: (socket: net.Socket) => void;
    const connections = new Set<net.Socket>();
    let connectionCount = 0;
    const server = net.createServer(socket => {
        connectionCount += 1;
        connections.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => connections.delete(socket));
        socket.on("data", () => answerRequest(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const upstream = { getAddress: () => `127.0.0.1:${port}` } as pool.Upstream;
    const seen: string[] = [];
    const agent = new upstreamAgent.UpstreamAgent({ clock: clock.createSystemClock(), keepAlive: true, onStrayBytes: (_upstream, place) => seen.push(place) });
    t.teardown(() => {
        agent.destroy();
        connections.forEach(socket => socket.destroy());
        server.close();
    });
    const sendRequest = (connectionId?: number) =>
        new Promise<string>((resolve, reject) => {
            const options: upstreamAgent.UpstreamRequestOptions = { host: "127.0.0.1", port, agent, upstream, connectionId };
            const sent = http.request(options, received => {
                // Node reports data behind the response as an error of the request, although the response is complete.
                sent.on("error", () => {}).off("error", reject);
                agent.watchResponse(received, upstream);
                let body = "";
                received.on("data", chunk => {
                    body += String(chunk);
                });
                received.on("end", () => resolve(body));
            });
            sent.on("error", reject);
            sent.end();
        });
    const doTest = (name: string, answer: (socket: net.Socket) => void, expected: readonly string[]) =>
        t.test(name, async t => {
            seen.length = 0;
            answerRequest = answer;
            t.equal(await sendRequest(), "ok");
            await new Promise(resolve => setTimeout(resolve, settleMs));
            t.strictSame(seen, expected);
            answerRequest = socket => socket.write(response);
            t.equal(await sendRequest(), "ok");
        });

    await doTest("a sound response", socket => socket.write(response), []);
    await doTest("a second response on the idle connection", socket => {
        socket.write(response);
        setTimeout(() => socket.write(response), 20);
    }, ["idle"]);
    await doTest("a second response together with the first", socket => socket.write(response + response), ["behindResponse"]);
    await doTest("other data together with the response", socket => socket.write(`${response}more`), ["behindResponse"]);
    await doTest("a response to an idle connection that is about to close", socket => {
        socket.write(response);
        setTimeout(() => socket.end("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"), 20);
    }, []);
    await doTest("a connection that is closed after the response", socket => socket.end(response), []);
    await doTest("a connection that is reset after the response", socket => {
        socket.write(response);
        setTimeout(() => socket.resetAndDestroy(), 20);
    }, []);

    await t.test("a connection for one request alone", async t => {
        seen.length = 0;
        const before = connectionCount;
        answerRequest = socket => {
            socket.write(response);
            setTimeout(() => socket.write(response), 20);
        };
        await Promise.all([1, 2, 3].map(id => sendRequest(id)));
        await processes.waitFor("further stray bytes are noticed", () => seen.length === 3);
        t.equal(connectionCount - before, 3);
        answerRequest = socket => socket.write(response);
        await sendRequest(4);
        await processes.waitFor("the connection closes after the watch", () => Object.keys(agent.freeSockets).every(name => !name.endsWith(":4")));
    });

    await t.test("the idle connections to an address", async t => {
        answerRequest = socket => socket.write(response);
        await sendRequest();
        await new Promise(resolve => setTimeout(resolve, settleMs));
        t.equal(Object.keys(agent.freeSockets).length, 1);
        agent.closeIdleConnections(upstream.getAddress());
        await processes.waitFor("they are closed", () => connections.size === 0);
    });
});
