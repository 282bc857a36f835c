/** An instance writes its last log lines before its process ends. */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

void tap.test("the last log lines of an instance that stops", async t => {
    const testPlatform = await platform.startPlatform(1);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance();
    await platform.waitUntilReady(instance);
    instance.process.sendSignal("SIGTERM");
    t.equal(await instance.process.waitForExit(), 0);
    await processes.waitFor("the last log line is received", () => instance.listLogs("instance-stopped").length === 1);
});
