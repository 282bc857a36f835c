/** Runs the program under load against stand-ins of the platform whose workers fail at random; prints the results that callers received. */

import * as fs from "node:fs";
import * as path from "node:path";
import { parseArgs } from "node:util";
import * as failedRequests from "../test/harness/failedRequests.js";
import * as processes from "../test/harness/processes.js";
import * as platform from "../test/harness/platform.js";

const { values } = parseArgs({
    options: {
        instances: { type: "string", default: "6" },
        workers: { type: "string", default: "12" },
        seconds: { type: "string", default: "20" },
        rate: { type: "string", default: "60" },
        /** Fraction of the workers that are failing at any time. */
        failing: { type: "string", default: "0.3" },
        /** Average interval in milliseconds after which a worker's state is chosen again at random. */
        turn: { type: "string", default: "2700" },
        /** Directory for the instances' logs. */
        logs: { type: "string", default: "" },
        /** Sends three failing requests at the end, which docs/OPERATIONS.md uses as examples. */
        failures: { type: "boolean", default: false },
        help: { type: "boolean", default: false },
    },
});
const domains = ["north", "south", "east"];
const [instanceCount = 0, workerCount = 0, seconds = 0, rate = 0, failing = 0, stateIntervalMs = 0] = [values.instances, values.workers, values.seconds, values.rate, values.failing, values.turn].map(Number);

interface Tally {
    served: number;
    refused: number;
    failed: number;
    readonly latenciesMs: number[];
}

async function runEmulation(): Promise<void> {
    const testPlatform = await platform.startPlatform(workerCount);
    const instances = await Promise.all(Array.from({ length: instanceCount }, (_, index) => testPlatform.startInstance(domains[index % domains.length])));
    await Promise.all(testPlatform.workers.map((worker, index) => testPlatform.registerWorker(index, { failureDomain: domains[index % domains.length] }).then(() => worker.setBehaviour({ workMs: 250 }))));
    await Promise.all(instances.map(platform.waitUntilReady));
    const stateTimers = testPlatform.workers.map(worker => setInterval(() => void worker.setBehaviour({ failPart: Math.random() < failing ? 0.9 : 0.012 }), stateIntervalMs * (0.5 + Math.random())));
    const tallies = new Map<string, Tally>();
    const pending: Promise<void>[] = [];
    const callsBefore = await readStoreCalls(testPlatform);
    const endsAt = performance.now() + seconds * 1_000;
    while (performance.now() < endsAt) {
        const isOrder = Math.random() < 0.6;
        pending.push(sendOne(instances[Math.floor(Math.random() * instances.length)]!, isOrder, tallies));
        await new Promise(resolve => setTimeout(resolve, -Math.log(1 - Math.random()) * 1_000 / rate));
    }
    await Promise.all(pending);
    stateTimers.forEach(clearInterval);
    printTallies(tallies);
    const calls = [...await readStoreCalls(testPlatform)].map(([name, count]) => `${name} ${((count - (callsBefore.get(name) ?? 0)) / seconds / instances.length).toFixed(3)}`);
    process.stdout.write(`store calls a second of each instance, pending watches included, without startup: ${calls.join(", ")}\n`);
    await printTraffic(instances);
    if (values.failures) {
        process.stdout.write(`${JSON.stringify(await failedRequests.createFailedRequests(testPlatform, instances[0]!))}\n`);
    }
    if (values.logs !== "") {
        fs.mkdirSync(values.logs, { recursive: true });
        instances.forEach(instance => fs.writeFileSync(path.join(values.logs, `${instance.id}.log`), `${instance.process.stdoutLines.join("\n")}\n`));
    }
    await testPlatform.stop();
}

/** Reads how often the store was called, by path. */
async function readStoreCalls(testPlatform: platform.TestPlatform): Promise<ReadonlyMap<string, number>> {
    return new Map(Object.entries((await testPlatform.store.getState<{ readonly calls: Readonly<Record<string, number>>; }>()).calls));
}

async function sendOne(instance: platform.PlatformInstance, isOrder: boolean, tallies: Map<string, Tally>): Promise<void> {
    const route = isOrder ? "order" : "look";
    const tally = tallies.get(route) ?? { served: 0, refused: 0, failed: 0, latenciesMs: [] };
    tallies.set(route, tally);
    const startedAt = performance.now();
    const response = await instance.send(`/${route}/1`, isOrder ? { method: "POST", body: "x" } : {}).catch(() => undefined);
    if (response?.status === 200) {
        tally.served += 1;
        tally.latenciesMs.push(performance.now() - startedAt);
        return;
    }
    tally[response?.status === 503 ? "refused" : "failed"] += 1;
}

/** Prints the average peer traffic and CPU usage of an instance. */
async function printTraffic(instances: readonly platform.PlatformInstance[]): Promise<void> {
    const texts = await Promise.all(instances.map(async instance => (await processes.sendRequest(`http://${instance.addresses.operator}/metrics`)).body.toString()));
    const computeRate = (pattern: RegExp) => texts.flatMap(text => [...text.matchAll(pattern)]).reduce((sum, found) => sum + Number(found[1]), 0) / instances.length / seconds;
    const sameDomainRate = computeRate(/agatebend_peer_bytes_total\{direction="sent",domain="own"[^}]*\} (\S+)/g);
    const otherDomainRate = computeRate(/agatebend_peer_bytes_total\{direction="sent",domain="other"[^}]*\} (\S+)/g);
    const messages = [...new Set(texts.flatMap(text => [...text.matchAll(/agatebend_peer_bytes_total\{direction="sent",domain="other",message="([^"]+)"\}/g)]).map(found => found[1]!))];
    const messageRates = messages.map(message => [message, computeRate(new RegExp(`agatebend_peer_bytes_total\\{direction="sent",domain="other",message="${message}"\\} (\\S+)`, "g"))] as const).sort((a, b) => b[1] - a[1]);
    const cpuUsage = computeRate(/^agatebend_process_cpu_seconds_total (\d\S*)/gm);
    process.stdout.write(
        `each instance: ${(sameDomainRate / 1_000).toFixed(2)} KB/s to peers in its failure domain, ${(otherDomainRate / 1_000).toFixed(2)} KB/s to other peers, ${(100 * cpuUsage).toFixed(1)} % of a core, including startup\n`
            + `to other peers, in bytes a second: ${messageRates.map(([message, rate]) => `${message} ${Math.round(rate)}`).join(", ")}\n`,
    );
}

function printTallies(tallies: ReadonlyMap<string, Tally>): void {
    for (const [route, { served, refused, failed, latenciesMs }] of tallies) {
        const sorted = [...latenciesMs].sort((a, b) => a - b);
        const getQuantile = (quantile: number) => Math.round(sorted[Math.floor((sorted.length - 1) * quantile)] ?? 0);
        process.stdout.write(`${route}: served ${served}, refused ${refused}, failed ${failed} (${((100 * failed) / (served + refused + failed)).toFixed(2)} %), p50 ${getQuantile(0.5)} ms, p99 ${getQuantile(0.99)} ms\n`);
    }
}

if (values.help) {
    process.stdout.write("npm run emulate -- [--instances N] [--workers N] [--seconds S] [--rate REQUESTS_PER_S] [--failing FRACTION] [--turn MS] [--logs DIRECTORY] [--failures]\n");
}
else {
    await runEmulation();
}
