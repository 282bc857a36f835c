/**
 * Guards against requests that a planned stop resets unread. After a stall the timer that closes the port runs before the
 * connections and requests that arrived meanwhile are read; their callers got a reset in place of an answer.
 */

import * as http from "node:http";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const entriesTtlMs = 500;
const entriesGraceMs = 500;
const stopAfterMs = 700;
/** The port is to close meanwhile. */
const stallMs = 600;

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

void tap.test("requests that arrive while a stopping instance stands still, just before its port closes, are answered", async t => {
    const testPlatform = await platform.startPlatform(2);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": 8, "drain-timeout-ms": 600_000, "entries-ttl-ms": entriesTtlMs, "entries-grace-ms": entriesGraceMs });
    await platform.waitUntilReady(instance);
    const agents = Array.from({ length: 4 }, () => new http.Agent({ keepAlive: true, maxSockets: 1 }));
    t.teardown(() => agents.forEach(agent => agent.destroy()));
    const firstStatuses = await Promise.all(agents.map(async agent => (await instance.send("/order/1", { agent, method: "POST", body: "x" })).status));
    t.strictSame(firstStatuses, [200, 200, 200, 200]);

    instance.process.sendSignal("SIGTERM");
    await processes.waitFor("the shutdown begins", () => instance.listLogs("instance-draining").length > 0);
    await wait(stopAfterMs);
    instance.process.sendSignal("SIGSTOP");
    const sendOne = async (options: Parameters<typeof instance.send>[1]) => {
        const result = await instance.send("/order/1", { method: "POST", body: "x", ...options }).catch((error: Error) => error);
        return result instanceof Error ? result.message : result.status === 503 ? `refused, ${String(result.headers["x-agatebend-outcome"])}` : `answered ${result.status}`;
    };
    const results = [...agents.map(agent => sendOne({ agent })), ...Array.from({ length: 4 }, () => sendOne({}))];
    await wait(stallMs);
    instance.process.sendSignal("SIGCONT");
    t.strictSame((await Promise.all(results)).filter(text => text !== "answered 200" && text !== "refused, not-executed"), [], "each is answered, or refused as not executed");
    t.equal(await instance.process.waitForExit(), 0);
});
