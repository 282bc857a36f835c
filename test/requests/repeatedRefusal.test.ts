/**
 * A refusal counts only for the request that it answers. A faulty upstream may write an earlier refusal once more on a
 * kept connection, while it executes the request that is waiting there. If that refusal were trusted, callers would be
 * told that the request was not executed, or it would be sent to a second upstream.
 */

import tap from "tap";
import * as rawUpstream from "../harness/rawUpstream.js";

const formatRefusal = (requestId: string | undefined) => `HTTP/1.1 503 Service Unavailable\r\n${requestId === undefined ? "" : `Request-Id: ${requestId}\r\n`}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`;

void tap.test("a refusal written twice", async t => {
    const upstream = await rawUpstream.startRawUpstream();
    t.teardown(() => upstream.stop());
    const doTest = (name: string, isPooled: boolean, formatSecond: (requestId: string) => string, expected: string) =>
        t.test(name, async t => {
            upstream.setAnswer((socket, requestId) => socket.write(formatRefusal(requestId)));
            t.equal((await upstream.sendAttempt({ requestId: "first", isPooled })).kind, "shed", "the first refusal is its own");
            await new Promise(resolve => setImmediate(resolve));
            upstream.setAnswer((socket, requestId) => socket.write(formatSecond(requestId)));
            t.equal((await upstream.sendAttempt({ requestId: "second", isPooled })).kind, expected);
        });
    for (const isPooled of [true, false]) {
        const connection = isPooled ? "a kept connection" : "a connection of its own";
        await doTest(`the refusal of the request, on ${connection}`, isPooled, requestId => formatRefusal(requestId), "shed");
        await doTest(`the refusal of an earlier request, on ${connection}`, isPooled, () => formatRefusal("first"), "lost");
        await doTest(`a refusal that names no request, on ${connection}`, isPooled, () => formatRefusal(undefined), "lost");
    }
});
