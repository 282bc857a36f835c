/**
 * Guards against slots that stay in use for good after a response whose head cannot be passed on. Writing such a head threw
 * past the release of the slot, which the whole fleet counts; after some seconds healthy upstreams got no more requests.
 */

import * as fc from "fast-check";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

interface Dump {
    readonly callers: { readonly inFlight: number; };
    readonly pool: { readonly desk: { readonly upstreams: readonly { readonly inFlight: number; }[]; }; };
}

/** Heads that Node's parser accepts and its writer refuses, among valid ones. */
const heads = fc.record({
    statusLine: fc.constantFrom("HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Failed", "HTTP/1.1 000 None", "HTTP/1.1 299 ", "HTTP/1.1 999 Odd", "HTTP/1.1 200 \u00e9\u0001"),
    headerLines: fc.array(fc.constantFrom("Content Type: x", "X-Odd: \u0001", "X-Odd: \u007f", ": x", "X-Fine: y", "X-Latin: \u00e9", "Set-Cookie: a=b", "Trailer: X-Late", "X_Y@Z: 1", "Connection: x-odd"), { maxLength: 3 }).map(lines =>
        lines.map(line => `${line}\r\n`).join("")
    ),
});

void tap.test("a response whose head cannot be passed on", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "retry-slack": 1_000_000 });
    await platform.waitUntilReady(instance);
    const worker = testPlatform.workers[0]!;
    const sendBoth = () => Promise.all([instance.send("/look/1"), instance.send("/order/1", { method: "POST", body: "x" })]);
    const waitUntilIdle = () =>
        processes.waitFor("no slot is in use", async () => {
            const dump = JSON.parse((await processes.sendRequest(`http://${instance.addresses.operator}/dump`)).body.toString()) as Dump;
            return dump.callers.inFlight === 0 && dump.pool.desk.upstreams.every(({ inFlight }) => inFlight === 0);
        }, 5_000);

    await t.test("is a 502 of the upstream", async t => {
        await worker.setBehaviour({ spoiled: "spoiledHead", spoilPart: 1, statusLine: "HTTP/1.1 200 OK", headerLines: "Content Type: x\r\n" });
        for (const { status, headers } of await sendBoth()) {
            t.equal(status, 502);
            t.equal(headers["x-agatebend-error"], "answerLost");
        }
        await waitUntilIdle();
    });

    await t.test("without a status line of HTTP/1 is a 502 of the upstream", async t => {
        for (const statusLine of ["HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 X", "HTTP/0.9 200 X", "HTTP/1.1 000 X", "HTTP/1.1 102 X"]) {
            await worker.setBehaviour({ spoiled: "spoiledHead", spoilPart: 1, statusLine, headerLines: "" });
            for (const { status, headers } of await sendBoth()) {
                t.match([status, headers["x-agatebend-error"], headers["x-agatebend-outcome"]], [502, "answerLost", "unknown"], statusLine);
            }
        }
        await waitUntilIdle();
    });

    await t.test("leaves no slot in use, whatever the head is", async t => {
        await fc.assert(
            fc.asyncProperty(heads, async head => {
                await worker.setBehaviour({ spoiled: "spoiledHead", spoilPart: 1, ...head });
                const statuses = (await sendBoth()).map(({ status }) => status);
                await waitUntilIdle();
                return statuses.every(status => status >= 200);
            }),
            { numRuns: 40, seed: 20_261_205 },
        );
        t.equal(instance.listLogs("uncaught-exception").length, 0);
        await worker.setBehaviour({ spoiled: "none", spoilPart: 0 });
        await processes.waitFor("the upstream serves again", async () => (await instance.send("/look/1")).status === 200);
    });
});
