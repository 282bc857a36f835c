/** Produces three kinds of failed requests whose causes must be visible in the logs. */

import type * as platform from "./platform.js";
import * as processes from "./processes.js";

/** Larger than the part of a response that an instance buffers before it forwards it, in bytes. */
const largeFileBytes = 2_500_000;
/** The time in which a change in the store reaches the instances. */
const settleMs = 400;

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

/**
 * Causes an order that fails with 502, a lookup that is refused with 503, and a truncated download.
 * Returns the outcomes by request identifier: the status, or "cut" for the truncated download.
 * Registers the last worker for the service `vault`, which serves the downloads.
 */
export async function createFailedRequests(testPlatform: platform.TestPlatform, instance: platform.PlatformInstance): Promise<Readonly<Record<string, string>>> {
    const fileWorker = testPlatform.workers.length - 1;
    const otherWorkers = testPlatform.workers.slice(0, fileWorker);
    await testPlatform.registerWorker(fileWorker, { service: "vault" });
    await Promise.all(otherWorkers.map(worker => worker.setBehaviour({ failPart: 1, failure: "reset", spoilPart: 0 })));
    await testPlatform.workers[fileWorker]!.setBehaviour({ failPart: 0, spoilPart: 1, spoiled: "cut", bodyBytes: largeFileBytes, workMs: 20 });
    await wait(settleMs);
    const order = await instance.send("/order/1", { method: "POST", body: "issue", requestId: "order-502" });
    await Promise.all(otherWorkers.map((_, index) => testPlatform.registerWorker(index, { state: "draining" })));
    await wait(settleMs);
    const lookup = await instance.send("/look/1", { requestId: "lookup-503", deadlineMs: 300 });
    const file = await instance.send("/file/1", { requestId: "file-cut" }).catch(() => undefined);
    await processes.waitFor("the truncated download is logged", () => instance.listLogs("answer-cut").length > 0);
    return { "order-502": String(order.status), "lookup-503": String(lookup.status), "file-cut": file === undefined || !file.isComplete ? "cut" : String(file.status) };
}
