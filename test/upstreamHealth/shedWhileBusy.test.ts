/**
 * Guards against an upstream of a shedding service that keeps its good estimate because it shed while all of its slots were
 * in use, and against estimates that change where an upstream was merely full.
 */

import tap from "tap";
import * as healthInstance from "../harness/healthInstance.js";

void tap.test("a shed attempt at an upstream whose slots are all in use", async t => {
    const doTest = (isShedding: boolean) => {
        const { time, upstreamPool, health } = healthInstance.createHealthInstance(1, [{ name: "order", repeatable: false }]);
        const upstream = upstreamPool.getServicePool("s")!.upstreams[0]!;
        Array.from({ length: upstream.getSlots() }, () => upstreamPool.startAttempt(upstream, "order", 0));
        health.setSheddingCheck(service => isShedding && service === "s");
        const attempt = upstreamPool.startAttempt(upstream, "order", 0);
        time.addTime(5);
        upstreamPool.finishAttempt(upstream, attempt, "shed");
        return health.table.getEstimate(upstream).getFailureProbability(time.now);
    };
    t.equal(doTest(false), 0.25, "an upstream that is full is as good as before");
    t.ok(doTest(true) > 0.9, "one of a service that sheds is not");
});
