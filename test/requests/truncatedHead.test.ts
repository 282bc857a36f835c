/**
 * A response whose head breaks off is lost. If its beginning were taken for a whole head, callers would get a success
 * with an empty or short body that is framed as complete.
 */

import type * as net from "node:net";
import tap from "tap";
import type * as attempt from "../../src/requests/attempt.js";
import * as responseIntegrity from "../../src/requests/responseIntegrity.js";
import * as rawUpstream from "../harness/rawUpstream.js";

const requestId = "r1";
const framings = {
    "with a length": `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\n`,
    "in chunks": `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n`,
    "without a length": `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n`,
};
const closings: Readonly<Record<string, (socket: net.Socket, text: string) => void>> = {
    "closed": (socket, text) => socket.end(text),
    "reset": (socket, text) => socket.write(text, () => socket.resetAndDestroy()),
};

/** Reads the body of an answered attempt to its end. Returns whether it counts as complete. */
function readToEnd(result: attempt.AttemptResult): Promise<boolean> {
    if (result.kind !== "answered") {
        return Promise.resolve(false);
    }
    const { response } = result;
    return new Promise(resolve => {
        response.on("error", () => {});
        response.on("close", () => resolve(responseIntegrity.isComplete(response)));
        response.resume();
    });
}

void tap.test("a head that breaks off at each of its bytes", async t => {
    const upstream = await rawUpstream.startRawUpstream();
    t.teardown(() => upstream.stop());
    for (const [framing, head] of Object.entries(framings)) {
        for (const [closing, close] of Object.entries(closings)) {
            for (const isPooled of [true, false]) {
                const notLost: string[] = [];
                for (let length = 0; length < head.length; length += 1) {
                    if (isPooled) {
                        upstream.setAnswer(socket => socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: first\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n`));
                        await readToEnd(await upstream.sendAttempt({ requestId: "first", isPooled }));
                    }
                    upstream.setAnswer(socket => close(socket, head.slice(0, length)));
                    const { kind } = await upstream.sendAttempt({ requestId, isPooled });
                    if (kind !== "lost") {
                        notLost.push(`${kind} after ${length} bytes`);
                    }
                }
                t.strictSame(notLost, [], `a response ${framing}, ${closing}, on ${isPooled ? "a kept connection" : "a connection of its own"}`);
            }
        }
    }
});

void tap.test("a body that breaks off behind a whole head", async t => {
    const upstream = await rawUpstream.startRawUpstream();
    t.teardown(() => upstream.stop());
    const doTest = async (framing: keyof typeof framings, body: string) => {
        for (let length = 0; length < body.length; length += 1) {
            upstream.setAnswer(socket => socket.end(framings[framing] + body.slice(0, length)));
            t.notOk(await readToEnd(await upstream.sendAttempt({ requestId, isPooled: true })), `${framing}, ${length} of ${body.length} bytes of the body`);
        }
    };
    await doTest("with a length", "hello");
    await doTest("in chunks", "5\r\nhello\r\n0\r\n\r\n");
});
