/** Measures outlier detection: time to route around a failure, affected requests, wrong ejections, and the minimum number of routable upstreams compared with the floor. */

import * as deployments from "./deployments.js";
import * as load from "./load.js";

const requestsPerSecondPerUpstream = 20;
const serviceMs = 25;
const deadlineMs = 2_000;
/** A request counts as affected if it fails or takes longer than this. */
const affectedLatencyMs = 500;
const targetMs = 1_000;
const scenarioMs = 5_000;
const settleMs = 9_000;

/** A failure that is injected and removed. */
interface Scenario {
    readonly name: string;
    /** Index of the upstream that fails; undefined if no upstream should be ejected. */
    readonly failingUpstream: number | undefined;
    readonly durationMs: number;
    readonly start: (running: deployments.RunningDeployment, deployment: deployments.Deployment) => Promise<void>;
    readonly stop: (running: deployments.RunningDeployment) => Promise<void>;
    readonly extraRequestsPerSecond?: number;
}

function createBehaviourScenario(name: string, failingUpstream: number, change: object, undo: object): Scenario {
    return { name, failingUpstream, durationMs: scenarioMs, start: running => running.upstreams[failingUpstream]!.setBehaviour(change), stop: running => running.upstreams[failingUpstream]!.setBehaviour(undo) };
}

const setAllBehaviours = (running: deployments.RunningDeployment, change: object) => Promise.all(running.upstreams.map(started => started.setBehaviour(change))).then(() => {});

const scenarios: readonly Scenario[] = [
    { name: "nothing fails", failingUpstream: undefined, durationMs: scenarioMs, start: async () => {}, stop: async () => {} },
    createBehaviourScenario("stall, health good", 1, { isStalled: true }, { isStalled: false }),
    createBehaviourScenario("ten times slower", 2, { serviceMs: serviceMs * 10 + 50 }, { serviceMs }),
    createBehaviourScenario("errors on real work", 3, { errorPart: 0.9 }, { errorPart: 0 }),
    {
        name: "flapping, 1.5 s each way",
        failingUpstream: 4,
        durationMs: 9_000,
        start: async running => {
            for (let flap = 0; flap < 6; flap += 1) {
                setTimeout(() => void running.upstreams[4]!.setBehaviour({ isStalled: flap % 2 === 0 }), flap * 1_500);
            }
        },
        stop: running => running.upstreams[4]!.setBehaviour({ isStalled: false }),
    },
    {
        name: "cut from one failure domain",
        failingUpstream: undefined,
        durationMs: scenarioMs,
        start: (running, deployment) => running.upstreams[5]!.setBehaviour({ cutFrom: running.instances.filter(instance => instance.failureDomain === deployment.domains[0]).map(instance => instance.id).join(",") }),
        stop: running => running.upstreams[5]!.setBehaviour({ cutFrom: "" }),
    },
    { name: "the whole service four times slower", failingUpstream: undefined, durationMs: scenarioMs, start: running => setAllBehaviours(running, { serviceMs: serviceMs * 4 }), stop: running => setAllBehaviours(running, { serviceMs }) },
    { name: "bulk flood", failingUpstream: undefined, durationMs: scenarioMs, extraRequestsPerSecond: 900, start: running => setAllBehaviours(running, { serviceMs: 80 }), stop: running => setAllBehaviours(running, { serviceMs }) },
];

interface EjectionEvent {
    readonly at: number;
    readonly instance: string;
    readonly upstream: string;
    readonly isEjection: boolean;
}

function listEvents(running: deployments.RunningDeployment): readonly EjectionEvent[] {
    return running.instances.flatMap(instance =>
        ["ejected", "recovering"].flatMap(change =>
            instance.listLogs(`upstream-${change}`).map(line => ({
                at: (line as unknown as { readonly time: number; }).time,
                instance: instance.id,
                upstream: String(line.context.upstream),
                isEjection: change === "ejected",
            }))
        )
    ).sort((a, b) => a.at - b.at);
}

