/**
 * Guards against workers that send bytes without end. Each request gets an answer by its deadline or a body that never
 * looks complete, and the connection to the worker is closed; otherwise each such response keeps a slot and a
 * connection, and takes processor time, for good.
 */

import * as http from "node:http";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const deadlineMs = 1_500;
/** How long after its deadline a caller still waits. */
const patienceMs = 500;
/** The time within which the instance closes a connection that nobody needs. */
const closeLimitMs = 2_000;
const requestCount = 4;
/** More than an instance buffers before it begins to relay a body, and more than a caller gets by its deadline in the other cases. */
const unsizedBodyBytes = 32 * 1024 * 1024;
const memoryLimitBytes = 250 * 1024 * 1024;

interface WorkerState {
    readonly runs: Readonly<Record<string, number>>;
    readonly openConnections: number;
}

/** What a caller got that leaves after its deadline and its patience. */
interface CallerResult {
    readonly status: number | undefined;
    readonly outcome: string | undefined;
    readonly isComplete: boolean;
    readonly headMs: number;
}

void tap.test("workers that send bytes without end", async t => {
    // The last case needs more time than the routes of the other cases allow.
    const testPlatform = await platform.startPlatform(1, [...platform.defaultRoutes, { name: "long", prefix: "/long/", kind: "safe", service: "desk", timeoutMs: processes.defaultTimeoutMs }]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "unsized-body-bytes": unsizedBodyBytes });
    await platform.waitUntilReady(instance);
    const worker = testPlatform.workers[0]!;

    const sendPatiently = (path: string, method: string, requestId: string) =>
        new Promise<CallerResult>(resolve => {
            const startedAt = performance.now();
            let result: CallerResult = { status: undefined, outcome: undefined, isComplete: false, headMs: Infinity };
            const headers = { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs };
            const sent = http.request(`http://${instance.addresses.caller}${path}`, { method, headers, agent: false }, response => {
                result = { ...result, status: response.statusCode, outcome: String(response.headers["x-agatebend-outcome"]), headMs: performance.now() - startedAt };
                response.on("error", () => {});
                response.on("close", () => resolve({ ...result, isComplete: response.complete }));
                response.resume();
            });
            sent.on("error", () => resolve(result));
            setTimeout(() => sent.destroy(), deadlineMs + patienceMs);
            sent.end();
        });

    const doTest = (spoiled: string) =>
        t.test(spoiled, async t => {
            await worker.setBehaviour({ spoiled, spoilPart: 1, slots: 50 });
            const results = await Promise.all(["/look/1", "/order/1"].flatMap(path =>
                Array.from({ length: requestCount }, async (_, index) => {
                    const requestId = `${spoiled}-${path}-${index}`;
                    return { requestId, ...await sendPatiently(path, path === "/look/1" ? "GET" : "POST", requestId) };
                })
            ));
            t.strictSame(results.filter(({ headMs }) => headMs > deadlineMs + patienceMs), [], "every caller is answered by its deadline");
            t.strictSame(results.filter(({ status, isComplete }) => status === 200 && isComplete), [], "no body looks complete");
            const { runs } = await worker.getState<WorkerState>();
            // The stand-in refuses after it has counted the request as run; a refusal that bears the request's identifier is believed.
            const falselyRefused = results.filter(({ requestId, outcome }) => spoiled !== "endlessRefusal" && outcome === "not-executed" && (runs[requestId] ?? 0) > 0);
            t.strictSame(falselyRefused, [], "no executed request is reported as not executed");
            await processes.waitFor("the connections to the worker are closed", async () => (await worker.getState<WorkerState>()).openConnections === 0, closeLimitMs)
                .then(() => t.pass("the connections to the worker are closed"), async () => t.equal((await worker.getState<WorkerState>()).openConnections, 0, "the connections to the worker are closed"));
        });
    await doTest("endlessBlankLines");
    await doTest("endlessInterimResponses");
    await doTest("endlessHead");
    await doTest("endlessBody");
    await doTest("endlessChunks");
    await doTest("endlessTrickle");
    await doTest("endlessRefusal");

    await t.test("a caller that stays", async t => {
        await worker.setBehaviour({ spoiled: "endlessBody", spoilPart: 1, slots: 50 });
        const response = await instance.send("/long/1", { deadlineMs: processes.defaultTimeoutMs });
        t.equal(response.status, 200);
        t.notOk(response.isComplete, "the body does not look complete");
        t.ok(response.body.length <= unsizedBodyBytes, `the body is cut after ${response.body.length} of ${unsizedBodyBytes} bytes`);
        t.match((await processes.waitFor("the cut is logged", () => instance.listLogs("answer-cut").find(line => line.context.body === "tooLarge"))).message, /unsizedBodyBytes/);
    });

    await worker.setBehaviour({ spoiled: "none", spoilPart: 0, slots: 3 });
    await processes.waitFor("the worker gets requests again", async () => (await instance.send("/look/1")).status === 200);
    const dump = JSON.parse((await processes.sendRequest(`http://${instance.addresses.operator}/dump`)).body.toString()) as {
        readonly instance: { readonly rssBytes: number; };
        readonly pool: { readonly desk: { readonly upstreams: readonly { readonly inFlight: number; }[]; }; };
    };
    t.strictSame(dump.pool.desk.upstreams.map(({ inFlight }) => inFlight), [0], "no slot is held");
    t.ok(dump.instance.rssBytes < memoryLimitBytes, `the instance uses ${Math.round(dump.instance.rssBytes / 1024 / 1024)} MB`);
});
