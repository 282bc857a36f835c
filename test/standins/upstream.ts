/** A stand-in for an upstream with limited slots, a service time, range requests, and injected stalls, errors and truncated bodies. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import * as control from "./control.js";

const blockBytes = 64 * 1024;

/** The behaviour that the control port can change. */
export interface UpstreamBehaviour {
    slots: number;
    serviceMs: number;
    /** Requests never complete, but `/health` still answers. */
    isStalled: boolean;
    /** The fraction of requests answered with status 500. */
    errorPart: number;
    /** Responses carry the draining header, and new requests are counted separately. */
    isDraining: boolean;
    /** The number of bytes after which each response body is truncated; 0 for no truncation. */
    cutAfterBytes: number;
    /** Truncated responses use chunked encoding instead of a content length. */
    isChunked: boolean;
    /** Orders run, and the connection closes without a response. */
    losesAnswers: boolean;
    /** Sheds every request. */
    shedsAll: boolean;
    /** Sends every second response once more, up to this many milliseconds later; 0 for never. */
    repeatsResponsesMs: number;
    /** How long a shed request waits for its response. */
    shedDelayMs: number;
    /** Part of the entity tag of files. */
    fileVersion: number;
    /** Comma-separated identifiers of the instances whose requests are ignored, to simulate a partition. */
    cutFrom: string;
    /** The pause between two blocks of a file. */
    blockDelayMs: number;
}

/** Creates a block of a file. The contents depend only on the index, and each block differs. */
export function createFileBlock(index: number): Buffer {
    const seed = crypto.createHash("sha256").update(`block ${index}`).digest();
    return Buffer.alloc(blockBytes, seed);
}

/** Computes the SHA-256 hash, in hex, of a complete file of the given length in bytes. */
export function computeFileHash(length: number): string {
    const hash = crypto.createHash("sha256");
    for (let offset = 0; offset < length; offset += blockBytes) {
        hash.update(createFileBlock(offset / blockBytes).subarray(0, Math.min(blockBytes, length - offset)));
    }
    return hash.digest("hex");
}

/** Starts an upstream; returns its ports. */
export async function startUpstream() {
    const behaviour: UpstreamBehaviour = {
        slots: 3,
        serviceMs: 10,
        isStalled: false,
        errorPart: 0,
        isDraining: false,
        cutAfterBytes: 0,
        losesAnswers: false,
        isChunked: false,
        shedsAll: false,
        shedDelayMs: 0,
        repeatsResponsesMs: 0,
        fileVersion: 1,
        cutFrom: "",
        blockDelayMs: 0,
    };
    const executions: Record<string, number> = {};
    const counts = { served: 0, shed: 0, arrived: 0, cancelled: 0, arrivedWhileDraining: 0, health: 0, maximumInFlight: 0 };
    const deadlines: number[] = [];
    /** The latest requests, newest last: the `Via` header that names the sending instance, and the time in milliseconds since the epoch. */
    const arrivals: { readonly via: string; readonly at: number; }[] = [];
    let inFlight = 0;
    const sendFile = (request: http.IncomingMessage, response: http.ServerResponse, length: number) => {
        const entityTag = `"${length}-${behaviour.fileVersion}"`;
        const rangeMatch = /^bytes=(\d+)-(\d*)$/.exec(request.headers.range ?? "");
        const isPartial = rangeMatch && (request.headers["if-range"] ?? entityTag) === entityTag;
        const firstByte = isPartial ? Number(rangeMatch[1]) : 0;
        const lastByte = isPartial && rangeMatch[2] !== "" ? Number(rangeMatch[2]) : length - 1;
        response.writeHead(isPartial ? 206 : 200, {
            "content-length": lastByte - firstByte + 1,
            "accept-ranges": "bytes",
            etag: entityTag,
            ...(isPartial ? { "content-range": `bytes ${firstByte}-${lastByte}/${length}` } : {}),
        });
        let offset = firstByte;
        const write = () => {
            while (offset <= lastByte) {
                if (behaviour.cutAfterBytes > 0 && offset - firstByte >= behaviour.cutAfterBytes) {
                    response.destroy();
                    return;
                }
                if (behaviour.isStalled) {
                    return;
                }
                const block = createFileBlock(Math.floor(offset / blockBytes));
                const chunk = block.subarray(offset % blockBytes, Math.min(blockBytes, offset % blockBytes + lastByte + 1 - offset));
                offset += chunk.length;
                const hasBufferSpace = response.write(chunk);
                if (behaviour.blockDelayMs > 0) {
                    setTimeout(write, behaviour.blockDelayMs);
                    return;
                }
                if (!hasBufferSpace) {
                    response.once("drain", write);
                    return;
                }
            }
            response.end();
        };
        write();
    };
    const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => {
        if (behaviour.isStalled || response.destroyed) {
            return;
        }
        counts.served += 1;
        const key = String(request.headers["x-agatebend-order-key"] ?? "");
        if (request.method === "POST") {
            executions[key] = (executions[key] ?? 0) + 1;
            if (behaviour.losesAnswers) {
                response.destroy();
                return;
            }
        }
        if (Math.random() < behaviour.errorPart) {
            response.writeHead(500).end("broken\n");
            return;
        }
        const fileMatch = /^\/(?:[a-z-]+\/)*files\/(\d+)$/.exec(request.url ?? "");
        if (fileMatch) {
            sendFile(request, response, Number(fileMatch[1]));
            return;
        }
        const text = JSON.stringify({ method: request.method, path: request.url, echo: request.headers["x-echo"], bytes: body.length });
        if (behaviour.cutAfterBytes > 0) {
            response.writeHead(200, behaviour.isChunked ? {} : { "content-length": text.length });
            response.write(text.slice(0, behaviour.cutAfterBytes), () => response.destroy());
            return;
        }
        response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
        if (behaviour.repeatsResponsesMs > 0 && counts.served % 2 === 0) {
            const { socket } = request;
            setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(text)}\r\n\r\n${text}`), Math.random() * behaviour.repeatsResponsesMs);
        }
    };
    const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
        if (request.url === "/health") {
            counts.health += 1;
            response.end("ok\n");
            return;
        }
        if (behaviour.cutFrom !== "" && behaviour.cutFrom.split(",").some(id => id !== "" && request.headers.via === `1.1 ${id}`)) {
            return;
        }
        counts.arrived += 1;
        arrivals.push({ via: String(request.headers.via ?? ""), at: Date.now() });
        arrivals.splice(0, arrivals.length - 2_000);
        if (behaviour.isDraining) {
            counts.arrivedWhileDraining += 1;
            response.setHeader("x-draining", "1");
        }
        if (inFlight >= behaviour.slots || behaviour.shedsAll) {
            counts.shed += 1;
            request.resume();
            setTimeout(() => response.writeHead(503, { "x-shed": "1", "content-length": 0 }).end(), behaviour.shedDelayMs);
            return;
        }
        inFlight += 1;
        counts.maximumInFlight = Math.max(counts.maximumInFlight, inFlight);
        deadlines.push(Number(request.headers["x-deadline-ms"] ?? 0));
        deadlines.splice(0, deadlines.length - 100);
        response.on("close", () => {
            inFlight -= 1;
            counts.cancelled += response.writableFinished ? 0 : 1;
        });
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        const finish = () => handleRequest(request, response, Buffer.concat(chunks));
        request.on("end", () => behaviour.serviceMs === 0 ? finish() : void setTimeout(finish, behaviour.serviceMs));
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ ...counts, executions, inFlight, deadlines, arrivals, behaviour }),
        setBehaviour: change => void Object.assign(behaviour, change),
    });
    return { port, controlPort };
}
