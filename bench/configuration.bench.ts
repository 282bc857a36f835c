/** Measures the time from a change's acceptance until it is in force everywhere, and the store's calls. */

import * as processes from "../test/harness/processes.js";
import * as deployments from "./deployments.js";
import * as metrics from "./metrics.js";

const changes = 20;
const quietMs = 10_000;
const targetMs = 5_000;

const deployment = deployments.deployments.ashby;
const running = await deployments.startDeployment(deployment, { serviceMs: 25, deadlineMs: 2_000, flags: { "store-timeout-ms": 1_000 } });
try {
    const countCalls = async () => Object.values((await running.store.getState<{ readonly calls: Record<string, number>; }>()).calls).reduce((sum, count) => sum + count, 0);
    const quietBefore = await countCalls();
    await new Promise(resolve => setTimeout(resolve, quietMs));
    console.log(`${running.instances.length} instances, nothing changes: ${((await countCalls()) - quietBefore) / (quietMs / 1_000)} store calls/s in all`);
    for (const [name, storeChange] of [["store well", {}], ["store 300 ms slow", { delayMs: 300 }]] as const) {
        await running.store.setBehaviour(storeChange);
        const spans: number[] = [];
        const answers: number[] = [];
        const before = await countCalls();
        const startedAt = performance.now();
        for (let index = 0; index < changes; index += 1) {
            const sentAt = performance.now();
            const { json } = await running.instances[index % running.instances.length]!.sendOperatorCall("Retire", { features: [`${name.replaceAll(" ", "-")}-${index}`], waitMs: 10_000 });
            answers.push(performance.now() - sentAt);
            const version = Number(json.version);
            // An instance may take a later version at once, so the first one that is new enough counts.
            const listTimes = () =>
                running.instances.map(instance =>
                    Math.min(
                        ...["configuration-in-force", "configuration-accepted"].flatMap(event => instance.listLogs(event)).filter(line => Number(line.context.version) >= version).map(line =>
                            (line as unknown as { readonly time: number; }).time
                        ),
                    )
                );
            const times = await processes.waitFor("every instance has logged it", () => listTimes().every(Number.isFinite) ? listTimes() : undefined);
            spans.push(Math.max(...times) - Math.min(...times));
            await new Promise(resolve => setTimeout(resolve, 50));
        }
        const calls = ((await countCalls()) - before) / ((performance.now() - startedAt) / 1_000);
        const worst = Math.max(...spans);
        console.log(
            `${name}: ${changes} changes; accepted to in force at all ${running.instances.length}: median ${metrics.getMedian(spans).toFixed(0)} ms, worst ${worst.toFixed(0)} ms; operator's answer after ${
                metrics.getMedian(answers).toFixed(0)
            } ms; ${calls.toFixed(1)} store calls/s in all; target ${targetMs} ms: ${worst < targetMs ? "met" : "NOT MET"}`,
        );
    }
}
finally {
    await running.stop();
}
