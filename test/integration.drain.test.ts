/** Stopping instances and draining upstreams do not interrupt requests in flight, and draining upstreams get no new requests. */

import * as crypto from "node:crypto";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";
import * as upstream from "./standins/upstream.js";

const fileBytes = 2 * 1024 * 1024;
const drainTimeLimitMs = 3_000;

/** A caller that caches the response of `/v1/entries` for its validity, as the README describes. */
class Caller {
    private entries: Awaited<ReturnType<fleet.Instance["getEntries"]>> | undefined;
    private readAt = -Infinity;

    constructor(private readonly initialAddresses: string[]) {}

    async send(path: string, options: processes.SendRequestOptions = {}): Promise<processes.HttpResponse> {
        if (this.entries === undefined || performance.now() - this.readAt > this.entries.keepForMs) {
            this.readAt = performance.now();
            const [address] = this.entries?.entries.map(entry => entry.address) ?? this.initialAddresses;
            this.entries = JSON.parse((await processes.sendRequest(`http://${address}/v1/entries?workspace=w${Math.random()}`)).body.toString()) as NonNullable<typeof this.entries>;
        }
        return processes.sendRequest(`http://${this.entries.entries[0]!.address}${path}`, options);
    }
}

void tap.test("draining and stopping", async t => {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(4);
    const storeUrl = `http://${store.getAddress()}`;
    let instances = [...await fleet.startFleet(["north", "middle", "south"], storeUrl)];
    const startedProcesses = [store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)];
    t.teardown(() => Promise.all(startedProcesses.map(testProcess => testProcess.stop())));
    const document = configurations.createTestConfiguration({ upstreams: Object.fromEntries(upstreams.map((standIn, index) => [`north-${index}`, standIn.getAddress()])), floor: 2 });
    await fleet.applyConfiguration(instances[0]!, document);

    await t.test("a rolling replacement of every instance under load", async t => {
        let isOver = false;
        const failures: string[] = [];
        let responseCount = 0;
        const callers = Array.from({ length: 12 }, async (_, index) => {
            const caller = new Caller([instances[index % 3]!.ports.caller]);
            while (!isOver) {
                const response = await caller.send(index % 3 === 0 ? `/files/${fileBytes}` : `/read/${index}`).catch((error: unknown) => String(error));
                if (typeof response === "string" || response.status !== 200 || !response.isComplete) {
                    failures.push(typeof response === "string" ? response : `${response.status} ${response.isComplete} ${response.body.toString()}`);
                }
                responseCount += 1;
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        });
        for (let index = 0; index < 3; index += 1) {
            const leaving = instances[0]!;
            const replacement = await fleet.startInstance({ id: `n${index}`, failureDomain: leaving.failureDomain, storeUrl, seeds: instances.map(instance => instance.ports.peer) });
            startedProcesses.push(replacement.process);
            await processes.waitFor("the new instance is ready", async () => (await processes.sendRequest(`http://${replacement.ports.operator}/readyz`)).status === 200);
            leaving.process.sendSignal("SIGTERM");
            t.equal(await leaving.process.waitForExit(), 0, `${leaving.id} stopped`);
            instances = [...instances.slice(1), replacement];
        }
        isOver = true;
        await Promise.all(callers);
        t.strictSame(failures, [], `no failed request of ${responseCount}`);
    });

    await t.test("an instance stops while a download, orders and queued requests are in flight", async t => {
        const [leaving] = instances;
        const { orderKeyPrefix } = await leaving!.getEntries();
        await Promise.all(upstreams.map(standIn => standIn.setBehaviour({ blockDelayMs: 60, serviceMs: 300 })));
        const download = leaving!.send(`/files/${fileBytes}`);
        const orders = Array.from({ length: 20 }, (_, index) => leaving!.send("/orders", { method: "POST", body: "x", headers: { "x-agatebend-order-key": `${orderKeyPrefix}~${index}` } }));
        await new Promise(resolve => setTimeout(resolve, 150));
        leaving!.process.sendSignal("SIGTERM");
        const responses = await Promise.all(orders);
        t.ok(responses.every(response => response.status === 200 && response.headers["x-agatebend-outcome"] === "executed"), "every order was executed and answered");
        const file = await download;
        t.equal(crypto.createHash("sha256").update(file.body).digest("hex"), upstream.computeFileHash(fileBytes), "the download is complete");
        t.equal(await leaving!.process.waitForExit(), 0);
        instances = instances.slice(1);
        await Promise.all(upstreams.map(standIn => standIn.setBehaviour({ blockDelayMs: 0, serviceMs: 10 })));
    });

    await t.test("an upstream announces that it drains", async t => {
        let isOver = false;
        const callers = instances.map(async instance => {
            while (!isOver) {
                await instance.send("/read/1");
            }
        });
        const countArrived = async () => (await upstreams[0]!.getState<{ arrived: number; }>()).arrived;
        await upstreams[0]!.setBehaviour({ isDraining: true });
        await new Promise(resolve => setTimeout(resolve, drainTimeLimitMs));
        const arrivedBefore = await countArrived();
        await new Promise(resolve => setTimeout(resolve, 1_000));
        t.equal(await countArrived(), arrivedBefore, "no new requests after 3 s, while the configuration still lists the upstream");
        const drained = await instances[0]!.sendOperatorCall("Drain", { upstream: "docs/north-1" });
        t.equal(drained.status, 200);
        await new Promise(resolve => setTimeout(resolve, drainTimeLimitMs));
        const drainedBefore = (await upstreams[1]!.getState<{ arrived: number; }>()).arrived;
        await new Promise(resolve => setTimeout(resolve, 500));
        t.equal((await upstreams[1]!.getState<{ arrived: number; }>()).arrived, drainedBefore, "no new requests to an upstream that an operator drained");
        isOver = true;
        await Promise.all(callers);
    });
});
