/** The explain command alone shows the causes of three failed requests, given their identifiers and the logs. */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import tap from "tap";
import * as failedRequests from "./harness/failedRequests.js";
import * as platform from "./harness/platform.js";

void tap.test("explain", async t => {
    const testPlatform = await platform.startPlatform(3);
    t.teardown(() => testPlatform.stop());
    const instances = [await testPlatform.startInstance("north"), await testPlatform.startInstance("south")];
    await Promise.all(instances.map(platform.waitUntilReady));
    t.strictSame(await failedRequests.createFailedRequests(testPlatform, instances[0]!), { "order-502": "502", "lookup-503": "503", "file-cut": "cut" });
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
    const unknown = childProcess.spawnSync(process.execPath, ["dist/agatebend.cjs", "explain", "--request", "nobody", ...files], { encoding: "utf8" });
    t.equal(unknown.status, 1);
    t.match(unknown.stderr, /no line names the request nobody/);
});
