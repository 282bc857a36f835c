/** A stand-in for a worker behind the users' platform: it seals its answers, knows its identifier, and errs as it is told. */

import * as http from "node:http";
import type * as net from "node:net";
import * as control from "./control.js";

/** What a control port may change. */
export interface WorkerBehaviour {
    id: string;
    slots: number;
    /** Requests that wait beyond the slots. */
    queue: number;
    workMs: number;
    /** The part of the requests that fail, and how. */
    failPart: number;
    failure: "error" | "reset" | "hang" | "mute";
    /** What is wrong with the answers, for a part of them. */
    spoilPart: number;
    spoiled: "none" | "cut" | "extra" | "extraLate" | "unframed" | "unframedReset" | "stall" | "garbage" | "wrongId" | "unsealed";
    bodyBytes: number;
}

/** Starts a worker; returns its ports. */
export async function startWorker(id: string) {
    const behaviour: WorkerBehaviour = { id, slots: 3, queue: 12, workMs: 10, failPart: 0, failure: "error", spoilPart: 0, spoiled: "none", bodyBytes: 100 };
    const runs: Record<string, number> = {};
    const deadlines: Record<string, number> = {};
    const counts = { arrived: 0, ran: 0, refused: 0, misdirected: 0, cancelled: 0, connections: 0 };
    let busy = 0;

    const createBody = (requestId: string) => `${requestId}:`.padEnd(behaviour.bodyBytes, "x");
    const writeSpoiled = (socket: net.Socket, requestId: string) => {
        const body = createBody(requestId);
        const fields = (name: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${name}\r\nResponse-Seal: seal-${behaviour.id}\r\n`;
        const whole = `${fields(requestId)}Content-Length: ${body.length}\r\n\r\n${body}`;
        const foreign = `${fields("another")}Content-Length: 4\r\n\r\nlate`;
        const writers: Readonly<Record<WorkerBehaviour["spoiled"], () => void>> = {
            none: () => socket.write(whole),
            cut: () => socket.end(whole.slice(0, -20)),
            extra: () => socket.write(whole + foreign),
            extraLate: () => {
                socket.write(whole);
                setTimeout(() => socket.write(foreign), 5);
            },
            unframed: () => socket.end(`${fields(requestId)}Connection: close\r\n\r\n${body}`),
            unframedReset: () => {
                socket.write(`${fields(requestId)}Connection: close\r\n\r\n${body.slice(0, 50)}`);
                setTimeout(() => socket.resetAndDestroy(), 20);
            },
            stall: () => socket.write(whole.slice(0, -20)),
            garbage: () => socket.end("\u0001\u0002 no answer at all\r\n\r\n"),
            wrongId: () => socket.write(foreign),
            unsealed: () => socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nContent-Length: ${body.length}\r\n\r\n${body}`),
        };
        writers[behaviour.spoiled]();
    };
    const fail = (request: http.IncomingMessage, response: http.ServerResponse, requestId: string) => {
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
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== behaviour.id) {
                counts.misdirected += 1;
                response.writeHead(421, { "instance-id": behaviour.id }).end();
                return;
            }
            if (busy >= behaviour.slots + behaviour.queue) {
                counts.refused += 1;
                response.writeHead(503, { "not-executed": "1" }).end();
                return;
            }
            counts.ran += 1;
            runs[requestId] = (runs[requestId] ?? 0) + 1;
            deadlines[requestId] = Number(request.headers["deadline-ms"] ?? NaN);
            if (Math.random() < behaviour.failPart) {
                fail(request, response, requestId);
                return;
            }
            busy += 1;
            const rounds = Math.ceil(busy / behaviour.slots);
            const timer = setTimeout(() => {
                busy -= 1;
                if (Math.random() < behaviour.spoilPart) {
                    writeSpoiled(request.socket, requestId);
                    return;
                }
                response.writeHead(200, { "request-id": requestId, "response-seal": `seal-${behaviour.id}`, "content-length": behaviour.bodyBytes });
                response.end(createBody(requestId));
            }, behaviour.workMs * rounds);
            response.once("close", () => {
                if (!response.writableFinished && behaviour.spoilPart === 0) {
                    counts.cancelled += 1;
                    busy -= 1;
                    clearTimeout(timer);
                }
            });
        });
    });
    server.on("connection", () => {
        counts.connections += 1;
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({ getState: () => ({ runs, deadlines, counts, busy }), setBehaviour: change => void Object.assign(behaviour, change) });
    return { port, controlPort };
}
