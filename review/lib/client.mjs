// A stand-in of a client: asks a directory where to connect, and sends requests with a Request-Id each.
import crypto from "node:crypto";
import http from "node:http";
import { sealOf } from "./worker.mjs";
import { host } from "./fleet.mjs";

export const newId = () => crypto.randomBytes(8).toString("hex");

/** Asks the directories in turn, as a client does; returns the addresses of the front daemons. */
export async function resolve(instances, zone) {
    const sorted = [...instances].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone)).slice(0, 3);
    for (const { entries } of sorted) {
        try {
            const response = await fetch(`http://${entries}/v1/entries?name=${host}&region=midlands&failureDomain=${zone}`, { signal: AbortSignal.timeout(1_000) });
            const { addresses } = await response.json();
            if (addresses.length > 0) {
                return addresses;
            }
        }
        catch {
            // The next one is asked.
        }
    }
    return [];
}

/**
 * Sends one request and reads the whole answer.
 * @returns { id, status, headers, body, end }: `end` is "complete", "cut" (the connection ended within or before the answer) or "gave up" (at the deadline).
 */
export function send(address, { method = "GET", path, body, id = newId(), deadlineMs = 4_000, agent, bytesPerS, headers = {} }) {
    const [hostname, port] = address.split(":");
    const startedAt = performance.now();
    return new Promise(done => {
        let response;
        const chunks = [];
        let pause;
        const finish = (end, reason) => {
            clearTimeout(timer);
            clearInterval(pause);
            const whole = Buffer.concat(chunks);
            done({ id, address, end, reason, status: response?.statusCode, headers: response?.headers ?? {}, body: whole, durationMs: Math.round(performance.now() - startedAt), startedAt, endedAt: performance.now() });
        };
        const request = http.request({ hostname, port, method, path, agent: agent ?? false, headers: { Host: host, "Request-Id": id, "Deadline-Ms": deadlineMs, ...(body === undefined ? {} : { "Content-Length": Buffer.byteLength(body) }), ...headers } });
        const timer = setTimeout(() => {
            finish("gave up");
            request.destroy();
        }, deadlineMs);
        request.on("error", error => finish("cut", error.code ?? error.message));
        request.on("close", () => finish("cut", "the connection closed"));
        request.on("response", received => {
            response = received;
            received.on("error", error => finish("cut", error.code ?? error.message));
            if (bytesPerS === undefined) {
                received.on("data", chunk => chunks.push(chunk));
            }
            else {
                // A link of little bandwidth: so many bytes in each 20 ms.
                const readSome = () => {
                    let left = Math.round(bytesPerS / 50);
                    while (left > 0 && received.readableLength > 0) {
                        const chunk = received.read(Math.min(left, received.readableLength));
                        if (chunk === null) {
                            return;
                        }
                        chunks.push(chunk);
                        left -= chunk.length;
                    }
                    if (received.readableLength === 0) {
                        received.read(0);
                    }
                };
                pause = setInterval(readSome, 20);
                received.on("readable", () => {});
            }
            received.on("end", () => finish(received.complete ? "complete" : "cut", "the answer ended early"));
        });
        request.end(body);
    });
}

/** Returns whether a success is the worker's: it bears the seal, and its body is the one that the seal was made for. */
export function isSealedWhole({ headers, body }) {
    const seal = headers["response-seal"];
    return seal !== undefined && seal === sealOf(seal.split(".")[0], body);
}
