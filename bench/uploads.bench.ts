/**
 * Measures the memory of one instance while 40 callers upload bodies of 60 to 360 KB slowly, to upstreams that read slowly.
 * Prints the peak of the resident memory and of the bytes held for bodies, for the memory of small machines.
 */

import * as fs from "node:fs";
import * as http from "node:http";
import * as control from "../test/standins/control.js";
import * as platform from "../test/harness/platform.js";
import * as processes from "../test/harness/processes.js";

const concurrency = 40;
const durationMs = Number(process.env.BENCH_MS ?? 20_000);
const minimumBytes = 60_000;
const maximumBytes = 360_000;
/** The rate at which a caller sends, as over a slow link, in bytes per second. */
const callerBytesPerSecond = 200_000;
/** The time for which an upstream reads nothing, and for which it works after it has read the body. */
const upstreamPauseMs = 400;
const upstreamWorkMs = 290;
const pieceBytes = 8_192;
const sampleIntervalMs = 50;
const upstreamCount = 4;
const bytesPerMebibyte = 1_048_576;
/** The bound on the bytes of bodies at one upstream; 0 for none. */
const upstreamBodyBytes = Number(process.env.BENCH_UPSTREAM_BODY_BYTES ?? 0);
const routes: readonly platform.TestRoute[] = [{ name: "upload", prefix: "/upload/", kind: "unsafe", service: "desk", timeoutMs: 12_000 }];

interface Totals {
    readonly statuses: Record<string, number>;
    maximumReceived: number;
    readonly runs: Map<string, number>;
}

/** Starts an upstream that reads nothing at first; it notes the most bytes of bodies that it had received and not answered. */
async function startUpstream(id: string, totals: Totals): Promise<{ readonly port: number; readonly server: http.Server; }> {
    let receivedBytes = 0;
    const server = http.createServer((request, response) => {
        const requestId = String(request.headers["request-id"]);
        totals.runs.set(requestId, (totals.runs.get(requestId) ?? 0) + 1);
        let ownBytes = 0;
        setTimeout(() => {
            request.on("data", (piece: Buffer) => {
                ownBytes += piece.length;
                receivedBytes += piece.length;
                totals.maximumReceived = Math.max(totals.maximumReceived, receivedBytes);
            });
        }, upstreamPauseMs);
        response.on("close", () => {
            receivedBytes -= ownBytes;
        });
        request.on("end", () => setTimeout(() => response.writeHead(200, { "request-id": requestId, "response-seal": `seal-${id}`, "content-length": 2 }).end("ok"), upstreamWorkMs));
        request.on("error", () => {});
    });
    return { port: await control.startListening(server), server };
}

/** Sends one upload at the rate of a slow caller; returns the status, or 0 if the connection ended without one. */
function sendUpload(address: string, requestId: string, bytes: number, limitMs: number): Promise<number> {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const request = http.request({ host, port, method: "POST", path: "/upload/1", agent: false, headers: { host: platform.host, "request-id": requestId, "deadline-ms": 12_000, "content-length": bytes } });
        let sent = 0;
        const timer = setInterval(() => {
            const size = Math.min(pieceBytes, bytes - sent);
            sent += size;
            request.write(Buffer.alloc(size, "x"));
            if (sent === bytes) {
                clearInterval(timer);
                request.end();
            }
        }, (pieceBytes / callerBytesPerSecond) * 1_000);
        const finish = (status: number) => {
            clearInterval(timer);
            clearTimeout(limit);
            resolve(status);
        };
        const limit = setTimeout(() => request.destroy(), limitMs);
        request.on("response", response => {
            response.resume();
            response.on("end", () => finish(response.statusCode ?? 0));
        });
        request.on("error", () => finish(0));
    });
}

function readMegabytes(processId: number, field: string): number {
    return Number(new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(fs.readFileSync(`/proc/${processId}/status`, "utf8"))?.[1]) / 1_024;
}

async function runMeasurement(memoryMb: number): Promise<void> {
    const totals: Totals = { statuses: {}, maximumReceived: 0, runs: new Map() };
    const testPlatform = await platform.startPlatform(1, routes);
    const upstreams = await Promise.all(Array.from({ length: upstreamCount }, (_, index) => startUpstream(`u${index}`, totals)));
    try {
        const entries = upstreams.map(({ port }, index) => [`servers/u${index}`, { service: "desk", address: `127.0.0.1:${port}`, failureDomain: "north", version: "v1", slots: 6, state: "ready", seq: 1 }] as const);
        await testPlatform.store.setBehaviour({ put: Object.fromEntries(entries), remove: ["servers/w0"] });
        const instance = await testPlatform.startInstance("north", { "memory-mb": memoryMb, "upstream-body-bytes": upstreamBodyBytes });
        await platform.waitUntilReady(instance);
        const processId = instance.process.getProcessId()!;
        const idleMegabytes = readMegabytes(processId, "VmRSS");
        let peakHeld = 0;
        const sampler = setInterval(() => {
            void processes.sendRequest(`http://${instance.addresses.operator}/metrics`).then(({ body }) => {
                peakHeld = Math.max(peakHeld, Number(/^agatebend_body_bytes_held (\d+)/m.exec(body.toString())?.[1] ?? 0));
            }, () => {});
        }, sampleIntervalMs);
        const endAt = performance.now() + durationMs;
        let count = 0;
        await Promise.all(Array.from({ length: concurrency }, async () => {
            while (performance.now() < endAt) {
                count += 1;
                const bytes = minimumBytes + Math.floor(Math.random() ** 3 * (maximumBytes - minimumBytes));
                const status = await sendUpload(instance.addresses.caller, `u-${memoryMb}-${count}`, count % 4 === 0 ? maximumBytes : bytes, 15_000);
                totals.statuses[status] = (totals.statuses[status] ?? 0) + 1;
            }
        }));
        clearInterval(sampler);
        const runsMore = [...totals.runs.values()].filter(runs => runs > 1).length;
        console.log(
            `memory-mb ${memoryMb}: idle ${idleMegabytes.toFixed(0)} MB, peak RSS ${readMegabytes(processId, "VmHWM").toFixed(0)} MB, peak held ${(peakHeld / bytesPerMebibyte).toFixed(1)} MiB, `
                + `most bytes in one upstream ${(totals.maximumReceived / bytesPerMebibyte).toFixed(2)} MiB, statuses ${JSON.stringify(totals.statuses)}, sent more than once: ${runsMore}`,
        );
    }
    finally {
        upstreams.forEach(({ server }) => server.closeAllConnections());
        upstreams.forEach(({ server }) => server.close());
        await testPlatform.stop();
    }
}

for (const memoryMb of [250, 479, 0]) {
    await runMeasurement(memoryMb);
}
process.exit();
