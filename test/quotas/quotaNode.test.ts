/**
 * Guards against quotas that are exceeded or that refuse what they should admit, and compares the two designs of
 * docs/hard-load.md: tokens that one owner for each workspace leases to the instances, and max-min shares that each instance
 * computes from the demand that all publish.
 */

import tap from "tap";
import * as randomness from "../../src/kernel/randomness.js";
import type * as quotaLimits from "../../src/quotas/quotaLimits.js";
import * as executionLog from "./executionLog.js";
import * as timeline from "./timeline.js";
import * as virtualFleet from "./virtualFleet.js";

const instanceCount = 38;
const workspaceCount = 74;
const durationMs = 30_000;
const warmUpMs = 3_000;
const publishIntervalMs = 250;
const publishDelayMs = 60;
const demandLifetimeMs = 2_000;
const demandWindowMs = 1_000;
/** What no instance demands is shared in proportion to the demand, except this part of it, which all have alike. */
const equalSpareShare = 0.2;

type Demand = "calm" | "usual" | "surges";
type Send = (index: number, workspace: string, listener: (isExecuted: boolean) => void) => void;

interface Load {
    readonly quotas: Readonly<Record<string, quotaLimits.Quota>>;
    readonly rates: Readonly<Record<string, number>>;
}

/** Creates limits of 12 to 200 requests a second, and demand of which most workspaces use a third to nine tenths of theirs. */
function createLoad(random: randomness.Randomness, demand: Demand): Load {
    const quotas: Record<string, quotaLimits.Quota> = {};
    const rates: Record<string, number> = {};
    for (let index = 0; index < workspaceCount; index += 1) {
        const requestsPerSecond = Math.round(12 * (200 / 12) ** (random.getFraction() ** 3));
        quotas[`w${index}`] = { requestsPerSecond, burst: requestsPerSecond };
        // Single workspaces are near their limit or far above it.
        const usual = index % 10 === 1 && demand !== "calm" ? 0.95 : 0.05 + 0.25 * random.getFraction();
        rates[`w${index}`] = requestsPerSecond * (demand === "surges" && index % 10 === 0 ? 1.5 : usual);
    }
    return { quotas, rates };
}

/** Sends the load: each workspace has three callers, each of which uses one instance and changes it now and then. */
function runLoad({ quotas, rates }: Load, fleet: { readonly time: timeline.Timeline; }, random: randomness.Randomness, send: Send) {
    let offered = 0;
    let isOver = false;
    const refusals: (() => number)[] = [];
    const { time } = fleet;
    for (const [workspace, rate] of Object.entries(rates)) {
        // The limit as one bucket would apply it, which knows every request at once.
        const { requestsPerSecond, burst } = quotas[workspace]!;
        let ideal = burst;
        let idealAt = time.now;
        let idealCount = 0;
        let count = 0;
        refusals.push(() => Math.max(0, idealCount - count));
        let callers = [0, 1, 2].map(() => Math.floor(random.getFraction() * instanceCount));
        const sendNext = () => {
            const caller = Math.floor(random.getFraction() * 3);
            if (random.getFraction() < 1 / (3 * rate)) {
                callers = callers.map((index, position) => position === caller ? Math.floor(random.getFraction() * instanceCount) : index);
            }
            ideal = Math.min(burst, ideal + (time.now - idealAt) * requestsPerSecond / 1_000);
            idealAt = time.now;
            const isBelow = ideal >= 1;
            ideal -= isBelow ? 1 : 0;
            if (time.now > warmUpMs && !isOver) {
                offered += 1;
                idealCount += isBelow ? 1 : 0;
                send(callers[caller]!, workspace, isExecuted => {
                    count += isExecuted ? 1 : 0;
                });
            }
            time.scheduleOnce(-Math.log(1 - random.getFraction()) * 1_000 / rate, sendNext);
        };
        time.scheduleOnce(1_000 * random.getFraction(), sendNext);
    }
    time.addTime(durationMs);
    isOver = true;
    time.addTime(1_000);
    return { offered, refusedBelow: refusals.reduce((sum, countRefused) => sum + countRefused(), 0) };
}

function computeWorstExcess(log: executionLog.ExecutionLog, { quotas }: Load): { readonly overLimit: number; readonly overBound: number; } {
    const excesses = Object.entries(quotas).map(([workspace, quota]) => ({
        overLimit: log.computeExcess(workspace, executionLog.computeBound(quota, false)) / executionLog.computeBound(quota, false),
        overBound: log.computeExcess(workspace, executionLog.computeBound(quota)),
    }));
    return { overLimit: Math.max(...excesses.map(({ overLimit }) => overLimit)), overBound: Math.max(...excesses.map(({ overBound }) => overBound)) };
}

/** Runs the load against nodes that lease tokens from owners. */
function runLeases(seed: number, demand: Demand, disturb: (fleet: virtualFleet.VirtualFleet) => void = () => {}) {
    const random = randomness.createSeededRandomness(seed);
    const load = createLoad(random, demand);
    const fleet = new virtualFleet.VirtualFleet({ seed, count: instanceCount, hasCells: true });
    fleet.setQuotas(load.quotas);
    disturb(fleet);
    const result = runLoad(load, fleet, random, (index, workspace, listener) => fleet.sendRequest(index, workspace, listener));
    const waited = fleet.waits.sort((a, b) => a - b);
    return {
        ...result,
        ...computeWorstExcess(fleet.log, load),
        messagesPerSecond: Math.round(fleet.messages / durationMs * 1_000 / instanceCount),
        bytesPerSecond: Math.round(fleet.bytes / durationMs * 1_000 / instanceCount),
        domainBytesPerSecond: Math.round(fleet.domainBytes / durationMs * 1_000 / instanceCount),
        waitShare: waited.filter(waitMs => waitMs > 0).length / waited.length,
        waitP90: waited[Math.floor(waited.length * 0.9)],
        waitP99: waited[Math.floor(waited.length * 0.99)],
    };
}

