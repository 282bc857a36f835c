/** Each caller receives the complete response to its own request, or can detect that the response is truncated. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";
import * as upstream from "./standins/upstream.js";

const megabyte = 1024 * 1024;
const largeBytes = 200 * megabyte;
const memoryBoundBytes = 200 * megabyte;

/** Downloads and hashes a body without storing it. A pause after each chunk simulates a slow reader. */
function readDownload(url: string, pauseMs = 0): Promise<{ readonly hash: string; readonly bytes: number; readonly isComplete: boolean; }> {
    return new Promise((resolve, reject) => {
        http.get(url, { agent: false }, response => {
            const hash = crypto.createHash("sha256");
            let bytes = 0;
            const finish = () => resolve({ hash: hash.digest("hex"), bytes, isComplete: response.complete });
            response.on("data", (chunk: Buffer) => {
                hash.update(chunk);
                bytes += chunk.length;
                if (pauseMs > 0) {
                    response.pause();
                    setTimeout(() => response.resume(), pauseMs);
                }
            });
            response.on("error", () => {});
            response.on("close", finish);
        }).on("error", reject);
    });
}

/** Starts an upstream that answers each request with the given parts, with a pause between them. */
async function startRawUpstream(parts: readonly string[], pauseMs: number): Promise<net.Server> {
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.on("data", () => parts.forEach((part, index) => setTimeout(() => socket.destroyed || socket.write(part), index * pauseMs)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

void tap.test("responses under failures", async t => {
    const upstreams = await standIns.startUpstreams(3);
    const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: "memory:", seeds: [], flags: { "body-idle-timeout-ms": 4_000 } });
    t.teardown(() => Promise.all([upstreams[0]!.process, instance.process].map(testProcess => testProcess.stop())));
    const setAll = (change: object) => Promise.all(upstreams.map(standIn => standIn.setBehaviour(change)));
    const addresses = Object.fromEntries(upstreams.map((standIn, index) => [`north-${index}`, standIn.getAddress()]));
    await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams: addresses, floor: 3 }));
    const url = `http://${instance.ports.caller}`;

    await t.test("a 200 MB download resumes at another upstream each time it is cut", async t => {
        await setAll({ cutAfterBytes: 45 * megabyte });
        const download = await readDownload(`${url}/files/${largeBytes}`);
        await setAll({ cutAfterBytes: 0 });
        t.strictSame(download, { hash: upstream.computeFileHash(largeBytes), bytes: largeBytes, isComplete: true });
        t.ok(instance.listLogs("body-continued").length >= 4, "the download was resumed at least four times");
        const { instance: instanceState } = await instance.getDump<{ readonly instance: { readonly rssBytes: number; }; }>();
        t.ok(instanceState.rssBytes < memoryBoundBytes, `the instance uses ${Math.round(instanceState.rssBytes / megabyte)} MB`);
    });

    await t.test("a download resumes at another upstream when the body stalls", async t => {
        await setAll({ blockDelayMs: 20 });
        const pending = readDownload(`${url}/files/${8 * megabyte}`);
        const busyUpstream = await processes.waitFor("an upstream is sending the download", async () => {
            const states = await Promise.all(upstreams.map(standIn => standIn.getState<{ inFlight: number; }>()));
            return upstreams[states.findIndex(instanceState => instanceState.inFlight > 0)];
        });
        await busyUpstream.setBehaviour({ isStalled: true });
        const download = await pending;
        await setAll({ blockDelayMs: 0, isStalled: false });
        t.strictSame(download, { hash: upstream.computeFileHash(8 * megabyte), bytes: 8 * megabyte, isComplete: true });
    });

    await t.test("a download is truncated when the other upstreams have a different version of the file", async t => {
        await Promise.all(upstreams.map((standIn, index) => standIn.setBehaviour({ cutAfterBytes: megabyte, fileVersion: index + 1 })));
        const download = await readDownload(`${url}/files/${4 * megabyte}`);
        await setAll({ cutAfterBytes: 0, fileVersion: 1 });
        t.notOk(download.isComplete);
    });

    await t.test("a truncated response without a validator never appears complete", async t => {
        for (const isChunked of [false, true]) {
            await setAll({ cutAfterBytes: 10, isChunked });
            const responses = await Promise.allSettled(Array.from({ length: 10 }, () => processes.sendRequest(`${url}/normal/x`)));
            await setAll({ cutAfterBytes: 0, isChunked: false });
            t.notOk(responses.some(response => response.status === "fulfilled" && response.value.isComplete && response.value.status === 200), isChunked ? "with chunked encoding" : "with a content length");
        }
    });

    await t.test("a slow reader receives the complete body", async t => {
        const download = await readDownload(`${url}/files/${4 * megabyte}`, 20);
        t.strictSame(download, { hash: upstream.computeFileHash(4 * megabyte), bytes: 4 * megabyte, isComplete: true });
    });

    await t.test("each caller gets its own response while upstreams are slow and requests time out", async t => {
        let isOver = false;
        const latencyChanges = (async () => {
            for (let round = 0; !isOver; round += 1) {
                await upstreams[round % 3]!.setBehaviour({ serviceMs: 400 });
                await new Promise(resolve => setTimeout(resolve, 150));
                await upstreams[round % 3]!.setBehaviour({ serviceMs: 5 });
            }
        })();
        const agent = new http.Agent({ keepAlive: true, maxSockets: 20 });
        const responses = await Promise.all(Array.from({ length: 600 }, async (_, index) => {
            await new Promise(resolve => setTimeout(resolve, index * 3));
            const deadline = index % 4 === 0 ? "60" : "4000";
            const response = await processes.sendRequest(`${url}/read/${index}`, { agent, headers: { "x-echo": `caller-${index}`, "x-agatebend-deadline-ms": deadline } });
            return { index, status: response.status, isComplete: response.isComplete, echo: response.status === 200 ? (JSON.parse(response.body.toString()) as { echo: string; }).echo : undefined };
        }));
        isOver = true;
        await latencyChanges;
        agent.destroy();
        t.strictSame(responses.filter(response => response.status === 200 && response.echo !== `caller-${response.index}`), [], "no caller got the response of another request");
        t.ok(responses.filter(response => response.status === 200).length > 400, "most requests succeeded");
    });

    await t.test("a second, unrequested response does not reach the next caller", async t => {
        for (const pauseMs of [0, 30]) {
            const own = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
            const unrequested = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
            const rawUpstream = await startRawUpstream([own, unrequested], pauseMs);
            const { port } = rawUpstream.address() as net.AddressInfo;
            await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams: { "north-raw": `127.0.0.1:${port}` } }));
            const bodies: string[] = [];
            for (let index = 0; index < 6; index += 1) {
                const response = await processes.sendRequest(`${url}/read/${index}`).catch(() => undefined);
                bodies.push(response?.status === 200 && response.isComplete ? response.body.toString() : "none");
                await new Promise(resolve => setTimeout(resolve, 60));
            }
            t.notOk(bodies.includes("evil"), `${pauseMs} ms between the responses: ${bodies.join(" ")}`);
            rawUpstream.close();
        }
    });
});
