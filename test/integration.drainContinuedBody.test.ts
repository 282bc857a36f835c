/**
 * Guards against a body that a stopping instance breaks off although another upstream has the rest of it: the request for the
 * rest was refused like one that had not been sent.
 */

import * as crypto from "node:crypto";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";
import * as upstream from "./standins/upstream.js";

const killAfterS = 8;
const blockBytes = 64 * 1024;
const blockDelayMs = 250;
/** The file takes 5 s. Its first upstream breaks off after 3 s, when estimates no longer count, and 4.6 s before the end. */
const fileBytes = 20 * blockBytes;
const cutAfterBytes = 12 * blockBytes;

void tap.test("a body that breaks off during a planned stop is continued from another upstream", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(2);
    const flags = { "kill-after-s": killAfterS, "entries-ttl-ms": 500, "entries-grace-ms": 500, "drain-timeout-ms": 600_000 };
    const [instance] = await fleet.startFleet(["north"], `http://${store.getAddress()}`, flags) as [fleet.Instance];
    t.teardown(() => Promise.all([store.process, upstreams[0]!.process, instance.process].map(testProcess => testProcess.stop())));
    await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams: { "north-0": upstreams[0]!.getAddress(), "north-1": upstreams[1]!.getAddress() } }));
    await Promise.all(upstreams.map(standIn => standIn.setBehaviour({ blockDelayMs, cutAfterBytes })));
    const received = instance.send(`/files/${fileBytes}`);
    await processes.waitFor("an upstream sends the file", async () => (await Promise.all(upstreams.map(standIn => standIn.getState<{ readonly inFlight: number; }>()))).some(({ inFlight }) => inFlight > 0));
    instance.process.sendSignal("SIGTERM");
    const { status, body, isComplete } = await received;
    t.same([status, isComplete, body.length], [200, true, fileBytes]);
    t.equal(crypto.createHash("sha256").update(body).digest("hex"), upstream.computeFileHash(fileBytes));
    t.equal(await instance.process.waitForExit(), 0);
});
