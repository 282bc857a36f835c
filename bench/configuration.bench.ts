/** Measures the time from the acceptance of a configuration change until it is in force everywhere, and the number of store calls. */

import * as processes from "../test/harness/processes.js";
import * as deployments from "./deployments.js";
import * as metrics from "./metrics.js";

const changeCount = 20;
const idleMs = 10_000;
const targetMs = 5_000;

const deployment = deployments.deployments.ashby;
const running = await deployments.startDeployment(deployment, { serviceMs: 25, deadlineMs: 2_000, flags: { "store-timeout-ms": 1_000 } });
try {
    const countCalls = async () => Object.values((await running.store.getState<{ readonly calls: Record<string, number>; }>()).calls).reduce((sum, count) => sum + count, 0);
    const callsBeforeIdle = await countCalls();
    await new Promise(resolve => setTimeout(resolve, idleMs));
    console.log(`${running.instances.length} instances, no changes: ${((await countCalls()) - callsBeforeIdle) / (idleMs / 1_000)} store calls/s in all`);
    for (const [name, storeChange] of [["store normal", {}], ["store 300 ms slow", { delayMs: 300 }]] as const) {
        await running.store.setBehaviour(storeChange);
        const rolloutTimes: number[] = [];
        const callTimes: number[] = [];
        const before = await countCalls();
        const startedAt = performance.now();
        for (let index = 0; index < changeCount; index += 1) {
            const sentAt = performance.now();
            const { json } = await running.instances[index % running.instances.length]!.sendOperatorCall("Retire", { features: [`${name.replaceAll(" ", "-")}-${index}`], waitMs: 10_000 });
            callTimes.push(performance.now() - sentAt);
            const version = Number(json.version);
            // An instance may skip to a later version, so the first version that is new enough counts.
            const listTimes = () =>
                running.instances.map(instance =>
                    Math.min(
                        ...["configuration-in-force", "configuration-accepted"].flatMap(event => instance.listLogs(event)).filter(line => Number(line.context.version) >= version).map(line =>
                            (line as unknown as { readonly time: number; }).time
                        ),
                    )
                );
            const times = await processes.waitFor("every instance has logged the version", () => listTimes().every(Number.isFinite) ? listTimes() : undefined);
            rolloutTimes.push(Math.max(...times) - Math.min(...times));
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        const calls = ((await countCalls()) - before) / ((performance.now() - startedAt) / 1_000);
        const worst = Math.max(...rolloutTimes);
        console.log(
            `${name}: ${changeCount} changes; accepted to in force at all ${running.instances.length}: median ${metrics.getMedian(rolloutTimes).toFixed(0)} ms, worst ${worst.toFixed(0)} ms; operator call returned after ${
                metrics.getMedian(callTimes).toFixed(0)
            } ms; ${calls.toFixed(1)} store calls/s in all; target ${targetMs} ms: ${worst < targetMs ? "met" : "NOT MET"}`,
        );
    }
}
finally {
    await running.stop();
}
