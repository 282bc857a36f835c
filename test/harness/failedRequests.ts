/** Brings about three kinds of failed request whose causes the logs must tell. */

import type * as platform from "./platform.js";
import * as processes from "./processes.js";

/** More than an instance holds back before it passes an answer on, in bytes. */
const largeFileBytes = 2_500_000;
const settleMs = 400;

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

/**
 * Causes an order answered 502, a lookup refused 503 and a download cut short; returns the answers' statuses by request.
 * The last worker is made the one of the files.
 */
export async function createFailedRequests(site: platform.TestPlatform, instance: platform.PlatformInstance): Promise<Readonly<Record<string, string>>> {
    const fileWorker = site.workers.length - 1;
    const others = site.workers.slice(0, fileWorker);
    await site.registerWorker(fileWorker, { service: "vault" });
    await Promise.all(others.map(worker => worker.setBehaviour({ failPart: 1, failure: "reset", spoilPart: 0 })));
    await site.workers[fileWorker]!.setBehaviour({ failPart: 0, spoilPart: 1, spoiled: "cut", bodyBytes: largeFileBytes, workMs: 20 });
    await wait(settleMs);
    const order = await instance.send("/order/1", { method: "POST", body: "issue", requestId: "order-502" });
    await Promise.all(others.map((_, index) => site.registerWorker(index, { state: "draining" })));
    await wait(settleMs);
    const lookup = await instance.send("/look/1", { requestId: "lookup-503", deadlineMs: 300 });
    const file = await instance.send("/file/1", { requestId: "file-cut" }).catch(() => undefined);
    await processes.waitFor("the line of the download", () => instance.listLogs("answer-cut").length > 0);
    return { "order-502": String(order.status), "lookup-503": String(lookup.status), "file-cut": file === undefined || !file.isComplete ? "cut" : String(file.status) };
}
