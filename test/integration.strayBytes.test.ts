/** An upstream that sends responses twice: callers soon get none that belongs to another request, and every instance stops reusing its connections. */

import * as http from "node:http";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const callerCount = 4;
const requestCount = 2_000;
/** The time after the first stray byte in which responses that were passed on before it may still be read. */
const toleratedMs = 1_000;

/** Times are milliseconds since the Unix epoch. */
interface Result {
    readonly sentAt: number;
    /** When the response had been read. */
    readonly at: number;
    readonly isWrong: boolean;
    readonly status: number;
}

/** Sends reads on kept connections, one after the other on each, and compares each response with its request. */
async function sendReads(instance: fleet.Instance, count: number): Promise<readonly Result[]> {
    const results: Result[] = [];
    let next = 0;
    await Promise.all(Array.from({ length: callerCount }, async () => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        while (next < count) {
            next += 1;
            const path = `/read/${next}`;
            const sentAt = Date.now();
            const response = await instance.send(path, { agent });
            const isWrong = response.status === 200 && (JSON.parse(response.body.toString()) as { readonly path: string; }).path !== path;
            results.push({ sentAt, at: Date.now(), isWrong, status: response.status });
        }
        agent.destroy();
    }));
    return results;
}

void tap.test("an upstream that sends responses twice", async t => {
    const store = await standIns.startEtcdStore();
    const [upstream] = await standIns.startUpstreams(1);
    const instances = await fleet.startFleet(["north", "south"], `http://${store.getAddress()}`);
    const [first, second] = instances as [fleet.Instance, fleet.Instance];
    t.teardown(() => Promise.all([store.process, upstream!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    await fleet.applyConfiguration(first, configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() } }));
    await upstream!.setBehaviour({ slots: 8, serviceMs: 1 });

    await t.test("while its responses are sound", async t => {
        const results = await sendReads(first, 200);
        t.equal(results.filter(({ isWrong, status }) => isWrong || status !== 200).length, 0);
        t.equal(first.process.listLogs("upstream-stray-bytes").length, 0);
    });

    await t.test("once it sends every second response again", async t => {
        await upstream!.setBehaviour({ repeatsResponsesMs: 20 });
        const results = await sendReads(first, requestCount);
        t.comment(`${results.filter(({ isWrong }) => isWrong).length} of ${results.length} responses belong to another request; ${results.filter(({ status }) => status !== 200).length} requests failed`);
        const sighting = await processes.waitFor("the instance notices", () => first.process.listLogs("upstream-stray-bytes")[0]);
        const seenAt = Number((sighting as unknown as { readonly time: number; }).time);
        const wrong = results.filter(({ isWrong }) => isWrong);
        t.strictSame(wrong.filter(({ sentAt }) => sentAt > seenAt), [], "no request that was sent after the first stray byte was seen gets another's response");
        // The instance may have passed on such a response just before it saw the first stray byte.
        const inFlight = wrong.filter(({ sentAt, at }) => sentAt <= seenAt && at >= seenAt);
        t.ok(inFlight.length <= callerCount, `${inFlight.length} of those that were waiting for a response did`);
        t.equal(wrong.filter(({ at }) => at >= seenAt + toleratedMs).length, 0, "none later");
        t.match((await processes.sendRequest(`http://${first.ports.operator}/metrics`)).body.toString(), /^agatebend_upstreams_without_reuse 1$/m);
    });

    await t.test("at the other instance", async t => {
        const [sighting] = second.process.listLogs("upstream-stray-bytes");
        t.equal(sighting?.context.reportedBy, first.id);
        t.equal((await sendReads(second, 500)).filter(({ isWrong }) => isWrong).length, 0);
        const { requests } = await second.getDump<{ readonly requests: { readonly withoutReuse: readonly { readonly upstream: string; }[]; }; }>();
        t.strictSame(requests.withoutReuse.map(({ upstream: id }) => id), ["north-0"]);
    });
});
