/** An answer without a length that is reset is never taken for whole, also where the reset comes with its last bytes. */

import * as http from "node:http";
import type * as net from "node:net";
import { Worker } from "node:worker_threads";
import tap from "tap";
import * as responseIntegrity from "../../src/requests/responseIntegrity.js";

/** How long this thread is busy, so that bytes and what follows them arrive together, in milliseconds. */
const busyMs = 150;

/** A server on another thread, which writes an unmeasured answer and then ends or resets the connection. */
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

async function readAnswer(isReset: boolean, pauseMs: number, isBusy: boolean): Promise<boolean> {
    const worker = new Worker(serverText, { eval: true, workerData: { isReset, pauseMs } });
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    const isWhole = await new Promise<boolean>(resolve => {
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
                    const until = performance.now() + (isBusy ? busyMs : 0);
                    while (performance.now() < until) {
                        // The event loop stands still meanwhile.
                    }
                }, 10)));
        sent.end();
    });
    await worker.terminate();
    return isWhole;
}

void tap.test("the end of an answer without a length", async t => {
    const doTest = async (name: string, isReset: boolean, pauseMs: number, isBusy: boolean) => t.equal(await readAnswer(isReset, pauseMs, isBusy), !isReset, name);
    await doTest("an orderly end", false, 20, false);
    await doTest("an orderly end together with the bytes", false, 5, true);
    await doTest("a reset", true, 20, false);
    await doTest("a reset together with the bytes", true, 5, true);
});
