/**
 * Guards against an upload that is executed twice, or in part, when its caller is slow, cuts it off or sends it again, and when
 * its upstream fails.
 */

import * as http from "node:http";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const bodyBytes = 120_000;
const pieceBytes = 20_000;
const piecePauseMs = 60;

interface Upload {
    readonly request: http.ClientRequest;
    /** The status, or "cut" if the connection ended without one. */
    readonly result: Promise<number | "cut">;
}

void tap.test("uploads", async t => {
    const testPlatform = await platform.startPlatform(3, [{ name: "upload", prefix: "/upload/", kind: "upload", service: "desk" }]);
    t.teardown(() => testPlatform.stop());
    const { workers } = testPlatform;
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    const setAll = (change: object) => Promise.all(workers.map(worker => worker.setBehaviour(change)));
    const countRuns = async (requestId: string) => {
        const states = await Promise.all(workers.map(worker => worker.getState<{ readonly runs: Readonly<Record<string, number>>; }>()));
        return states.reduce((sum, { runs }) => sum + (runs[requestId] ?? 0), 0);
    };
    const [host, port] = instance.addresses.caller.split(":");

    /** Sends a body in pieces, and cuts the connection after some of them if that is asked for. */
    const startUpload = (requestId: string, headers: http.OutgoingHttpHeaders = {}, cutAfterPieces = Infinity): Upload => {
        const request = http.request({ host, port, method: "POST", path: "/upload/1", agent: false, headers: { host: platform.host, "request-id": requestId, "deadline-ms": 4_000, "content-length": bodyBytes, ...headers } });
        const result = new Promise<number | "cut">(resolve => {
            request.on("response", response => {
                response.resume();
                resolve(response.statusCode ?? 0);
            });
            request.on("error", () => resolve("cut"));
        });
        const sendPiece = (index: number) => {
            if (index >= cutAfterPieces) {
                request.destroy();
            }
            else if (index * pieceBytes >= bodyBytes) {
                request.end();
            }
            else {
                request.write("x".repeat(pieceBytes));
                setTimeout(() => sendPiece(index + 1), piecePauseMs);
            }
        };
        sendPiece(0);
        return { request, result };
    };

    await t.test("a slow one is executed once", async t => {
        t.equal(await startUpload("slow").result, 200);
        t.equal(await countRuns("slow"), 1);
    });

    await t.test("one that is cut off is not executed", async t => {
        t.equal(await startUpload("cut", {}, 3).result, "cut");
        await new Promise(resolve => setTimeout(resolve, 300));
        t.equal(await countRuns("cut"), 0);
    });

    await t.test("one that is sent again with its key gets the outcome of the first", async t => {
        const headers = { "x-agatebend-order-key": "upload-1" };
        await setAll({ workMs: 400 });
        const first = startUpload("repeated", headers);
        await processes.waitFor("the upload is executed", async () => await countRuns("repeated") === 1);
        first.request.destroy();
        t.equal(await first.result, "cut");
        t.strictSame(await Promise.all([startUpload("repeated", headers).result, startUpload("repeated", headers).result]), [200, 200]);
        t.equal(await countRuns("repeated"), 1);
        await setAll({ workMs: 10 });
    });

    await t.test("one whose upstream fails after it has read the body is not sent again", async t => {
        for (const failure of ["reset", "error"]) {
            await setAll({ failPart: 1, failure });
            const status = await startUpload(`failed-${failure}`).result;
            t.ok(status === 502 || status === 504 || status === 500, `status ${status}`);
            t.equal(await countRuns(`failed-${failure}`), 1);
        }
        await setAll({ failPart: 0 });
    });

    await t.test("one that an upstream sheds is executed by another", async t => {
        await workers[0]!.setBehaviour({ slots: 0, queue: 0 });
        await workers[1]!.setBehaviour({ slots: 0, queue: 0 });
        const statuses = await Promise.all(Array.from({ length: 6 }, (_, index) => startUpload(`shed-${index}`).result));
        await setAll({ slots: 3, queue: 12 });
        for (const [index, status] of statuses.entries()) {
            t.equal(await countRuns(`shed-${index}`), status === 200 ? 1 : 0, `status ${status}`);
        }
        t.ok(statuses.includes(200));
    });
});
