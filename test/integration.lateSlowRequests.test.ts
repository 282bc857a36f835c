/**
 * Guards against requests that a stopping instance takes after its port has closed, because their route was quick until then,
 * and cuts at the end of the shutdown, because their upstream is slow this time. Callers got no answer to orders that had run.
 */

import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import tap from "tap";
import * as platform from "./harness/platform.js";
import * as processes from "./harness/processes.js";

const killAfterS = 6;
const entriesTtlMs = 1_000;
const entriesGraceMs = 2_000;
/** When the port closes, after the signal. */
const closesAtMs = entriesTtlMs + entriesGraceMs;
const quickWorkMs = 10;
/** Work that begins after the port closed ends after the platform would kill the process. */
const slowWorkMs = 4_000;
/** A deadline that lies beyond the end of the shutdown for every request of the test. */
const longDeadlineMs = 12_000;
/** A deadline that lies within the shutdown for a request that is sent when the port closes. */
const shortDeadlineMs = 1_500;
/** The requests of each route before the signal, and the callers that send them. */
const usualRequestCount = 100;
const usualCallerCount = 4;
/** More than the buffers of both sides of a connection, so that a response that is not read stays open. */
const unreadBodyBytes = 20 * 1024 * 1024;

/** What a caller got. Times are in milliseconds after the signal. */
interface Result {
    readonly requestId: string;
    readonly sentAtMs: number;
    readonly endedAtMs: number;
    /** A response, or the reason why there is none. */
    readonly response: { readonly status: number; readonly isComplete: boolean; readonly outcome: unknown; readonly connection: unknown; } | string;
}

/** Where a request is sent: on an open connection that never carried a request, or on the one that an agent keeps. */
type Connection = { readonly kind: "fresh"; readonly socket: net.Socket; } | { readonly kind: "kept"; readonly agent: http.Agent; };

async function openConnection(address: string): Promise<Connection> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    await once(socket, "connect");
    return { kind: "fresh", socket };
}

function isListening(address: string): Promise<boolean> {
    return openConnection(address).then(connection => {
        if (connection.kind === "fresh") {
            connection.socket.destroy();
        }
        return true;
    }, () => false);
}

/** Returns "answered", "refused", or what went wrong. */
function classifyResult({ sentAtMs, endedAtMs, response }: Result, runCount: number): string {
    const details = `sent ${Math.round(sentAtMs)} ms and ended ${Math.round(endedAtMs)} ms after the signal, run by ${runCount} workers`;
    if (typeof response === "string") {
        return `no answer: ${response}; ${details}`;
    }
    const { status, isComplete, outcome, connection } = response;
    if (isComplete && status === 200 && runCount > 0) {
        return "answered";
    }
    if (isComplete && status === 503 && outcome === "not-executed" && connection === "close" && runCount === 0) {
        return "refused";
    }
    return `status ${status}, ${isComplete ? "whole" : "cut"}, outcome ${String(outcome)}, connection ${String(connection)}; ${details}`;
}

