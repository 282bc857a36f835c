/** A stand-in upstream: slots, service time, shedding, draining, stalls while its health answers, cut bodies, ranges. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import * as control from "./control.js";

const blockBytes = 64 * 1024;

/** What a control port may change. */
export interface UpstreamBehaviour {
    slots: number;
    serviceMs: number;
    /** Real work never ends, while /health answers. */
    isStalled: boolean;
    /** Part of the requests that are answered with status 500. */
    errorPart: number;
    /** Answers carry the draining header, and new work is counted. */
    isDraining: boolean;
    /** Bytes after which each body breaks off; 0 for never. */
    cutAfterBytes: number;
    /** Answers of unknown length, in chunks. */
    isChunked: boolean;
    /** Orders run, and then the connection breaks instead of an answer. */
    losesAnswers: boolean;
    /** Sheds everything. */
    shedsAll: boolean;
    /** Changes the entity tag of files. */
    fileVersion: number;
    /** Instances whose requests never arrive, as over a cut link; separated by commas. */
    cutFrom: string;
    /** Milliseconds between two blocks of a file. */
    blockDelayMs: number;
}

/** Creates the bytes of a file's block; each block differs and can be made again. */
export function createFileBlock(index: number): Buffer {
    const seed = crypto.createHash("sha256").update(`block ${index}`).digest();
    return Buffer.alloc(blockBytes, seed);
}

/** Computes the hash of a whole file of a length. */
export function computeFileHash(length: number): string {
    const hash = crypto.createHash("sha256");
    for (let offset = 0; offset < length; offset += blockBytes) {
        hash.update(createFileBlock(offset / blockBytes).subarray(0, Math.min(blockBytes, length - offset)));
    }
    return hash.digest("hex");
}

/** Starts an upstream; returns its ports. */
export async function startUpstream() {
    const behaviour: UpstreamBehaviour = { slots: 3, serviceMs: 10, isStalled: false, errorPart: 0, isDraining: false, cutAfterBytes: 0, losesAnswers: false, isChunked: false, shedsAll: false, fileVersion: 1, cutFrom: "", blockDelayMs: 0 };
    const executions: Record<string, number> = {};
    const counts = { served: 0, shed: 0, arrived: 0, cancelled: 0, arrivedWhileDraining: 0, health: 0, maximumInFlight: 0 };
    const deadlines: number[] = [];
    /** When each instance last sent work here, in milliseconds since the epoch; the newest last. */
    const arrivals: { readonly via: string; readonly at: number; }[] = [];
    let inFlight = 0;
    const sendFile = (request: http.IncomingMessage, response: http.ServerResponse, length: number) => {
        const entityTag = `"${length}-${behaviour.fileVersion}"`;
        const asked = /^bytes=(\d+)-(\d*)$/.exec(request.headers.range ?? "");
        const isRange = asked && (request.headers["if-range"] ?? entityTag) === entityTag;
        const first = isRange ? Number(asked[1]) : 0;
        const last = isRange && asked[2] !== "" ? Number(asked[2]) : length - 1;
        response.writeHead(isRange ? 206 : 200, {
            "content-length": last - first + 1,
            "accept-ranges": "bytes",
            etag: entityTag,
            ...(isRange ? { "content-range": `bytes ${first}-${last}/${length}` } : {}),
        });
        let offset = first;
        const write = () => {
            while (offset <= last) {
                if (behaviour.cutAfterBytes > 0 && offset - first >= behaviour.cutAfterBytes) {
                    response.destroy();
                    return;
                }
                if (behaviour.isStalled) {
                    return;
                }
                const block = createFileBlock(Math.floor(offset / blockBytes));
                const part = block.subarray(offset % blockBytes, Math.min(blockBytes, offset % blockBytes + last + 1 - offset));
                offset += part.length;
                const isReady = response.write(part);
                if (behaviour.blockDelayMs > 0) {
                    setTimeout(write, behaviour.blockDelayMs);
                    return;
                }
                if (!isReady) {
                    response.once("drain", write);
                    return;
                }
            }
            response.end();
        };
        write();
    };
    const answer = (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => {
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
        const file = /^\/(?:[a-z-]+\/)*files\/(\d+)$/.exec(request.url ?? "");
        if (file) {
            sendFile(request, response, Number(file[1]));
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
            response.writeHead(503, { "x-shed": "1", "content-length": 0 }).end();
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
        const parts: Buffer[] = [];
        request.on("data", (part: Buffer) => parts.push(part));
        const finish = () => answer(request, response, Buffer.concat(parts));
        request.on("end", () => behaviour.serviceMs === 0 ? finish() : void setTimeout(finish, behaviour.serviceMs));
    });
    const port = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ ...counts, executions, inFlight, deadlines, arrivals, behaviour }),
        setBehaviour: change => void Object.assign(behaviour, change),
    });
    return { port, controlPort };
}
