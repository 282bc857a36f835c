/** A stand-in for a worker of the users' platform. It seals its responses, checks the expected instance, and injects faults. */

import * as http from "node:http";
import type * as net from "node:net";
import * as control from "./control.js";

/** The behaviour that the control port can change. */
export interface WorkerBehaviour {
    id: string;
    slots: number;
    /** The number of requests that can wait for a slot. */
    queue: number;
    workMs: number;
    /** The fraction of requests that fail. */
    failPart: number;
    /** How they fail: "error" answers 500, "reset" resets the connection, "hang" and "mute" never answer. */
    failure: "error" | "reset" | "hang" | "mute";
    /** The fraction of responses that are faulty. */
    spoilPart: number;
    /** The fault of these responses, such as a truncated body, extra bytes, no framing or a missing seal. */
    spoiled: "none" | "cut" | "extra" | "extraLate" | "unframed" | "unframedReset" | "stall" | "garbage" | "wrongId" | "unsealed" | "repeatedRefusal" | "cutHead" | "spoiledHead" | keyof typeof endlessResponses;
    bodyBytes: number;
    /** The status line and the additional header lines of a "spoiledHead" response. */
    statusLine: string;
    headerLines: string;
    /** Whether every response announces that the worker is leaving. */
    isLeaving: boolean;
    /** The Retry-After of every response, which then rejects the request; empty to serve requests. */
    retryAfter: string;
}

/** A run of a request. Times are in milliseconds since the epoch, on a monotonic clock. */
export interface WorkerRun {
    readonly startedAt: number;
    /** When the worker began its response, or else lost the connection; undefined while it is at work. */
    endedAt?: number;
    /** Whether the work ended with a sound response. */
    isAnswered: boolean;
}

/** The request header that prolongs the work for one request, in milliseconds. */
const extraWorkHeader = "extra-work-ms";
/** The request header that replaces `bodyBytes` for one request. */
const bodyBytesHeader = "response-bytes";

/** Responses that go on until the caller closes the connection: what comes first, and what is repeated. */
const endlessResponses = {
    endlessBlankLines: { first: () => "", repeated: "\r\n".repeat(4_096) },
    endlessInterimResponses: { first: () => "", repeated: "HTTP/1.1 102 Processing\r\n\r\n".repeat(300) },
    endlessHead: { first: (head: string) => head, repeated: `X-Filler: ${"x".repeat(500)}\r\n`.repeat(16) },
    endlessBody: { first: (head: string) => `${head}Connection: close\r\n\r\n`, repeated: "x".repeat(8_192) },
    endlessChunks: { first: (head: string) => `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: `2000\r\n${"x".repeat(8_192)}\r\n` },
    endlessTrickle: { first: (head: string) => `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: "1\r\nx\r\n" },
    endlessExtensions: { first: (head: string) => `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: `1;${"x".repeat(100)}\r\nx\r\n`.repeat(2_000) },
    endlessPieces: { first: (head: string) => `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: "1\r\nx\r\n".repeat(20_000) },
    endlessChunkSize: { first: (head: string) => `${head}Transfer-Encoding: chunked\r\n\r\n`, repeated: "0".repeat(65_536) },
    endlessRefusal: { first: (head: string) => `${head.replace("200 OK", "503 Service Unavailable")}Not-Executed: 1\r\nConnection: close\r\n\r\n`, repeated: "x".repeat(8_192) },
} as const;
/** Endless responses that are sent as fast as the caller reads; the others pause between their pieces. */
const fastResponses: ReadonlySet<string> = new Set<keyof typeof endlessResponses>(["endlessExtensions", "endlessPieces", "endlessChunkSize"]);
/** The pause between two pieces of an endless response. */
const endlessPauseMs = 2;

