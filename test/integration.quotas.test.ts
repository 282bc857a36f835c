/**
 * Guards against quotas that real instances exceed, or of which they leave a part unused: links, relays and timers have
 * delays that the virtual fleet of test/quotas does not have.
 */

import tap from "tap";
import type * as Tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";
import * as resolveCaller from "../src/workspaces/resolveCaller.js";
import * as executionLog from "./quotas/executionLog.js";

const quota = { requestsPerSecond: 40, burst: 40 };
const lowerQuota = { requestsPerSecond: 10, burst: 5 };
const sendIntervalMs = 10;

type Counts = Record<"executed" | "refused" | "other", number>;

const createDocument = (upstreams: readonly standIns.StandIn[], limited: typeof quota) => ({
    ...configurations.createTestConfiguration({ upstreams: { "north-0": upstreams[0]!.getAddress(), "south-1": upstreams[1]!.getAddress() }, slots: 50 }),
    workspaces: { limited: { keyDigests: [resolveCaller.computeKeyDigest("key-1")], quota: limited }, free: { keyDigests: [resolveCaller.computeKeyDigest("key-2")] } },
});

const readQuotas = async (instance: fleet.Instance) => (await instance.getDump<{ readonly quotas: { readonly owners: readonly string[]; readonly shares: readonly number[]; }; }>()).quotas;

/** Starts a fleet with a limited workspace, and waits until its owners have all delegations. */
async function startLimitedFleet(t: Tap.Test, domains: readonly string[], flags: Readonly<Record<string, number>>) {
    const store = await standIns.startEtcdStore();
    const upstreams = await standIns.startUpstreams(2);
    const instances = await fleet.startFleet(domains, `http://${store.getAddress()}`, flags);
    t.teardown(() => Promise.all([store.process, upstreams[0]!.process, ...instances.map(instance => instance.process)].map(testProcess => testProcess.stop())));
    await fleet.applyConfiguration(instances[0]!, createDocument(upstreams, quota));
    await processes.waitFor("every limit has an owner with all delegations", async () => {
        const dumps = await Promise.all(instances.map(readQuotas));
        return dumps[0]!.shares.every((_, shard) => dumps.reduce((sum, { shares }) => sum + shares[shard]!, 0) > 0.99) && new Set(dumps.map(({ owners }) => [...owners].sort().join())).size === 1;
    });
    const log = new executionLog.ExecutionLog();
    const startedAt = performance.now();
    const retryAfters: number[] = [];
    const outcomes = new Set<string>();
    const send = async (target: fleet.Instance, key: string, counts: Counts) => {
        const response = await target.send("/read/1", { headers: { authorization: `Bearer ${key}` } }).catch(() => undefined);
        const kind = response?.status === 200 ? "executed" : response?.status === 429 ? "refused" : "other";
        counts[kind] += 1;
        if (kind === "executed" && key === "key-1") {
            log.addExecution("limited", performance.now() - startedAt);
        }
        if (response?.status === 429) {
            retryAfters.push(Number(response.headers["retry-after"]));
            outcomes.add(String(response.headers["x-agatebend-outcome"]));
        }
    };
    /** Sends requests to instances in turn, and returns how many were executed and how many refused. */
    const sendFor = async (targets: readonly fleet.Instance[], durationMs: number, key = "key-1", intervalMs = sendIntervalMs) => {
        const counts = { executed: 0, refused: 0, other: 0 };
        const pending: Promise<void>[] = [];
        const end = performance.now() + durationMs;
        for (let index = 0; performance.now() < end; index += 1) {
            pending.push(send(targets[index % targets.length]!, key, counts));
            await new Promise(resolve => setTimeout(resolve, intervalMs));
        }
        await Promise.all(pending);
        t.comment(JSON.stringify(counts));
        return counts;
    };
    return { instances, upstreams, log, retryAfters, outcomes, sendFor };
}

void tap.test("a quota in a fleet whose instances are all linked", async t => {
    const { instances, log, sendFor } = await startLimitedFleet(t, ["north", "middle", "south"], {});
    // The bucket is empty after the first instance, so the rate alone is left for the others, less what a busy machine delays.
    for (const instance of instances) {
        const counts = await sendFor([instance], 3_000);
        t.ok(counts.executed >= 0.85 * quota.requestsPerSecond * 3, `${instance.id} gets what others do not use`);
    }
    await sendFor(instances, 3_000);
    t.ok(log.computeExcess("limited", executionLog.computeBound(quota)) <= 0);
});

void tap.test("a quota in a fleet in cells", async t => {
    // With two peer links, more than three instances are linked in cells of two relays and others.
    const { instances, upstreams, log, retryAfters, outcomes, sendFor } = await startLimitedFleet(t, ["north", "north", "north", "south", "south", "south"], { "maximum-peer-links": 2 });

    await t.test("demand below the limit at one instance is admitted", async t => {
        const counts = await sendFor(instances.slice(2, 3), 4_000, "key-1", 35);
        // A process that gets no processor time for 100 ms refuses what waits for its message.
        t.ok(counts.refused <= 0.05 * counts.executed, `${counts.refused} refused of ${counts.executed}`);
    });
    await t.test("demand above the limit at one instance gets the whole limit", async t => {
        const counts = await sendFor(instances.slice(5), 5_000);
        t.ok(counts.executed >= 0.95 * quota.requestsPerSecond * 5, "the instance gets what others do not use");
        t.ok(counts.refused > 0);
        t.ok(retryAfters.every(seconds => seconds > 0 && seconds <= 10));
    });
    await t.test("a workspace without a quota is not limited", async t => {
        t.strictSame((await sendFor(instances.slice(2, 3), 1_000, "key-2")).refused, 0);
    });
    await t.test("the limit holds while an owner is frozen, and while a relay is killed", async t => {
        const { owners } = await readQuotas(instances[0]!);
        const [frozen, killed] = owners.map(id => instances.find(instance => instance.id === id)!);
        const others = instances.filter(instance => instance !== frozen && instance !== killed);
        frozen!.process.sendSignal("SIGSTOP");
        const during = await sendFor(others, 4_000);
        frozen!.process.sendSignal("SIGCONT");
        await sendFor([...others, frozen!], 2_000);
        killed!.process.sendSignal("SIGKILL");
        const afterKill = await sendFor(others, 5_000);
        t.ok(during.executed > 0 && afterKill.executed >= 0.4 * quota.requestsPerSecond * 5);
    });
    t.ok(log.computeExcess("limited", executionLog.computeBound(quota)) <= 0, `the bound is exceeded by ${log.computeExcess("limited", executionLog.computeBound(quota))}`);

    t.strictSame([...outcomes], ["not-executed"]);

    await t.test("a lower limit binds at once", async t => {
        const running = instances.filter(instance => instance.process.exitCode === undefined);
        await processes.waitFor("the lower limit is in force", async () => {
            const { status } = await running[0]!.sendOperatorCall("Apply", { configurationJson: JSON.stringify(createDocument(upstreams, lowerQuota)), waitMs: 2_000 });
            return status === 200;
        });
        const counts = await sendFor(running, 5_000);
        t.ok(counts.executed <= executionLog.computeBound(lowerQuota), `${counts.executed} executed`);
    });
    t.strictSame(instances.flatMap(instance => [...instance.listLogs("uncaught-exception"), ...instance.listLogs("task-failed"), ...instance.listLogs("quota-message-malformed")]), []);
    t.ok(instances.some(instance => instance.listLogs("quota-refused").length > 0) && instances.every(instance => instance.listLogs("quota-owner-changed").length > 0), "refusals and owners are logged");
});
