/** The explain command alone shows the causes of three failed requests, given their identifiers and the logs. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";
import * as failedRequests from "./harness/failedRequests.js";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const callerPatienceMs = 200;

/** Sends a lookup that no worker can take, and a download that its worker is slow to answer; their callers leave. */
async function sendAndLeave(testPlatform: platform.TestPlatform, instance: platform.PlatformInstance): Promise<void> {
    await testPlatform.workers[2]!.setBehaviour({ spoiled: "none", spoilPart: 0, workMs: 5 * callerPatienceMs });
    const sendBriefly = (path: string, requestId: string) =>
        new Promise<void>(resolve => {
            const headers = { host: platform.host, "request-id": requestId, "deadline-ms": 4_000 };
            const sent = http.get(`http://${instance.addresses.caller}${path}`, { headers, agent: false });
            sent.on("error", () => resolve());
            setTimeout(() => sent.destroy(new Error("the caller leaves")), callerPatienceMs);
        });
    await Promise.all([sendBriefly("/look/1", "left-while-queued"), sendBriefly("/file/1", "left-after-send")]);
    await processes.waitFor("both are logged", () => instance.listLogs("request-refused").filter(({ context }) => String(context.requestId).startsWith("left-")).length === 2);
}

void tap.test("explain", async t => {
    const testPlatform = await platform.startPlatform(3);
    t.teardown(() => testPlatform.stop());
    const instances = [await testPlatform.startInstance("north"), await testPlatform.startInstance("south")];
    await Promise.all(instances.map(platform.waitUntilReady));
    t.strictSame(await failedRequests.createFailedRequests(testPlatform, instances[0]!), { "order-502": "502", "lookup-503": "503", "file-cut": "cut" });
    await sendAndLeave(testPlatform, instances[0]!);
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-logs-"));
    const files = instances.map(instance => {
        const file = path.join(directory, `${instance.id}.log`);
        fs.writeFileSync(file, instance.process.stdoutLines.join("\n"));
        return file;
    });
    const doTest = (request: string, expected: readonly RegExp[]) => {
        const run = childProcess.spawnSync(process.execPath, ["dist/agatebend.cjs", "explain", "--request", request, ...files], { encoding: "utf8" });
        t.equal(run.status, 0, run.stderr);
        expected.forEach(pattern => t.match(run.stdout, pattern, request));
    };
    doTest("order-502", [/request-refused: the request was answered 502/, /kind=answerLost/, /attempt: w\d \(fails 0\.\d+, .* lost: /]);
    doTest("lookup-503", [/request-refused: the request was answered 503/, /kind=deadlineBeforeSend/, /upstream-found: desk\/w0 at \S+ is leaving/]);
    doTest("file-cut", [/answer-cut: the upstream's answer broke off/, /its body ended as broken after \d+ bytes/]);
    doTest("left-while-queued", [/request-refused: the request was answered 499/, /outcome=not-executed/, /kind=callerGone /]);
    // Guards against a line that states that a request was not executed although an upstream had received it.
    doTest("left-after-send", [/request-refused: the request was answered 499/, /outcome=unknown/, /kind=callerGoneAfterSend /]);
    const unknown = childProcess.spawnSync(process.execPath, ["dist/agatebend.cjs", "explain", "--request", "nobody", ...files], { encoding: "utf8" });
    t.equal(unknown.status, 1);
    t.match(unknown.stderr, /no line names the request nobody/);
});
