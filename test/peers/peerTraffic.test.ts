/**
 * Guards against traffic between failure domains that grows with the fleet or exceeds its limit, which platforms charge for.
 * Instances have real links in one process, the settings of deploy/settings.template, and upstreams that they use and report on.
 * INSTANCES=13,39,130 measures other fleets (with a longer --timeout), FAILING=0.3 another share of failing attempts.
 */

import * as promClient from "prom-client";
import tap from "tap";
import type * as configuration from "../../src/configuration/index.js";
import * as clock from "../../src/kernel/clock.js";
import type * as context from "../../src/kernel/context.js";
import * as loop from "../../src/kernel/loop.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as mesh from "../../src/peers/mesh.js";
import * as pool from "../../src/pool/index.js";
import * as upstreamHealth from "../../src/upstreamHealth/index.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";

const fleetSizes = (process.env["INSTANCES"] ?? "13,39").split(",").map(Number);
const domains = ["north", "middle", "south"];
const upstreamCount = 252;
const slots = 6;
const requestsPerSecond = 3.5;
const workMs = 500;
/** The share of attempts that fail at once, each of which is reported immediately. */
const failingShare = Number(process.env["FAILING"] ?? "0.05");
const warmUpMs = 2_000;
const measuredMs = 5_000;
/** A quarter of the limit; the rest is left to messages that only a running program sends. */
const maximumBytesPerSecond = 500;
/** Above this, each instance sends digests of the whole fleet on all of its first links. */
const maximumStartBytes = 25_000;

interface TestInstance {
    readonly id: string;
    readonly mesh: mesh.Mesh;
    readonly metrics: promClient.Registry;
    readonly start: () => Promise<void>;
    readonly stop: () => Promise<void>;
}

function createInstance(index: number, peerListen: string, seeds: readonly string[]): TestInstance {
    const [id, failureDomain] = [`gateway-${index}`, domains[index % domains.length]!];
    const time = clock.createSystemClock();
    const logger = { writeDebug: () => {}, writeInfo: () => {}, writeWarning: () => {}, writeError: () => {} };
    const timers = new loop.Loop({ clock: time, getLogger: () => logger });
    const metrics = new promClient.Registry();
    const random = { ...randomness.createSeededRandomness(index), getIdentifier: () => `${id}-0123456789abcdef` };
    const settings = {
        peerListen,
        peerAdvertise: "",
        seeds,
        fleet: "test",
        sharedSecretFile: "",
        tlsCertificateFile: "",
        frameBytes: 4_194_304,
        peerTimeoutMs: 1_000,
        gossipIntervalMs: 1_000,
        suspectAfterMs: 4_500,
        deadAfterMs: 10_000,
        maximumPeerLinks: 20,
    };
    const shared = { identity: { instanceId: id, incarnation: Date.now(), failureDomain }, settings, clock: time, randomness: random, logger, metrics, loop: timers } as unknown as context.Context;
    const upstreams = Array.from({ length: upstreamCount }, (_, position) => ({ id: `upstream-${position}`, address: `127.0.0.1:${position + 1}`, failureDomain: domains[position % domains.length]!, state: "live" }));
    const document = { services: { s: { upstreams, slots, minimumStallMs: 250 } }, routes: [{ name: "r", service: "s", repeatable: true, split: [] }] } as unknown as configuration.ConfigurationDocument;
    const upstreamPool = new pool.Pool(shared);
    upstreamPool.setConfiguration(document);
    const created = new mesh.Mesh(shared);
    const health = new upstreamHealth.UpstreamHealth({ context: shared, pool: upstreamPool, mesh: created, configuration: { addListener: () => {} } as unknown as configuration.ConfigurationService });
    const sendRequest = () => {
        timers.scheduleOnce(-Math.log(1 - random.getFraction()) * 1_000 / requestsPerSecond, sendRequest);
        const { upstreams: candidates } = upstreamPool.getServicePool("s")!;
        const query = { service: "s", route: "r", isRepeatable: true, isRetry: false, canRetry: true, excludedUpstreamIds: new Set<string>(), queuedMs: 0, targetLatencyMs: 2_000, upstreams: candidates, now: time.getNow() };
        const chosen = health.chooseUpstream(query);
        if (chosen !== undefined) {
            const attempt = upstreamPool.startAttempt(chosen, "r", 0);
            const isFailing = random.getFraction() < failingShare;
            timers.scheduleOnce(isFailing ? 5 : workMs * (0.5 + random.getFraction()), () => upstreamPool.finishAttempt(chosen, attempt, isFailing ? "failed" : "answered"));
        }
    };
    const start = async () => {
        await created.start();
        created.setMember({ callerAddress: `127.0.0.1:${index}`, operatorAddress: `127.0.0.1:${index}`, state: "running", configurationVersion: 1 });
        health.start();
        sendRequest();
    };
    return { id, mesh: created, metrics, start, stop: () => created.stop().finally(() => timers.stop()) };
}