/** Returns the maximum number of upstreams ejected at the same time, counting those ejected by any instance. */
function computeMaximumEjected(events: readonly EjectionEvent[]): number {
    const ejected = new Set<string>();
    let maximum = 0;
    for (const event of events) {
        const key = `${event.instance}/${event.upstream}`;
        if (event.isEjection) {
            ejected.add(key);
        }
        else {
            ejected.delete(key);
        }
        maximum = Math.max(maximum, new Set([...ejected].map(name => name.split("/")[1])).size);
    }
    return maximum;
}

async function runScenario(running: deployments.RunningDeployment, deployment: deployments.Deployment, scenario: Scenario): Promise<string> {
    const base = requestsPerSecondPerUpstream * deployment.upstreams;
    const rate = base + (scenario.extraRequestsPerSecond ?? 0);
    const eventsBefore = listEvents(running).length;
    const affected = { urgent: 0, bulk: 0 };
    let sent = 0;
    const loading = load.runLoad({
        requestsPerSecond: rate,
        durationMs: scenario.durationMs + 1_000,
        createRequest: index => {
            // A low-discrepancy sequence (multiples of the golden ratio) mixes the ranks evenly.
            const rank = ((index * 0.618_033_988_749_894_9) % 1) * rate < base ? "urgent" : "bulk";
            return { url: `http://${running.instances[index % running.instances.length]!.ports.caller}/${rank}/${index}`, label: rank, timeoutMs: deadlineMs + 1_000 };
        },
        onEnd: (request, result) => {
            sent += 1;
            affected[request.label as "urgent"] += result.status !== 200 || !result.isComplete || result.latencyMs > affectedLatencyMs ? 1 : 0;
        },
    });
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const failedAt = Date.now();
    await scenario.start(running, deployment);
    await loading;
    await scenario.stop(running);
    const events = listEvents(running).slice(eventsBefore);
    const wrongEjections = events.filter(event => event.isEjection && event.upstream !== `u${scenario.failingUpstream}`).length;
    let detected = "-";
    if (scenario.failingUpstream !== undefined) {
        const { arrivals } = await running.upstreams[scenario.failingUpstream]!.getState<{ readonly arrivals: readonly { readonly via: string; readonly at: number; }[]; }>();
        const late = arrivals.filter(arrival => arrival.at > failedAt && arrival.at < failedAt + 3_800).map(arrival => arrival.at - failedAt);
        const last = late.length === 0 ? 0 : Math.max(...late);
        const first = events.find(event => event.isEjection && event.upstream === `u${scenario.failingUpstream}`);
        detected = `${first === undefined ? "not ejected" : `ejected after ${first.at - failedAt} ms`}, last request sent after ${last} ms`;
    }
    if (wrongEjections > 0) {
        running.instances.flatMap(instance => instance.listLogs("upstream-ejected")).slice(-wrongEjections).forEach(line => console.log(`    ${line.message}`));
    }
    await new Promise(resolve => setTimeout(resolve, settleMs));
    return `${scenario.name.padEnd(36)} | ${detected.padEnd(54)} | affected: urgent ${affected.urgent}, bulk ${affected.bulk} of ${sent} | wrong ejections ${wrongEjections} | minimum routable ${
        deployment.upstreams - computeMaximumEjected(listEvents(running))
    } (floor ${deployment.floor})`;
}

const selectedScenarios = process.argv.find(word => word.startsWith("--only="))?.slice("--only=".length);
const selectedRuns = process.argv.slice(2).filter(word => !word.startsWith("--"));
for (const [key, method] of [["quillen", "shared"], ["ashby", "shared"], ["quillen", "local"], ["quillen", "consecutive"]] as const) {
    if (selectedRuns.length > 0 && !selectedRuns.includes(`${key}:${method}`)) {
        continue;
    }
    const deployment = deployments.deployments[key];
    const running = await deployments.startDeployment(deployment, { serviceMs, deadlineMs, flags: { detection: method } });
    try {
        console.log(`${deployment.name}: ${deployment.instances} instances, ${deployment.upstreams} upstreams, ${requestsPerSecondPerUpstream} requests/s per upstream; detection ${method}; target ${targetMs} ms`);
        for (const scenario of scenarios.filter(({ name }) => selectedScenarios === undefined || selectedScenarios.split(";").some(part => name.includes(part)))) {
            console.log(await runScenario(running, deployment, scenario));
        }
    }
    finally {
        await running.stop();
    }
}
