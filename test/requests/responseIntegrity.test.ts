/**
 * Guards against truncated responses that count as complete. Without a Content-Length, a response ends with its
 * connection, and Node reports a reset as a normal end, in particular if it arrives together with the last bytes.
 */

import * as http from "node:http";
import type * as net from "node:net";
import { Worker } from "node:worker_threads";
import tap from "tap";
import * as responseIntegrity from "../../src/requests/responseIntegrity.js";

/** How long the event loop is blocked, so that the last bytes and the end or reset arrive together. */
const blockedMs = 150;

/** A server on another thread that writes a response without Content-Length and then closes or resets the connection. */
const serverText = `
const net = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const server = net.createServer({ noDelay: true }, socket => {
    socket.on("error", () => {});
    socket.once("data", () => setTimeout(() => {
        socket.write("HTTP/1.1 200 OK\\r\\n\\r\\n" + "x".repeat(50));
        setTimeout(() => workerData.isReset ? socket.resetAndDestroy() : socket.end(), workerData.pauseMs);
    }, 30));
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Returns whether `isComplete` takes the response for complete. */
async function receiveResponse(isReset: boolean, pauseMs: number, isBlocked: boolean): Promise<boolean> {
    const worker = new Worker(serverText, { eval: true, workerData: { isReset, pauseMs } });
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    const isComplete = await new Promise<boolean>(resolve => {
        const sent = http.request({ host: "127.0.0.1", port });
        sent.on("error", () => {});
        sent.on("response", response => {
            responseIntegrity.watchResponse(sent, response);
            response.on("error", () => {});
            response.on("data", () => {});
            response.on("close", () => resolve(responseIntegrity.isComplete(response)));
        });
        sent.on("socket", (socket: net.Socket) =>
            socket.once("connect", () =>
                setTimeout(() => {
                    const until = performance.now() + (isBlocked ? blockedMs : 0);
                    while (performance.now() < until) {
                        // Blocks the event loop.
                    }
                }, 10)));
        sent.end();
    });
    await worker.terminate();
    return isComplete;
}

void tap.test("the end of a response without Content-Length", async t => {
    const doTest = async (name: string, isReset: boolean, pauseMs: number, isBlocked: boolean) => t.equal(await receiveResponse(isReset, pauseMs, isBlocked), !isReset, name);
    await doTest("a normal close", false, 20, false);
    await doTest("a normal close together with the last bytes", false, 5, true);
    await doTest("a reset", true, 20, false);
    await doTest("a reset together with the last bytes", true, 5, true);
});
