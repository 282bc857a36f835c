/**
 * Guards against upstreams that send chunks of one byte as fast as they are read. All that had arrived was parsed in one turn
 * of the event loop, so that deadlines were acted on seconds late where the processor is short.
 */

import * as http from "node:http";
import * as net from "node:net";
import tap, { type Test } from "tap";
import type * as pool from "../../src/pool/index.js";
import * as upstreamAgent from "../../src/requests/upstreamAgent.js";

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const pieces = "1\r\nx\r\n".repeat(20_000);
/** The processor time of the test's clock for each piece, in milliseconds. */
const pieceMs = 0.01;
/** One turn of 20 ms, and the first share of a connection, which is not timed yet. */
const maximumTurnMs = 20 + 16_384 / 6 * pieceMs;

interface TestUpstream {
    readonly agent: upstreamAgent.UpstreamAgent;
    readonly seen: readonly string[];
    readonly now: { ms: number; };
    readonly send: (connection: "pooled" | "separate", onResponse: (response: http.IncomingMessage) => void) => http.ClientRequest;
}

async function startUpstream(t: Test, answer: (socket: net.Socket) => void): Promise<TestUpstream> {
    const connections = new Set<net.Socket>();
    const server = net.createServer(socket => {
        connections.add(socket);
        socket.on("error", () => {});
        socket.once("data", () => answer(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    const upstream = { getAddress: () => `127.0.0.1:${port}` } as pool.Upstream;
    const seen: string[] = [];
    const now = { ms: 0 };
    const agent = new upstreamAgent.UpstreamAgent({ clock: { getNow: () => now.ms }, keepAlive: true, onStrayBytes: (_upstream, place) => seen.push(place) });
    t.teardown(() => {
        agent.destroy();
        connections.forEach(socket => socket.destroy());
        server.close();
    });
    return {
        agent,
        seen,
        now,
        send: (connection, onResponse) => {
            const options: upstreamAgent.UpstreamRequestOptions = { host: "127.0.0.1", port, agent: connection === "pooled" ? agent : agent.createSeparateAgent(), upstream };
            const sent = http.request(options, response => {
                response.on("error", () => {});
                onResponse(response);
            });
            sent.on("error", () => {});
            sent.end();
            return sent;
        },
    };
}

function readBody(response: http.IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    response.on("data", (part: Buffer) => parts.push(part));
    return new Promise(resolve => response.on("close", () => resolve(Buffer.concat(parts))));
}

void tap.test("pieces of one byte without end", async t => {
    const doTest = (connection: "pooled" | "separate", connectionCount: number) =>
        t.test(`${connectionCount} ${connection} connections`, async t => {
            const upstream = await startUpstream(t, socket => {
                const writePieces = () => {
                    while (!socket.destroyed && socket.write(pieces)) {
                        // The operating system takes some writes at once.
                    }
                };
                socket.write(head);
                socket.on("drain", writePieces);
                writePieces();
            });
            const counts = Array.from({ length: connectionCount }, () => 0);
            const requests = counts.map((_, index) =>
                upstream.send(connection, response => {
                    response.on("data", () => {
                        counts[index]! += 1;
                        upstream.now.ms += pieceMs;
                    });
                })
            );
            let longestTurnMs = 0;
            while (Math.min(...counts) < 60_000) {
                const startMs = upstream.now.ms;
                await new Promise(resolve => setImmediate(resolve));
                longestTurnMs = Math.max(longestTurnMs, upstream.now.ms - startMs);
            }
            requests.forEach(request => request.destroy());
            t.ok(longestTurnMs <= maximumTurnMs, `the longest turn parsed for ${Math.round(longestTurnMs)} ms`);
            t.ok(Math.max(...counts) < 3 * Math.min(...counts), `${Math.min(...counts)} to ${Math.max(...counts)} pieces of each connection`);
        });
    await doTest("pooled", 1);
    await doTest("pooled", 8);
    await doTest("separate", 8);
});

void tap.test("a stream of lines at a modest rate beside pieces of one byte without end", async t => {
    const lineCount = 100;
    let turn = 0;
    const sentTurns: number[] = [];
    const upstream = await startUpstream(t, socket => {
        socket.write(head);
        if (sentTurns.length > 0) {
            const writePieces = () => {
                while (!socket.destroyed && socket.write(pieces)) {
                    // The operating system takes some writes at once.
                }
            };
            socket.on("drain", writePieces);
            writePieces();
            return;
        }
        const timer = setInterval(() => {
            const line = `data: ${sentTurns.length}\n\n`;
            sentTurns.push(turn);
            socket.write(`${line.length.toString(16)}\r\n${line}\r\n`);
            if (sentTurns.length === lineCount) {
                clearInterval(timer);
                socket.end("0\r\n\r\n");
            }
        }, 5);
    });
    const countTurn = () => {
        turn += 1;
        counting = setImmediate(countTurn);
    };
    let counting = setImmediate(countTurn);
    const lines: string[] = [];
    const lateTurns: number[] = [];
    const response = await new Promise<http.IncomingMessage>(resolve => upstream.send("pooled", resolve));
    const ended = new Promise(resolve => response.on("close", resolve));
    response.on("data", (line: Buffer) => {
        lateTurns.push(turn - sentTurns[lines.length]!);
        lines.push(line.toString());
    });
    await new Promise(resolve => setTimeout(resolve, 20));
    const floods = Array.from({ length: 8 }, () => upstream.send("pooled", flood => flood.on("data", () => upstream.now.ms += pieceMs)));
    await ended;
    clearImmediate(counting);
    floods.forEach(flood => flood.destroy());
    t.strictSame(lines, Array.from({ length: lineCount }, (_, index) => `data: ${index}\n\n`), "every line arrives");
    t.ok(Math.max(...lateTurns) <= 3, `a line arrives up to ${Math.max(...lateTurns)} turns of the event loop later`);
});

void tap.test("a large read of costly input", async t => {
    const body = Buffer.from(Array.from({ length: 400_000 }, (_, index) => index % 251));
    const completeResponse = Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`), body]);
    const doTest = (name: string, check: (t: Test, upstream: TestUpstream, response: http.IncomingMessage, received: Promise<Buffer>) => Promise<void>, answer: (socket: net.Socket) => void) =>
        t.test(name, async t => {
            const upstream = await startUpstream(t, answer);
            const response = await new Promise<http.IncomingMessage>(resolve => upstream.send("pooled", resolve));
            upstream.agent.watchResponse(response, { getAddress: () => "" } as pool.Upstream);
            response.on("data", () => upstream.now.ms += 30);
            await check(t, upstream, response, readBody(response));
        });
    await doTest("arrives whole and in order", async (t, upstream, _response, received) => {
        t.ok(body.equals(await received));
        t.strictSame(upstream.seen, []);
    }, socket => socket.write(completeResponse));
    await doTest("waits for a consumer that pauses", async (t, _upstream, response, received) => {
        response.on("data", () => {
            response.pause();
            setTimeout(() => response.resume(), 1);
        });
        t.ok(body.equals(await received));
    }, socket => socket.write(completeResponse));
    await doTest("ends with its connection", async (t, _upstream, _response, received) => {
        t.ok(body.equals(await received));
    }, socket => socket.end(Buffer.concat([Buffer.from("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), body])));
    await doTest("is dropped once the response is destroyed", async (t, _upstream, response, received) => {
        response.once("data", () => response.destroy());
        t.ok((await received).length < body.length);
        t.ok(response.destroyed);
    }, socket => socket.write(completeResponse));
    await doTest("shows data behind the response", async (t, upstream, _response, received) => {
        t.ok(body.equals(await received));
        await new Promise(resolve => setTimeout(resolve, 60));
        t.strictSame(upstream.seen, ["behindResponse"]);
    }, socket => socket.write(Buffer.concat([completeResponse, Buffer.alloc(20_000, "y")])));
});
