/** The log shows why upstreams receive no requests while requests of their service fail: health estimate, load by origin, pause. */

import tap from "tap";
import * as healthInstance from "../harness/healthInstance.js";

void tap.test("the log says why upstreams are not used while requests fail", async t => {
    const { time, logs, upstreamPool, choose } = healthInstance.createHealthInstance(1, [{ name: "look", repeatable: true }]);
    const listLines = () => logs.filter(({ event }) => event === "upstreams-unused");
    time.addTime(2_500);
    t.equal(listLines().length, 0, "nothing is logged without a failed attempt");
    const chosen = choose("look", true)!;
    upstreamPool.finishAttempt(chosen, upstreamPool.startAttempt(chosen, "look", 0), "failed");
    time.addTime(500);
    const [line] = listLines();
    t.match(line?.values, {
        service: "s",
        failures: 1,
        unused: healthInstance.upstreamCount - 1,
        total: healthInstance.upstreamCount,
        upstreams: /^u\d+ in north, fails 0\.250, Infinity ms old, last sent Infinity ms ago, in flight of 3: here 0; /,
    });
    time.addTime(3_000);
    t.equal(listLines().length, 1, "the failure is reported once");
});

/** Guards against a line that is filled with upstreams that have just failed, while it leaves out those that nothing has been sent to. */
void tap.test("the log lists the upstreams with the oldest outcomes first", async t => {
    const { time, logs, upstreamPool } = healthInstance.createHealthInstance(1, [{ name: "look", repeatable: true }]);
    const [first, second] = upstreamPool.getServicePool("s")!.upstreams;
    for (const failing of [first!, second!]) {
        upstreamPool.finishAttempt(failing, upstreamPool.startAttempt(failing, "look", 0), "failed");
        time.addTime(1_500);
    }
    const line = logs.findLast(({ event }) => event === "upstreams-unused");
    t.equal(line?.values.unused, healthInstance.upstreamCount - 1);
    t.notMatch(line?.values.upstreams, /u0 in/);
});
