/**
 * Guards against responses that a planned stop cuts while they are being written. A response that had been ended counted as
 * done although a slow caller had not taken it; the caller got a status and a part of the body.
 */

import * as http from "node:http";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 6;
/** Leaves time for slow callers on a busy machine. */
const patientKillAfterS = 15;
/** More than the buffers of both sides of a connection, so that a part stays in the instance. */
const bodyBytes = 20 * 1024 * 1024;
/** A slow caller needs some 2 s for a body, which ends well before the instance is killed. */
const readIntervalMs = 20;
const readBytes = 200 * 1024;

interface SlowResult {
    readonly status: number | undefined;
    readonly bytes: number;
    readonly isComplete: boolean;
}

/** Reads a response slowly, while `isReading` returns true. */
function readSlowly(address: string, path: string, method: string, isReading: () => boolean): Promise<SlowResult> {
    return new Promise(resolve => {
        const headers = { host: platform.host, "request-id": `slow-${Math.random()}`, "deadline-ms": 20_000 };
        const sent = http.request(`http://${address}${path}`, { method, headers, agent: false }, response => {
            let bytes = 0;
            const timer = setInterval(() => {
                for (let left = isReading() ? readBytes : 0; left > 0;) {
                    const chunk = response.read(Math.min(left, Math.max(1, response.readableLength))) as Buffer | null;
                    if (!chunk) {
                        break;
                    }
                    bytes += chunk.length;
                    left -= chunk.length;
                }
            }, readIntervalMs);
            const finish = () => {
                clearInterval(timer);
                resolve({ status: response.statusCode, bytes, isComplete: response.complete && bytes === bodyBytes });
            };
            response.on("readable", () => {});
            response.on("end", finish);
            response.on("error", finish);
        });
        sent.on("error", () => resolve({ status: undefined, bytes: 0, isComplete: false }));
        sent.end(method === "POST" ? "issue" : undefined);
    });
}

void tap.test("a planned stop while callers read slowly", async t => {
    const testPlatform = await platform.startPlatform(1, [
        { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: 20_000 },
        { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: 20_000 },
    ]);
    t.teardown(() => testPlatform.stop());
    await testPlatform.workers[0]!.setBehaviour({ bodyBytes, slots: 20 });
    const startInstance = async (killAfterS: number) => {
        const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "drain-timeout-ms": 600_000, "request-body-bytes": 2 * bodyBytes });
        await platform.waitUntilReady(instance);
        return instance;
    };

    await t.test("responses that are read to their end are whole", async t => {
        const instance = await startInstance(patientKillAfterS);
        const reads = ["/look/1", "/order/1", "/look/2", "/order/2"].map(path => readSlowly(instance.addresses.caller, path, path.startsWith("/order") ? "POST" : "GET", () => true));
        await processes.waitFor("the worker has answered all", async () => (await testPlatform.workers[0]!.getState<{ readonly counts: { readonly ran: number; }; }>()).counts.ran >= 4);
        await new Promise(resolve => setTimeout(resolve, 300));
        instance.process.sendSignal("SIGTERM");
        t.strictSame(await Promise.all(reads), Array.from({ length: 4 }, () => ({ status: 200, bytes: bodyBytes, isComplete: true })));
        t.equal(await instance.process.waitForExit(), 0);
        t.strictSame(instance.listLogs("drain-cut").map(({ context }) => context), []);
    });

    await t.test("a caller that never reads is cut at the end of the shutdown, and logged", async t => {
        const instance = await startInstance(killAfterS);
        const ranBefore = (await testPlatform.workers[0]!.getState<{ readonly counts: { readonly ran: number; }; }>()).counts.ran;
        let isReading = false;
        const read = readSlowly(instance.addresses.caller, "/order/1", "POST", () => isReading);
        await processes.waitFor("the worker has run the order", async () => (await testPlatform.workers[0]!.getState<{ readonly counts: { readonly ran: number; }; }>()).counts.ran > ranBefore);
        await new Promise(resolve => setTimeout(resolve, 300));
        const signalledAt = performance.now();
        instance.process.sendSignal("SIGTERM");
        t.equal(await instance.process.waitForExit(), 0);
        const exitMs = performance.now() - signalledAt;
        t.ok(exitMs < killAfterS * 1_000, `the process ended by itself after ${Math.round(exitMs)} ms`);
        t.strictSame(instance.listLogs("drain-cut").map(({ context }) => [context.repeatable, context.orders]), [[0, 1]]);
        const [line] = instance.listLogs("drain-request-cut").map(({ context }) => context);
        t.match(line, { endedBy: "shutdownEnd", waitingFor: "callerReading", kind: "order", attempts: 1, hasCaller: true, isHeadPassedOn: true });
        t.ok(Number(line?.passedBytes) > 0 && Number(line?.heldBytes) > 0 && Number(line?.passedBytes) + Number(line?.heldBytes) > bodyBytes, `the response was written in part: ${JSON.stringify(line)}`);
        isReading = true;
        t.notOk((await read).isComplete);
    });
});