/** Reads the bytes sent to other failure domains by the label of the message. */
async function readBytes(instances: readonly TestInstance[]): Promise<ReadonlyMap<string, number>> {
    const bytes = new Map<string, number>();
    for (const { metrics } of instances) {
        const { values } = await metrics.getSingleMetric("agatebend_peer_bytes_total")!.get();
        values.filter(({ labels }) => labels["direction"] === "sent" && labels["domain"] === "other").forEach(({ labels, value }) => bytes.set(`${labels["message"]}`, (bytes.get(`${labels["message"]}`) ?? 0) + value));
    }
    return bytes;
}

for (const instanceCount of fleetSizes) {
    void tap.test(`${instanceCount} instances`, { timeout: 120_000 }, async t => {
        const addresses: string[] = [];
        for (let index = 0; index < instanceCount; index += 1) {
            addresses.push(`127.0.0.1:${await ports.findFreePort()}`);
        }
        const instances = addresses.map((address, index) => createInstance(index, address, addresses.slice(0, 3)));
        t.teardown(() => Promise.all(instances.map(instance => instance.stop())));
        const beganAt = performance.now();
        await Promise.all(instances.map(instance => instance.start()));
        await processes.waitFor("all members are known everywhere", () => instances.every(instance => instance.mesh.listMembers().length === instanceCount), 60_000);
        const knownMs = performance.now() - beganAt;
        await new Promise(resolve => setTimeout(resolve, warmUpMs));
        const [before, startedAt, processorBefore] = [await readBytes(instances), performance.now(), process.cpuUsage()];
        await new Promise(resolve => setTimeout(resolve, measuredMs));
        const [after, seconds, processor] = [await readBytes(instances), (performance.now() - startedAt) / 1_000, process.cpuUsage(processorBefore)];
        const rates = [...after].map(([label, bytes]) => [label, (bytes - (before.get(label) ?? 0)) / seconds / instanceCount] as const).filter(([, rate]) => rate > 0).sort((a, b) => b[1] - a[1]);
        const startBytes = [...before].map(([label, bytes]) => [label, bytes / instanceCount] as const).sort((a, b) => b[1] - a[1]);
        t.comment(`all known after ${Math.round(knownMs)} ms; until ${warmUpMs} ms later, bytes of each instance: ${startBytes.map(([label, bytes]) => `${label} ${Math.round(bytes)}`).join(", ")}`);
        const startTotal = startBytes.reduce((sum, [, bytes]) => sum + bytes, 0);
        t.ok(startTotal < maximumStartBytes, `${Math.round(startTotal)} bytes of each instance to other failure domains while the fleet starts`);
        const total = rates.reduce((sum, [, rate]) => sum + rate, 0);
        t.comment(`${rates.map(([label, rate]) => `${label} ${Math.round(rate)}`).join(", ")}; processor ${((processor.user + processor.system) / 10_000 / seconds).toFixed(0)} % of a core`);
        t.ok(total < maximumBytesPerSecond, `${Math.round(total)} bytes a second from each instance to other failure domains`);
    });
}
