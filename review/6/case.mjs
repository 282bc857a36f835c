/** Some machines' connections to the store are reset while workers leave; see claim.txt. */

import * as path from "node:path";
import * as url from "node:url";
import * as platform from "../lib-2/platform.mjs";

const directory = path.dirname(url.fileURLToPath(import.meta.url));
const { now, sleep } = platform;
/** Those of ashby-gate-grown, in milliseconds. */
const bounds = { drainMs: 2_500, stableWindowMs: 3_000 };
const machineCount = 7;
/** Three of seven machines at a time: a share of 0.43. */
const resetCount = 3;
const resetGapMs = 500;
const workerCount = 16;
const leavingCount = 10;
const leavingGapMs = 700;

await platform.runCase(directory, async ({ record, addCleanup }) => {
    const store = new platform.Store();
    await store.start();
    addCleanup(() => store.stop());
    const workers = [];
    for (let index = 0; index < workerCount; index += 1) {
        const worker = new platform.Worker(store, `i-${index}`);
        await worker.start();
        addCleanup(() => worker.stop());
        workers.push(worker);
        worker.register();
    }
    store.put("op/config", platform.createConfiguration(7, [
        { name: "r-look", prefix: "/look/", kind: "safe", service: "desk" },
        { name: "r-order", prefix: "/order/", kind: "unsafe", service: "desk" },
    ]));
    // Each machine reaches the store by a proxy of its own, which can reset its connections.
    const proxies = [];
    for (let index = 0; index < machineCount; index += 1) {
        const proxy = new platform.ForgetfulProxy();
        await proxy.start(store.address);
        addCleanup(() => proxy.stop());
        proxies.push(proxy);
    }
    const fleet = new platform.Fleet(index => proxies[index].address, record);
    addCleanup(() => fleet.stop());
    await fleet.start(machineCount);
    let isSending = true;
    const sent = [];
    const clients = fleet.instances.map(async ({ listenAddrs }) => {
        while (isSending) {
            sent.push(platform.send({ address: listenAddrs.front, path: "/look/2f", record }));
            sent.push(platform.send({ address: listenAddrs.front, method: "POST", path: "/order/2f", body: "two envelopes", record }));
            await sleep(150);
        }
    });
    await sleep(6_000);

    let lastResetAt = -Infinity;
    let isResetting = platform.hasTrouble;
    const resets = (async () => {
        for (let first = 0; isResetting; first += resetCount) {
            for (let index = first; index < first + resetCount; index += 1) {
                const count = proxies[index % machineCount].reset();
                record.write(`${count} connections between ${fleet.instances[index % machineCount].name} and the store are reset`);
            }
            lastResetAt = now();
            await sleep(resetGapMs);
        }
    })();
    const goneAt = new Map();
    for (let index = 0; index < leavingCount; index += 1) {
        await sleep(leavingGapMs);
        goneAt.set(`i-${index}`, workers[index].leave());
        record.write(`the store acknowledged that i-${index} is gone`);
    }
    isResetting = false;
    await resets;
    await sleep(7_000);
    isSending = false;
    await Promise.all(clients);
    const answers = new Map((await Promise.all(sent)).map(answer => [answer.requestId, answer]));
    const served = [...answers.values()].filter(({ status }) => status === 200).length;
    record.write(`${served} of ${answers.size} requests were served`);
    if (served < answers.size / 2) {
        throw new Error("less than half of the requests were served");
    }
    const failures = [];
    for (const worker of workers) {
        for (const { requestId, path: requestPath, arrivedAt } of worker.runs) {
            record.write(`${worker.id} ran ${requestId} ${requestPath} at ${arrivedAt.toFixed(0)}`);
            const { sentAt } = answers.get(requestId);
            // Only while no connection of any machine has been reset for stableWindowS.
            const isInTouch = sentAt >= lastResetAt + bounds.stableWindowMs;
            const lateMs = arrivedAt - (goneAt.get(worker.id) ?? Infinity) - bounds.drainMs;
            if (isInTouch && lateMs > 0) {
                failures.push(`DRAIN: ${worker.id} got ${requestId} ${lateMs.toFixed(0)} ms after drainS; its client sent it ${(sentAt - lastResetAt).toFixed(0)} ms after the last reset`);
            }
        }
    }
    return failures;
});
