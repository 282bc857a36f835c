/** Measures how the cost of coordination grows with the number of instances, upstreams and routes, and fits a line to each series. */

import * as fleet from "../test/harness/fleet.js";
import * as standIns from "../test/harness/standIns.js";
import * as metrics from "./metrics.js";

const measurementMs = 12_000;
const settleMs = 6_000;
/** Sizes for which the results are extrapolated. */
const targetSizes = { instances: 3_000, upstreams: 28_000, routes: 41_000 } as const;

interface Point {
    readonly size: number;
    readonly value: number;
}

/** Fits a line by least squares; the spread is the root mean square of the residuals. */
function computeLine(points: readonly Point[]): { readonly slope: number; readonly offset: number; readonly spread: number; } {
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length;
    const meanValue = points.reduce((sum, point) => sum + point.value, 0) / points.length;
    const slope = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0) / points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const offset = meanValue - slope * meanSize;
    const spread = Math.sqrt(points.reduce((sum, point) => sum + (point.value - offset - slope * point.size) ** 2, 0) / points.length);
    return { slope, offset, spread };
}

function printLine(name: string, unit: string, points: readonly Point[], target: number): void {
    const { slope, offset, spread } = computeLine(points);
    const shown = points.map(point => `${point.size}: ${point.value.toFixed(3)}`).join(", ");
    console.log(`${name} [${unit}]: ${shown}; slope ${slope.toPrecision(3)}, at 0 ${offset.toPrecision(3)}, spread ${spread.toPrecision(2)}; at ${target}: ${(offset + slope * target).toPrecision(3)} (extrapolated)`);
}

function createDocument(upstreamCount: number, routeCount: number) {
    return {
        ranks: [{ name: "urgent", guaranteedShare: 0.5 }],
        services: Object.fromEntries(Array.from({ length: Math.ceil(upstreamCount / 33) }, (_, service) => [`s${service}`, {
            upstreams: Array.from({ length: 33 }, (__, index) => ({ id: `u${index}`, address: `127.0.${service % 250}.${index + 1}:${9_000 + Math.floor(service / 250)}`, failureDomain: `d${index % 3}` })),
            slots: 3,
            connections: 330,
            floor: 20,
        }])),
        routes: Array.from(
            { length: routeCount },
            (_, index) => ({ name: `r${index}`, service: `s${index % Math.ceil(upstreamCount / 33)}`, rank: "urgent", methods: ["GET"], pathPrefix: `/w${index % 74_000}/r${index}`, repeatable: true, deadlineMs: 1_000 }),
        ),
    };
}

async function runMeasurement(instanceCount: number, upstreamCount: number, routeCount: number) {
    const store = await standIns.startEtcdStore();
    const domains = Array.from({ length: instanceCount }, (_, index) => `d${index % 3}`);
    const instances = await fleet.startFleet(domains, `http://${store.getAddress()}`, { "log-level": "info", "store-timeout-ms": 10_000 });
    try {
        const applyStartedAt = performance.now();
        const { json } = await instances[0]!.sendOperatorCall("Apply", { configurationJson: JSON.stringify(createDocument(upstreamCount, routeCount)), waitMs: 30_000 });
        const applyMs = performance.now() - applyStartedAt;
        if (json.instancesInForce !== instanceCount) {
            console.log(`NOT in force everywhere: ${JSON.stringify(json)}`);
        }
        await new Promise(resolve => setTimeout(resolve, settleMs));
        const before = await Promise.all(instances.map(metrics.readResourceUsage));
        await new Promise(resolve => setTimeout(resolve, measurementMs));
        const after = await Promise.all(instances.map(metrics.readResourceUsage));
        const rates = (get: (usage: metrics.ResourceUsage) => number) => after.map((usage, index) => (get(usage) - get(before[index]!)) / ((usage.at - before[index]!.at) / 1_000));
        const changeStartedAt = performance.now();
        await instances[0]!.sendOperatorCall("Retire", { features: ["x"], waitMs: 30_000 });
        return {
            cpuPercent: 100 * metrics.getMedian(rates(usage => usage.cpuSeconds)),
            residentMegabytes: metrics.getMedian(after.map(usage => usage.residentBytes)) / 1_048_576,
            sentKilobytes: metrics.getMedian(rates(usage => usage.peerBytesSent)) / 1_000,
            receivedKilobytes: metrics.getMedian(rates(usage => usage.peerBytesReceived)) / 1_000,
            storeCalls: rates(usage => usage.storeCalls).reduce((sum, rate) => sum + rate, 0),
            applyMs,
            changeMs: performance.now() - changeStartedAt,
        };
    }
    finally {
        await Promise.all([store.process, ...instances.map(instance => instance.process)].map(started => started.stop()));
    }
}

type Measurement = Awaited<ReturnType<typeof runMeasurement>>;

async function runSeries(name: string, sizes: readonly number[], target: number, run: (size: number) => Promise<Measurement>): Promise<void> {
    const results: { readonly size: number; readonly measured: Measurement; }[] = [];
    for (const size of sizes) {
        results.push({ size, measured: await run(size) });
    }
    console.log(`by ${name}:`);
    const units = {
        cpuPercent: "% of a core",
        residentMegabytes: "MB",
        sentKilobytes: "KB/s",
        receivedKilobytes: "KB/s",
        storeCalls: "calls/s of the fleet",
        applyMs: "ms to apply the whole configuration and be in force everywhere",
        changeMs: "ms to change one chunk and be in force everywhere",
    };
    for (const [field, unit] of Object.entries(units)) {
        printLine(`    ${field}`, unit, results.map(({ size, measured }) => ({ size, value: measured[field as keyof Measurement] })), target);
    }
}

await runSeries("instances (33 upstreams, 100 routes)", [3, 9, 17, 30], targetSizes.instances, size => runMeasurement(size, 33, 100));
await runSeries("upstreams (3 instances, 100 routes)", [33, 330, 3_300], targetSizes.upstreams, size => runMeasurement(3, size, 100));
await runSeries("routes (3 instances, 33 upstreams)", [100, 5_000, 20_000], targetSizes.routes, size => runMeasurement(3, 33, size));
