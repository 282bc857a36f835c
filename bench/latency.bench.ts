/** Measures the latency that an instance adds to requests, compared with direct requests in the same run. */

import * as configurations from "../test/harness/configurations.js";
import * as fleet from "../test/harness/fleet.js";
import * as standIns from "../test/harness/standIns.js";
import * as load from "./load.js";

const targetMs = 2.2;
const rounds = 5;
const requestsPerSecond = 200;
const roundMs = 8_000;
const warmUpMs = 10_000;

const upstreams = await standIns.startUpstreams(4);
const store = await standIns.startEtcdStore();
const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: `http://${store.getAddress()}`, seeds: [], flags: { "log-level": "info" } });
try {
    await Promise.all(upstreams.map(started => started.setBehaviour({ serviceMs: 0, slots: 64 })));
    const document = configurations.createTestConfiguration({ slots: 64, upstreams: Object.fromEntries(upstreams.map((started, index) => [`north-${index}`, started.getAddress()])) });
    await fleet.applyConfiguration(instance, document);
    // Direct and proxied requests alternate, so that other load on the machine affects both equally.
    const runRound = (durationMs: number) =>
        load.runLoad({
            requestsPerSecond: requestsPerSecond * 2,
            durationMs,
            createRequest: index =>
                index % 2 === 0
                    ? { url: `http://${upstreams[(index / 2) % upstreams.length]!.getAddress()}/read/${index}`, label: "direct", timeoutMs: 5_000 }
                    : { url: `http://${instance.ports.caller}/read/${index}`, label: "proxied", timeoutMs: 5_000 },
        });
    await runRound(warmUpMs);
    const added: { readonly p50: number; readonly p99: number; }[] = [];
    for (let round = 0; round < rounds; round += 1) {
        const counts = await runRound(roundMs);
        const direct = counts.get("direct")!;
        const proxied = counts.get("proxied")!;
        const row = { p50: proxied.getLatencyMs(50) - direct.getLatencyMs(50), p99: proxied.getLatencyMs(99) - direct.getLatencyMs(99) };
        added.push(row);
        const format = (counted: load.LoadCounts) => `p50 ${counted.getLatencyMs(50).toFixed(2)} p99 ${counted.getLatencyMs(99).toFixed(2)} ms (${counted.ok} of ${counted.sent} complete)`;
        console.log(`round ${round + 1}: direct ${format(direct)}; proxied ${format(proxied)}; added p50 ${row.p50.toFixed(2)} p99 ${row.p99.toFixed(2)} ms`);
    }
    const median = (values: readonly number[]) => [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
    const p99 = median(added.map(row => row.p99));
    console.log(`added at ${requestsPerSecond} requests/s, median of ${rounds} rounds: p50 ${median(added.map(row => row.p50)).toFixed(2)} ms, p99 ${p99.toFixed(2)} ms; target ${targetMs} ms at p99: ${p99 < targetMs ? "met" : "NOT MET"}`);
}
finally {
    await Promise.all([store.process, upstreams[0]!.process, instance.process].map(started => started.stop()));
}