/** Starts a worker; returns its ports. */
export async function startWorker(id: string) {
    const behaviour: WorkerBehaviour = { id, slots: 3, queue: 12, workMs: 10, failPart: 0, failure: "error", spoilPart: 0, spoiled: "none", bodyBytes: 100, statusLine: "", headerLines: "", isLeaving: false, retryAfter: "" };
    const runs: Record<string, number> = {};
    const runTimes: Record<string, WorkerRun[]> = {};
    const arrivalTimes: number[] = [];
    const deadlines: Record<string, number> = {};
    /** The values of the headers `tenant` by request; undefined if the request had none. */
    const tenants: Record<string, string | undefined> = {};
    let authorizations = 0;
    const counts = { arrived: 0, ran: 0, refused: 0, misdirected: 0, cancelled: 0, connections: 0 };
    let busy = 0;
    let openConnections = 0;

    const getNow = () => performance.timeOrigin + performance.now();
    const createBody = (requestId: string, bodyBytes = behaviour.bodyBytes) => `${requestId}:`.padEnd(bodyBytes, "x");
    const writeFaultyResponse = (socket: net.Socket, requestId: string) => {
        const body = createBody(requestId);
        const formatHead = (name: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${name}\r\nResponse-Seal: seal-${behaviour.id}\r\n`;
        const completeResponse = `${formatHead(requestId)}Content-Length: ${body.length}\r\n\r\n${body}`;
        const otherResponse = `${formatHead("another")}Content-Length: 4\r\n\r\nlate`;
        const writeEndless = (name: keyof typeof endlessResponses) => {
            const { first, repeated } = endlessResponses[name];
            socket.write(first(formatHead(requestId)));
            const timer = setInterval(() => {
                if (socket.writableLength === 0) {
                    socket.write(repeated);
                }
            }, endlessPauseMs);
            if (fastResponses.has(name)) {
                socket.on("drain", () => socket.write(repeated));
            }
            socket.once("close", () => clearInterval(timer));
        };
        const endlessNames = Object.keys(endlessResponses) as (keyof typeof endlessResponses)[];
        const endlessWriters = Object.fromEntries(endlessNames.map(name => [name, () => writeEndless(name)])) as Record<keyof typeof endlessResponses, () => void>;
        const writers: Readonly<Record<WorkerBehaviour["spoiled"], () => void>> = {
            ...endlessWriters,
            none: () => socket.write(completeResponse),
            cut: () => socket.end(completeResponse.slice(0, -20)),
            cutHead: () => socket.end(completeResponse.slice(0, Math.floor(Math.random() * completeResponse.indexOf(body)))),
            spoiledHead: () => socket.write(completeResponse.replace("HTTP/1.1 200 OK\r\n", `${behaviour.statusLine}\r\n${behaviour.headerLines}`)),
            extra: () => socket.write(completeResponse + otherResponse),
            extraLate: () => {
                socket.write(completeResponse);
                setTimeout(() => socket.write(otherResponse), 5);
            },
            unframed: () => socket.end(`${formatHead(requestId)}Connection: close\r\n\r\n${body}`),
            unframedReset: () => {
                socket.write(`${formatHead(requestId)}Connection: close\r\n\r\n${body.slice(0, 50)}`);
                setTimeout(() => socket.resetAndDestroy(), 20);
            },
            stall: () => socket.write(completeResponse.slice(0, -20)),
            garbage: () => socket.end("\u0001\u0002 no answer at all\r\n\r\n"),
            wrongId: () => socket.write(otherResponse),
            repeatedRefusal: () => socket.write("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: another\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
            unsealed: () => socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`),
        };
        writers[behaviour.spoiled]();
    };
    const applyFailure = (request: http.IncomingMessage, response: http.ServerResponse, requestId: string) => {
        if (behaviour.failure === "error") {
            response.writeHead(500, { "request-id": requestId, "response-seal": `seal-${behaviour.id}` });
            response.end("failed");
        }
        else if (behaviour.failure === "reset") {
            request.socket.resetAndDestroy();
        }
    };
    const server = http.createServer((request, response) => {
        const requestId = String(request.headers["request-id"] ?? "");
        request.resume();
        request.on("end", () => {
            counts.arrived += 1;
            arrivalTimes.push(Date.now());
            if (behaviour.isLeaving) {
                response.setHeader("server-leaving", "1");
            }
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== behaviour.id) {
                counts.misdirected += 1;
                response.writeHead(421, { "request-id": requestId, "instance-id": behaviour.id }).end();
                return;
            }
            if (behaviour.retryAfter !== "") {
                counts.refused += 1;
                response.writeHead(503, { "request-id": requestId, "not-executed": "1", "retry-after": behaviour.retryAfter }).end();
                return;
            }
            if (busy >= behaviour.slots + behaviour.queue) {
                counts.refused += 1;
                response.writeHead(503, { "request-id": requestId, "not-executed": "1" }).end();
                return;
            }
            counts.ran += 1;
            runs[requestId] = (runs[requestId] ?? 0) + 1;
            const run: WorkerRun = { startedAt: getNow(), isAnswered: false };
            (runTimes[requestId] ??= []).push(run);
            response.once("close", () => {
                run.endedAt ??= getNow();
            });
            tenants[requestId] = request.headers.tenant as string | undefined;
            authorizations += request.headers.authorization === undefined ? 0 : 1;
            deadlines[requestId] = Number(request.headers["deadline-ms"] ?? NaN);
            if (Math.random() < behaviour.failPart) {
                applyFailure(request, response, requestId);
                return;
            }
            busy += 1;
            const rounds = Math.ceil(busy / behaviour.slots);
            const timer = setTimeout(() => {
                busy -= 1;
                if (Math.random() < behaviour.spoilPart) {
                    writeFaultyResponse(request.socket, requestId);
                    return;
                }
                run.endedAt = getNow();
                run.isAnswered = true;
                const bodyBytes = Number(request.headers[bodyBytesHeader] ?? behaviour.bodyBytes);
                response.writeHead(200, { "request-id": requestId, "response-seal": `seal-${behaviour.id}`, "content-length": bodyBytes });
                response.end(createBody(requestId, bodyBytes));
            }, behaviour.workMs * rounds + Number(request.headers[extraWorkHeader] ?? 0));
            response.once("close", () => {
                if (!response.writableFinished && behaviour.spoilPart === 0) {
                    counts.cancelled += 1;
                    busy -= 1;
                    clearTimeout(timer);
                }
            });
        });
    });
    server.on("connection", socket => {
        counts.connections += 1;
        openConnections += 1;
        socket.on("close", () => {
            openConnections -= 1;
        });
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ runs, runTimes, deadlines, tenants, authorizations, counts, busy, openConnections, arrivalTimes }),
        setBehaviour: change => void Object.assign(behaviour, change),
    });
    return { port, controlPort };
}