void tap.test("requests that a stopping instance gets after its port closed, with upstreams that have become slow, are answered whole or refused before they run", async t => {
    const testPlatform = await platform.startPlatform(4, [
        { name: "look", prefix: "/look/", kind: "safe", service: "desk", timeoutMs: longDeadlineMs },
        { name: "order", prefix: "/order/", kind: "unsafe", service: "desk", timeoutMs: longDeadlineMs },
    ]);
    t.teardown(() => testPlatform.stop());
    const instance = await testPlatform.startInstance("north", { "kill-after-s": killAfterS, "entries-ttl-ms": entriesTtlMs, "entries-grace-ms": entriesGraceMs, "drain-timeout-ms": 600_000 });
    await platform.waitUntilReady(instance);
    const { caller: address } = instance.addresses;
    const setBehaviour = (change: object) => Promise.all(testPlatform.workers.map(worker => worker.setBehaviour(change)));
    let signalledAt = Infinity;
    const getElapsedMs = () => performance.now() - signalledAt;
    const waitUntil = (elapsedMs: number) => new Promise(resolve => setTimeout(resolve, Math.max(0, elapsedMs - getElapsedMs())));

    /** Begins a request; `finish` sends the rest of its body and returns the result. */
    const beginRequest = (connection: Connection, requestId: string, method: "GET" | "POST", deadlineMs: number, firstChunk?: string) => {
        const [host, port] = address.split(":");
        const headers = { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs, connection: "keep-alive" };
        const path = method === "POST" ? "/order/1" : "/look/1";
        const sent = http.request({ host, port, path, method, headers, ...(connection.kind === "fresh" ? { createConnection: () => connection.socket } : { agent: connection.agent }) });
        const ended = new Promise<Pick<Result, "response" | "endedAtMs">>(resolve => {
            const finish = (response: Result["response"]) => resolve({ response, endedAtMs: getElapsedMs() });
            sent.on("error", ({ message }) => finish(message));
            sent.on("response", response => {
                const { statusCode: status = 0, headers: { connection, "x-agatebend-outcome": outcome } } = response;
                response.resume().on("error", () => {}).on("close", () => finish({ status, isComplete: response.complete, outcome, connection }));
            });
        });
        if (firstChunk !== undefined) {
            sent.write(firstChunk);
        }
        return {
            finish: async (): Promise<Result> => {
                const sentAtMs = getElapsedMs();
                sent.end(method === "POST" ? "issue" : undefined);
                return { requestId, sentAtMs, ...await ended };
            },
            isOnKeptConnection: () => sent.reusedSocket,
        };
    };
    const createKeptConnection = (): Connection & { readonly kind: "kept"; } => ({ kind: "kept", agent: new http.Agent({ keepAlive: true, maxSockets: 1 }) });

    // The latencies from which the instance estimates how long requests take.
    await setBehaviour({ slots: 40, workMs: quickWorkMs });
    const usual = await Promise.all(Array.from({ length: usualCallerCount }, async (_, index) => {
        const statuses: number[] = [];
        for (let count = 0; count < usualRequestCount / usualCallerCount; count += 1) {
            const responses = await Promise.all([instance.send("/look/1"), instance.send("/order/1", { method: "POST", body: "issue", requestId: `usual-${index}-${count}` })]);
            statuses.push(...responses.map(({ status }) => status));
        }
        return statuses;
    }));
    t.strictSame(usual.flat().filter(status => status !== 200), [], "the requests before the signal are answered");
    const chunkedConnection = createKeptConnection();
    t.equal((await instance.send("/order/1", { method: "POST", body: "issue", agent: chunkedConnection.agent })).status, 200, "the order that opens a kept connection is answered");
    // A response that was begun before the signal and is read after the port closed keeps its connection open.
    const unreadConnection = createKeptConnection();
    await setBehaviour({ bodyBytes: unreadBodyBytes });
    const unread = http.get(`http://${address}/look/1`, { agent: unreadConnection.agent, headers: { host: platform.host, "request-id": "unread", "deadline-ms": longDeadlineMs } });
    const [unreadResponse] = await once(unread, "response") as [http.IncomingMessage];
    await setBehaviour({ bodyBytes: 100 });

    signalledAt = performance.now();
    instance.process.sendSignal("SIGTERM");
    await waitUntil(1_000);
    const early = await Promise.all([
        beginRequest(await openConnection(address), "early-order", "POST", longDeadlineMs).finish(),
        beginRequest(await openConnection(address), "early-lookup", "GET", longDeadlineMs).finish(),
    ]);
    await waitUntil(closesAtMs - 500);
    const [shortOrderConnection, shortLookupConnection, orderConnection, lookupConnection] = await Promise.all([1, 2, 3, 4].map(() => openConnection(address))) as [Connection, Connection, Connection, Connection];
    const chunkedOrder = beginRequest(chunkedConnection, "chunked-order", "POST", longDeadlineMs, "first ");
    await waitUntil(closesAtMs);
    await processes.waitFor("the port is closed", async () => !await isListening(address));
    const short = await Promise.all([
        beginRequest(shortOrderConnection, "short-order", "POST", shortDeadlineMs).finish(),
        beginRequest(shortLookupConnection, "short-lookup", "GET", shortDeadlineMs).finish(),
    ]);
    unreadResponse.resume();
    await once(unreadResponse, "end");
    await setBehaviour({ workMs: slowWorkMs });
    const keptOrder = beginRequest(unreadConnection, "kept-order", "POST", longDeadlineMs);
    const late = await Promise.all([
        beginRequest(orderConnection, "fresh-order", "POST", longDeadlineMs).finish(),
        beginRequest(lookupConnection, "fresh-lookup", "GET", longDeadlineMs).finish(),
        keptOrder.finish(),
        chunkedOrder.finish(),
    ]);

    t.equal(await instance.process.waitForExit(), 0, "the process ends by itself");
    const states = await Promise.all(testPlatform.workers.map(worker => worker.getState<{ readonly runs: Readonly<Record<string, number>>; }>()));
    const countRuns = (requestId: string) => states.map(({ runs }) => runs[requestId] ?? 0).reduce((sum, count) => sum + count, 0);
    const listOutcomes = (results: readonly Result[]) => results.map(result => classifyResult(result, countRuns(result.requestId)));
    t.strictSame(listOutcomes(early), ["answered", "answered"], "an order and a lookup 1 s after the signal are answered");
    t.ok(short.every(({ sentAtMs }) => sentAtMs >= closesAtMs), "the requests with a deadline within the shutdown come after the port closed");
    t.strictSame(listOutcomes(short), ["answered", "answered"], "an order and a lookup whose deadline lies within the shutdown are answered");
    t.ok(late.every(({ sentAtMs }) => sentAtMs >= closesAtMs), "the requests to slow upstreams come after the port closed");
    t.strictSame([keptOrder, chunkedOrder].map(order => order.isOnKeptConnection()), [true, true], "the orders on kept connections were sent on these");
    t.strictSame(unreadResponse.complete, true, "the response that was read late is whole");
    const [freshOrder, freshLookup, orderAfterUnread, orderInChunks] = listOutcomes(late) as [string, string, string, string];
    t.match(freshOrder, /^(answered|refused)$/, "a late order on a fresh connection is answered or refused");
    t.match(freshLookup, /^(answered|refused)$/, "a late lookup on a fresh connection is answered or refused");
    t.match(orderAfterUnread, /^(answered|refused)$/, "a late order on a kept connection is answered or refused");
    t.match(orderInChunks, /^(answered|refused)$/, "an order in chunks on a kept connection, whose last chunk is late, is answered or refused");
});
