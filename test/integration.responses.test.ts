/** Every caller gets the whole answer to its own request, or sees that it is broken. */

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

/** Downloads without keeping the body; a pause after each chunk makes a slow reader. */
function readDownload(url: string, pauseMs = 0): Promise<{ readonly hash: string; readonly bytes: number; readonly isWhole: boolean; }> {
    return new Promise((resolve, reject) => {
        http.get(url, { agent: false }, response => {
            const hash = crypto.createHash("sha256");
            let bytes = 0;
            const finish = () => resolve({ hash: hash.digest("hex"), bytes, isWhole: response.complete });
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

/** Starts an upstream that answers each request with the given bytes, the second part later. */
async function startRawUpstream(parts: readonly string[], pauseMs: number): Promise<net.Server> {
    const server = net.createServer(socket => {
        socket.on("error", () => {});
        socket.on("data", () => parts.forEach((part, index) => setTimeout(() => socket.destroyed || socket.write(part), index * pauseMs)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

void tap.test("answers under failure", async t => {
    const upstreams = await standIns.startUpstreams(3);
    const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: "memory:", seeds: [], flags: { "body-idle-timeout-ms": 4_000 } });
    t.teardown(() => Promise.all([upstreams[0]!.process, instance.process].map(started => started.stop())));
    const setAll = (change: object) => Promise.all(upstreams.map(started => started.setBehaviour(change)));
    const addresses = Object.fromEntries(upstreams.map((started, index) => [`north-${index}`, started.getAddress()]));
    await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams: addresses, floor: 3 }));
    const url = `http://${instance.ports.caller}`;

    await t.test("a download of 200 MB goes on elsewhere each time it breaks", async t => {
        await setAll({ cutAfterBytes: 45 * megabyte });
        const download = await readDownload(`${url}/files/${largeBytes}`);
        await setAll({ cutAfterBytes: 0 });
        t.strictSame(download, { hash: upstream.computeFileHash(largeBytes), bytes: largeBytes, isWhole: true });
        t.ok(instance.listLogs("body-continued").length >= 4, "it was continued");
        const { instance: state } = await instance.getDump<{ readonly instance: { readonly rssBytes: number; }; }>();
        t.ok(state.rssBytes < memoryBoundBytes, `the instance holds ${Math.round(state.rssBytes / megabyte)} MB`);
    });

    await t.test("an upstream that stalls within a body is left for another", async t => {
        await setAll({ blockDelayMs: 20 });
        const pending = readDownload(`${url}/files/${8 * megabyte}`);
        const busy = await processes.waitFor("an upstream works", async () => {
            const states = await Promise.all(upstreams.map(started => started.getState<{ inFlight: number; }>()));
            return upstreams[states.findIndex(state => state.inFlight > 0)];
        });
        await busy.setBehaviour({ isStalled: true });
        const download = await pending;
        await setAll({ blockDelayMs: 0, isStalled: false });
        t.strictSame(download, { hash: upstream.computeFileHash(8 * megabyte), bytes: 8 * megabyte, isWhole: true });
    });

    await t.test("a file that differs elsewhere is passed on as broken", async t => {
        await Promise.all(upstreams.map((started, index) => started.setBehaviour({ cutAfterBytes: megabyte, fileVersion: index + 1 })));
        const download = await readDownload(`${url}/files/${4 * megabyte}`);
        await setAll({ cutAfterBytes: 0, fileVersion: 1 });
        t.notOk(download.isWhole);
    });

    await t.test("a cut answer without a validator is never a short whole one", async t => {
        for (const isChunked of [false, true]) {
            await setAll({ cutAfterBytes: 10, isChunked });
            const answers = await Promise.allSettled(Array.from({ length: 10 }, () => processes.sendRequest(`${url}/normal/x`)));
            await setAll({ cutAfterBytes: 0, isChunked: false });
            t.notOk(answers.some(answer => answer.status === "fulfilled" && answer.value.isComplete && answer.value.status === 200), isChunked ? "in chunks" : "with a length");
        }
    });

    await t.test("a slow reader gets everything", async t => {
        const download = await readDownload(`${url}/files/${4 * megabyte}`, 20);
        t.strictSame(download, { hash: upstream.computeFileHash(4 * megabyte), bytes: 4 * megabyte, isWhole: true });
    });

    await t.test("each caller gets its own answer while upstreams stall, reset and answer late", async t => {
        let isOver = false;
        const disturb = (async () => {
            for (let round = 0; !isOver; round += 1) {
                await upstreams[round % 3]!.setBehaviour({ serviceMs: 400 });
                await new Promise(resolve => setTimeout(resolve, 150));
                await upstreams[round % 3]!.setBehaviour({ serviceMs: 5 });
            }
        })();
        const agent = new http.Agent({ keepAlive: true, maxSockets: 20 });
        const answers = await Promise.all(Array.from({ length: 600 }, async (_, index) => {
            await new Promise(resolve => setTimeout(resolve, index * 3));
            const deadline = index % 4 === 0 ? "60" : "4000";
            const answer = await processes.sendRequest(`${url}/read/${index}`, { agent, headers: { "x-echo": `caller-${index}`, "x-agatebend-deadline-ms": deadline } });
            return { index, status: answer.status, isWhole: answer.isComplete, echo: answer.status === 200 ? (JSON.parse(answer.body.toString()) as { echo: string; }).echo : undefined };
        }));
        isOver = true;
        await disturb;
        agent.destroy();
        t.strictSame(answers.filter(answer => answer.status === 200 && answer.echo !== `caller-${answer.index}`), [], "no answer of another");
        t.ok(answers.filter(answer => answer.status === 200).length > 400, "most were answered");
    });

    await t.test("an upstream that sends a second answer does not reach the next caller", async t => {
        for (const pauseMs of [0, 30]) {
            const own = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
            const evil = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
            const raw = await startRawUpstream([own, evil], pauseMs);
            const { port } = raw.address() as net.AddressInfo;
            await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams: { "north-raw": `127.0.0.1:${port}` } }));
            const bodies: string[] = [];
            for (let index = 0; index < 6; index += 1) {
                const answer = await processes.sendRequest(`${url}/read/${index}`).catch(() => undefined);
                bodies.push(answer?.status === 200 && answer.isComplete ? answer.body.toString() : "none");
                await new Promise(resolve => setTimeout(resolve, 60));
            }
            t.notOk(bodies.includes("evil"), `${pauseMs} ms between the answers: ${bodies.join(" ")}`);
            raw.close();
        }
    });
});
