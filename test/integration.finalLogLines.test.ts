/** The last lines of an instance that stops are there. */

import tap from "tap";
import * as fleet from "./harness/platform.js";
import * as processes from "./harness/processes.js";

void tap.test("the last lines of an instance that stops", async t => {
    const site = await fleet.startPlatform(1);
    t.teardown(() => site.stop());
    const instance = await site.startInstance();
    await fleet.waitUntilReady(instance);
    instance.process.sendSignal("SIGTERM");
    t.equal(await instance.process.waitForExit(), 0);
    await processes.waitFor("they are there", () => instance.listLogs("instance-stopped").length === 1);
});
