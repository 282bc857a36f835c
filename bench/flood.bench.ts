/** Measures overload by each rank: goodput, latency and rejected requests per rank, shedding, and fairness between instances. */

import * as deployments from "./deployments.js";
import * as load from "./load.js";

const serviceMs = 400;
const floodMs = 8_000;
const settleMs = 1_500;
const deadlinesMs = { urgent: 2_000, normal: 4_000, bulk: 8_000 } as const;
/** Normal load of each rank as a fraction of the capacity. */
const baseLoadFractions = { urgent: 0.3, normal: 0.15, bulk: 0.1 } as const;

type Rank = keyof typeof baseLoadFractions;

interface Scenario {
    readonly name: string;
    /** Total load of each rank as a multiple of the capacity. */
    readonly loadMultiples: Readonly<Record<Rank, number>>;
    readonly killsInstance: boolean;
}

function createFlood(rank: Rank, times: number, killsInstance = false): Scenario {
    return { name: `${rank} flood, ${times} times capacity${killsInstance ? ", instance killed" : ""}`, loadMultiples: { ...baseLoadFractions, [rank]: times }, killsInstance };
}

const scenarios: readonly Scenario[] = [
    { name: "at capacity, ranks 0.4/0.35/0.25", loadMultiples: { urgent: 0.4, normal: 0.35, bulk: 0.25 }, killsInstance: false },
    createFlood("bulk", 5),
    createFlood("bulk", 20),
    createFlood("normal", 20),
    createFlood("urgent", 20),
    createFlood("bulk", 20, true),
];

interface InstanceCounts {
    sent: number;
    good: number;
}

async function runScenario(running: deployments.RunningDeployment, deployment: deployments.Deployment, scenario: Scenario): Promise<void> {
    const capacity = (deployment.upstreams * deployment.slots * 1_000) / serviceMs;
    const ranks = Object.keys(baseLoadFractions) as Rank[];
    const total = ranks.reduce((sum, rank) => sum + scenario.loadMultiples[rank], 0) * capacity;
    const good: Record<Rank, number> = { urgent: 0, normal: 0, bulk: 0 };
    const inTime: Record<Rank, number> = { urgent: 0, normal: 0, bulk: 0 };
    const byInstance = new Map<string, InstanceCounts>();
    let runningInstances = [...running.instances].filter(instance => instance.process.exitCode === undefined);
    const readCounts = async () => {
        const states = await Promise.all(running.upstreams.map(started => started.getState<{ readonly shed: number; readonly served: number; }>()));
        return { shed: states.reduce((sum, state) => sum + state.shed, 0), served: states.reduce((sum, state) => sum + state.served, 0) };
    };
    const before = await readCounts();
    const chooseRank = (index: number): Rank => {
        // A low-discrepancy sequence (multiples of the golden ratio) mixes the ranks evenly.
        let point = ((index * 0.618_033_988_749_894_9) % 1) * ranks.reduce((sum, rank) => sum + scenario.loadMultiples[rank], 0);
        return ranks.find(rank => (point -= scenario.loadMultiples[rank]) < 0) ?? "bulk";
    };
    const startedAt = performance.now();
    const loading = load.runLoad({
        requestsPerSecond: total,
        durationMs: floodMs,
        createRequest: index => {
            const rank = chooseRank(index);
            const instance = runningInstances[index % runningInstances.length]!;
            const instanceCounts = byInstance.get(instance.id) ?? { sent: 0, good: 0 };
            byInstance.set(instance.id, instanceCounts);
            instanceCounts.sent += rank === "urgent" ? 1 : 0;
            return { url: `http://${instance.ports.caller}/${rank}/${index}`, headers: { "x-agatebend-deadline-ms": deadlinesMs[rank] }, label: rank, timeoutMs: deadlinesMs[rank] + 2_000 };
        },
        onEnd: (request, result) => {
            const rank = request.label as Rank;
            const isInTime = result.status === 200 && result.isComplete && result.latencyMs <= deadlinesMs[rank] + 50;
            inTime[rank] += isInTime ? 1 : 0;
            // Requests that complete after the end of the flood were still queued and do not count towards goodput.
            if (isInTime && performance.now() - startedAt <= floodMs) {
                good[rank] += 1;
                const instanceCounts = byInstance.get(String(result.headers["x-agatebend-instance"]));
                if (instanceCounts !== undefined && rank === "urgent") {
                    instanceCounts.good += 1;
                }
            }
        },
    });
    await new Promise(resolve => setTimeout(resolve, floodMs / 2));
    await running.upstreams[0]!.setBehaviour({ isStalled: true });
    if (scenario.killsInstance) {
        const killed = runningInstances[0]!;
        runningInstances = runningInstances.slice(1);
        killed.process.sendSignal("SIGKILL");
    }
    const counts = await loading;
    await running.upstreams[0]!.setBehaviour({ isStalled: false });
    const after = await readCounts();
    const seconds = floodMs / 1_000;
    const goodput = ranks.reduce((sum, rank) => sum + good[rank], 0) / seconds;
    const servedFractions = [...byInstance.values()].filter(served => served.sent > 20).map(served => served.good / served.sent);
    console.log(
        `${scenario.name}: goodput ${goodput.toFixed(0)}/s of ${capacity.toFixed(0)}/s; shed per served ${
            ((after.shed - before.shed) / Math.max(1, after.served - before.served)).toFixed(2)
        }; fraction of urgent requests served, by instance ${Math.min(...servedFractions).toFixed(2)} to ${Math.max(...servedFractions).toFixed(2)}`,
    );
    for (const rank of ranks) {
        const counted = counts.get(rank)!;
        const share = good[rank] / seconds / capacity;
        console.log(
            `    ${rank.padEnd(7)} sent ${String(counted.sent).padStart(6)}, in time ${(100 * inTime[rank] / counted.sent).toFixed(1).padStart(5)}% (${share.toFixed(2)} of capacity), p50 ${counted.getLatencyMs(50).toFixed(0)} p99 ${
                counted.getLatencyMs(99).toFixed(0)
            } ms, ${JSON.stringify(counted.refused)}`,
        );
    }
    await new Promise(resolve => setTimeout(resolve, settleMs + 4_000));
}

const selectedRuns = process.argv.slice(2);
const methods = {
    "shares, credits": {},
    "shares, random": { "slot-sharing": "random" },
    "strict, random": { queueing: "strict", "slot-sharing": "random" },
    "fifo, random": { queueing: "fifo", "slot-sharing": "random" },
} as const;
for (const key of ["quillen", "ashby"] as const) {
    for (const [name, flags] of Object.entries(methods)) {
        if (selectedRuns.length > 0 && !selectedRuns.includes(`${key}: ${name}`)) {
            continue;
        }
        const deployment = deployments.deployments[key];
        const running = await deployments.startDeployment(deployment, { serviceMs, deadlineMs: 8_000, flags: { ...flags, "queue-length": 400 } });
        try {
            console.log(`${deployment.name}: ${deployment.instances} instances, ${deployment.upstreams} upstreams of ${deployment.slots} slots, ${serviceMs} ms each; ${name}`);
            for (const scenario of scenarios) {
                await runScenario(running, deployment, scenario);
            }
        }
        finally {
            await running.stop();
        }
    }
}
