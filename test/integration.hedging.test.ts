/** Hedges with real processes. Guards against a slow upstream that makes reads slow, work that goes on for a closed attempt, and hedged orders. */

import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const slowMs = 1_500;
/** The least age at which an attempt is overdue and retried without hedges. */
const overdueMs = 250;
const count = 24;

interface WorkerState {
    readonly runs: Readonly<Record<string, number>>;
    readonly counts: { readonly cancelled: number; };
    readonly busy: number;
}

void tap.test("a worker becomes slow", async t => {
    const testPlatform = await platform.startPlatform(2);
    t.teardown(() => testPlatform.stop());
    const flags = { "retry-window-s": 1, "retry-slack": 1_000 };
    const instance = await testPlatform.startInstance("north", { ...flags, "hedge-ratio": 1 });
    const without = await testPlatform.startInstance("north", flags);
    await Promise.all([instance, without].map(platform.waitUntilReady));
    const sendReads = async (target: platform.PlatformInstance, name: string) => {
        const times: number[] = [];
        for (let index = 0; index < count; index += 1) {
            const startedAt = performance.now();
            const requestId = `${name}-${index}`;
            const response = await target.send("/look/1", { requestId });
            t.equal(response.status, 200);
            t.ok(response.body.toString().startsWith(`${requestId}:`), "the response is to its own request");
            times.push(performance.now() - startedAt);
        }
        return times;
    };
    await sendReads(instance, "usual");
    await sendReads(without, "usual-without");
    await testPlatform.workers[0]!.setBehaviour({ workMs: slowMs });
    const hedged = await sendReads(instance, "hedged");
    const slow = testPlatform.workers[0]!;
    const { counts, busy } = await processes.waitFor("the slow worker has no work left", async () => {
        const state = await slow.getState<WorkerState>();
        return state.busy === 0 ? state : undefined;
    });
    t.strictSame(hedged.filter(ms => ms >= slowMs), [], "no read takes as long as the slow worker");
    t.ok(counts.cancelled > 0, `${counts.cancelled} requests were closed at the slow worker, ${busy} are left`);
    const metrics = (await processes.sendRequest(`http://${instance.addresses.operator}/metrics`)).body.toString();
    t.match(metrics, /agatebend_hedges_ended_total\{service="desk",result="won"\} [1-9]/);
    const unhedged = await sendReads(without, "slow");
    t.comment(`slowest read ${Math.max(...hedged).toFixed(0)} ms with hedges, ${Math.max(...unhedged).toFixed(0)} ms without`);
    t.ok(Math.max(...unhedged) >= overdueMs, "without hedges, a read waits until its attempt is overdue");
    t.ok(hedged.filter(ms => ms >= overdueMs).length <= 1, "with hedges, reads do not wait for that");

    await t.test("orders are sent once", async t => {
        await Promise.all(Array.from({ length: 6 }, (_, index) => instance.send("/order/1", { method: "POST", body: "x", requestId: `order-${index}` })));
        const states = await Promise.all(testPlatform.workers.map(worker => worker.getState<WorkerState>()));
        t.strictSame(Array.from({ length: 6 }, (_, index) => states.reduce((sum, { runs }) => sum + (runs[`order-${index}`] ?? 0), 0)), [1, 1, 1, 1, 1, 1]);
    });
});
