/** Demonstrates three instances in three failure domains, with traffic for both of Quillén's services and a gray failure of one upstream. */

import * as load from "../bench/load.js";
import * as fleet from "../test/harness/fleet.js";
import type * as processes from "../test/harness/processes.js";
import * as standIns from "../test/harness/standIns.js";

const domains = ["concepcion", "talcahuano", "chillan"];
const requestsPerSecond = 120;
const healthyMs = 4_000;
const stalledMs = 6_000;
const recoveredMs = 8_000;
const services = { suscripciones: { count: 6, floor: 4 }, "imprenta-docs": { count: 4, floor: 2 } };
const startedAt = performance.now();
const processesToStop: processes.TestProcess[] = [];

function printLine(text: string): void {
    console.log(`${((performance.now() - startedAt) / 1_000).toFixed(1).padStart(5)} s  ${text}`);
}

function createDocument(pools: Readonly<Record<string, readonly standIns.StandIn[]>>) {
    const route = (name: string, service: string, rank: string, method: string, pathPrefix: string, repeatable: boolean) => ({ name, service, rank, methods: [method], pathPrefix, repeatable, deadlineMs: 3_000 });
    return {
        ranks: [{ name: "issue", guaranteedShare: 0.4 }, { name: "proof", guaranteedShare: 0.2 }, { name: "lists", guaranteedShare: 0.1 }],
        services: Object.fromEntries(
            Object.entries(services).map(([name, { floor }]) => [name, {
                upstreams: pools[name]!.map((started, index) => ({ id: `${name.slice(0, 3)}-${index + 1}`, address: started.getAddress(), failureDomain: domains[index % 3] })),
                slots: 3,
                connections: 330,
                floor,
            }]),
        ),
        routes: [
            route("send-issue", "suscripciones", "issue", "POST", "/issues", false),
            route("lists", "suscripciones", "lists", "GET", "/lists", true),
            route("proofs", "imprenta-docs", "proof", "GET", "/proofs", true),
        ],
    };
}

async function watchEvents(instances: readonly fleet.Instance[], state: { hasEnded: boolean; }): Promise<void> {
    const printedLines = new Set<string>();
    while (!state.hasEnded) {
        for (const instance of instances) {
            for (const line of instance.process.stdoutLines) {
                const isShownEvent = /"event":"(upstream-|configuration-accepted|instance-draining|body-continued)/.test(line);
                if (isShownEvent && !printedLines.has(instance.id + line)) {
                    printedLines.add(instance.id + line);
                    printLine(`${instance.id}: ${(JSON.parse(line) as { message: string; }).message}`);
                }
            }
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
}

async function runDemo(): Promise<void> {
    const store = await standIns.startEtcdStore();
    processesToStop.push(store.process);
    const pools: Record<string, readonly standIns.StandIn[]> = {};
    for (const [name, { count }] of Object.entries(services)) {
        pools[name] = await standIns.startUpstreams(count);
        processesToStop.push(pools[name][0]!.process);
        await Promise.all(pools[name].map(started => started.setBehaviour({ serviceMs: 15 })));
    }
    printLine("started a stand-in store and stand-in upstreams for suscripciones and imprenta-docs");
    const instances = await fleet.startFleet(domains, `http://${store.getAddress()}`);
    processesToStop.push(...instances.map(instance => instance.process));
    printLine(`started three instances: ${instances.map(instance => `${instance.id} in ${instance.failureDomain}`).join(", ")}`);
    const state = { hasEnded: false };
    const watching = watchEvents(instances, state);
    await fleet.applyConfiguration(instances[0]!, createDocument(pools));
    printLine("the configuration is in force at all three instances");
    const { orderKeyPrefix } = await instances[0]!.getEntries();
    const loading = load.runLoad({
        requestsPerSecond,
        durationMs: healthyMs + stalledMs + recoveredMs,
        createRequest: index => {
            const base = `http://${instances[index % 3]!.ports.caller}`;
            if (index % 10 === 0) {
                return { url: `${base}/issues`, method: "POST", body: "issue", headers: { "x-agatebend-order-key": `${orderKeyPrefix}~${index}` }, label: "issue: send the week's issue", timeoutMs: 10_000 };
            }
            return index % 3 === 0 ? { url: `${base}/proofs/files/200000`, label: "proof: download", timeoutMs: 10_000 } : { url: `${base}/lists/${index}`, label: "lists: bulletin list", timeoutMs: 10_000 };
        },
    });
    printLine(`${requestsPerSecond} requests/s started: posted issues, proof downloads, bulletin lists`);
    await new Promise(resolve => setTimeout(resolve, healthyMs));
    await pools.suscripciones![1]!.setBehaviour({ isStalled: true });
    printLine("suscripciones/sus-2 now stalls requests; its health check still succeeds");
    await new Promise(resolve => setTimeout(resolve, stalledMs));
    await pools.suscripciones![1]!.setBehaviour({ isStalled: false });
    printLine("suscripciones/sus-2 responds normally again");
    const counts = await loading;
    state.hasEnded = true;
    await watching;
    printLine("the traffic has ended");
    const executions = await Promise.all(pools.suscripciones!.map(async started => (await started.getState<{ executions: Record<string, number>; }>()).executions));
    const repeatedOrders = executions.flatMap(counted => Object.values(counted)).filter(count => count > 1).length;
    console.log("\nrank: request                   sent complete  p50 ms   p99 ms   incomplete or rejected");
    for (const [label, counted] of [...counts].sort(([a], [b]) => a.localeCompare(b))) {
        console.log(
            `${label.padEnd(30)} ${String(counted.sent).padStart(5)} ${String(counted.ok).padStart(7)} ${counted.getLatencyMs(50).toFixed(1).padStart(8)} ${counted.getLatencyMs(99).toFixed(1).padStart(8)}   ${
                JSON.stringify(counted.refused)
            }`,
        );
    }
    console.log(`orders executed more than once: ${repeatedOrders}`);
}

try {
    await runDemo();
}
finally {
    await Promise.all(processesToStop.map(started => started.stop()));
}
