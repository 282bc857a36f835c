/**
 * Guards against orders that are answered with a status which says that they have not run, although they have: the instance that
 * owns the key ran the order and stopped before its end, and the instance that had forwarded it answered 503.
 */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const deadlineMs = 12_000;
/** Statuses that promise that the request has not run and never will. */
const notExecutedStatuses = [408, 421, 429, 503];

void tap.test("an order that its key's owner was running when it stopped is not answered as if it had not run", async t => {
    const testPlatform = await platform.startPlatform(1, [{ name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: deadlineMs }]);
    t.teardown(() => testPlatform.stop());
    const [worker] = testPlatform.workers;
    await worker!.setBehaviour({ workMs: deadlineMs });
    const flags = { "kill-after-s": 2, "entries-ttl-ms": 500, "entries-grace-ms": 500, "drain-timeout-ms": 600_000 };
    const owner = await testPlatform.startInstance("north", flags);
    const forwarder = await testPlatform.startInstance("north", flags);
    await platform.waitUntilReady(owner);
    await platform.waitUntilReady(forwarder);
    const startOrder = async (requestId: string) => {
        const entries = await processes.sendRequest(`http://${owner.addresses.entries}/v1/entries`);
        const { orderKeyPrefix } = JSON.parse(entries.body.toString()) as { readonly orderKeyPrefix: string; };
        const answered = forwarder.send("/order/1", { method: "POST", body: "x", deadlineMs, requestId, headers: { "x-agatebend-order-key": `${orderKeyPrefix}~${requestId}` } });
        await processes.waitFor("the worker runs the order", async () => (await worker!.getState<{ readonly runs: Readonly<Record<string, number>>; }>()).runs[requestId] === 1);
        return async () => {
            const { status, headers } = await answered;
            t.notOk(notExecutedStatuses.includes(status), `${requestId}: answered ${status}`);
            t.equal(headers["x-agatebend-outcome"], "unknown", requestId);
        };
    };
    const checkStopped = await startOrder("stopped");
    owner.process.sendSignal("SIGTERM");
    await checkStopped();
    await owner.process.waitForExit();
    owner.restart();
    await processes.waitFor("the owner is started again", () => owner.listLogs("instance-started").length > 0);
    await platform.waitUntilReady(owner);
    await processes.waitFor("the forwarder knows the owner's new process", async () => (await processes.sendRequest(`http://${forwarder.addresses.entries}/v1/entries`)).body.toString().includes(owner.addresses.caller));
    const checkKilled = await startOrder("killed");
    owner.process.sendSignal("SIGKILL");
    await checkKilled();
});