/** Runs the load against instances that each compute their share from the demand that all have published. */
function runShares(seed: number, demand: Demand, cutMs = 0) {
    const random = randomness.createSeededRandomness(seed);
    const load = createLoad(random, demand);
    const time = new timeline.Timeline();
    const log = new executionLog.ExecutionLog();
    let messages = 0;
    let isCut = false;
    const nodes = Array.from({ length: instanceCount }, () => ({
        counts: new Map<string, number>(),
        smoothed: new Map<string, number>(),
        published: new Map<number, { readonly rates: ReadonlyMap<string, number>; readonly at: number; }>(),
        buckets: new Map<string, { level: number; at: number; }>(),
    }));
    const publish = (index: number) => {
        const { counts, smoothed } = nodes[index]!;
        const weight = 1 - Math.exp(-publishIntervalMs / demandWindowMs);
        for (const workspace of new Set([...counts.keys(), ...smoothed.keys()])) {
            smoothed.set(workspace, (smoothed.get(workspace) ?? 0) * (1 - weight) + (counts.get(workspace) ?? 0) / publishIntervalMs * weight);
        }
        const rates = new Map(smoothed);
        nodes.forEach((node, other) => {
            if (other === index || !isCut || (other < 13) === (index < 13)) {
                time.scheduleOnce(other === index ? 1 : publishDelayMs * (0.5 + random.getFraction()), () => node.published.set(index, { rates, at: time.now }));
            }
        });
        messages += instanceCount - 1;
        nodes[index]!.counts = new Map();
        time.scheduleOnce(publishIntervalMs, () => publish(index));
    };
    nodes.forEach((_, index) => time.scheduleOnce(publishIntervalMs * random.getFraction(), () => publish(index)));
    const computeShare = (index: number, workspace: string, limitPerMs: number): number => {
        const demands = [...nodes[index]!.published].map(([other, { rates, at }]) => ({ other, rate: time.now - at < demandLifetimeMs ? rates.get(workspace) ?? 0 : 0 })).sort((a, b) => a.rate - b.rate);
        let left = limitPerMs;
        for (const [position, { other, rate }] of demands.entries()) {
            const fair = left / (demands.length - position);
            const part = Math.min(rate, fair);
            if (other === index) {
                const total = demands.reduce((sum, entry) => sum + entry.rate, 0);
                const spare = Math.max(0, limitPerMs - total);
                return part + spare * (equalSpareShare / instanceCount + (1 - equalSpareShare) * (total === 0 ? 1 / instanceCount : rate / total));
            }
            left -= part;
        }
        return limitPerMs / instanceCount;
    };
    if (cutMs > 0) {
        time.scheduleOnce(10_000, () => isCut = true);
        time.scheduleOnce(10_000 + cutMs, () => isCut = false);
    }
    const result = runLoad(load, { time }, random, (index, workspace, listener) => {
        const node = nodes[index]!;
        const { requestsPerSecond, burst } = load.quotas[workspace]!;
        node.counts.set(workspace, (node.counts.get(workspace) ?? 0) + 1);
        const share = computeShare(index, workspace, requestsPerSecond / 1_000);
        const bucket = node.buckets.get(workspace) ?? { level: burst / instanceCount, at: time.now };
        node.buckets.set(workspace, bucket);
        bucket.level = Math.min(Math.max(1, burst * share * 1_000 / requestsPerSecond), bucket.level + (time.now - bucket.at) * share);
        bucket.at = time.now;
        const isExecuted = bucket.level >= 1;
        if (isExecuted) {
            bucket.level -= 1;
            log.addExecution(workspace, time.now);
        }
        listener(isExecuted);
    });
    return { ...result, ...computeWorstExcess(log, load), messagesPerSecond: Math.round(messages / durationMs * 1_000 / instanceCount) };
}

void tap.test("leased tokens and computed shares", async t => {
    const results = {
        leasesCalm: runLeases(4, "calm"),
        leasesUsual: runLeases(1, "usual"),
        sharesUsual: runShares(1, "usual"),
        leasesSurges: runLeases(2, "surges"),
        sharesSurges: runShares(2, "surges"),
        leasesCut: runLeases(3, "surges", fleet => fleet.time.scheduleOnce(10_000, () => fleet.setCut(Array.from({ length: 13 }, (_, index) => index), 10_000))),
        sharesCut: runShares(3, "surges", 10_000),
    };
    Object.entries(results).forEach(([name, result]) => t.comment(`${name} ${JSON.stringify(result)}`));
    t.equal(results.leasesCalm.refusedBelow, 0);
    t.ok(results.leasesUsual.refusedBelow <= results.leasesUsual.offered * 0.002, "hardly a request below the limit is refused");
    t.ok(results.leasesSurges.refusedBelow <= results.leasesSurges.offered * 0.002);
    t.ok(results.leasesUsual.refusedBelow < results.sharesUsual.refusedBelow);
    t.ok(results.leasesUsual.overBound <= 0 && results.leasesSurges.overBound <= 0 && results.leasesCut.overBound <= 0);
});
