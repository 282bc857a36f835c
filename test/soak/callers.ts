/**
 * Simulated callers of a soak. They discover instances, reuse connections, sometimes use outdated addresses, and sometimes
 * abort requests, send late on new connections, send bodies slowly, or read responses late.
 */

import { once } from "node:events";
import * as http from "node:http";
import * as net from "node:net";
import * as platform from "../harness/platform.js";
import * as processes from "../harness/processes.js";
import type * as invariants from "./invariants.js";
import type * as traffic from "./traffic.js";

/** The fraction of address lists that a caller uses beyond their validity, and the factor by which it does so. */
const staleEntriesFraction = 0.25;
const staleEntriesFactor = 3;
/** The longest pause that a caller accepts from a Retry-After header. */
const maximumRetryAfterMs = 1_333;
/** The connection timeout of callers on the platform. */
const connectTimeoutMs = 1_000;

/** The sources of addresses and randomness of a caller, and the checker that records its requests. */
export interface CreateCallerOptions {
    readonly name: string;
    /** Returns the next random number between 0 and 1. */
    readonly getRandom: () => number;
    readonly checker: invariants.InvariantChecker;
    /** Returns the instances by the address of their callers' port. */
    readonly getInstances: () => ReadonlyMap<string, platform.PlatformInstance>;
    /** Returns the fraction of an instance's late requests whose work is slow. */
    readonly getSlowFraction: (instance: string) => number;
    readonly traffic: traffic.Traffic;
}

/** What became of a request. */
type SentRequest = Pick<invariants.RequestRecord, "outcome" | "sentAt" | "sentEntirelyAt" | "unreadMs"> & { readonly retryAfterMs?: number; };

/** A caller that sends one request at a time until it is stopped. */
export class Caller {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    private addresses: readonly string[] = [];
    private refreshAt = 0;
    private address: string | undefined;
    private isStopped = false;
    private sentCount = 0;
    private readonly isLoyal: boolean;

    constructor(private readonly options: CreateCallerOptions) {
        const { traffic: { loyalFraction }, getRandom } = options;
        this.isLoyal = loyalFraction > 0 && getRandom() < loyalFraction;
    }

    /** Sends requests until `stop` is called. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.readAddresses();
            const retryAfterMs = await this.sendNext();
            await wait(retryAfterMs ?? this.options.traffic.pauseMs * (0.5 + this.options.getRandom()));
        }
        this.agent.destroy();
    }

    /** Stops the caller after the request in flight. */
    stop(): void {
        this.isStopped = true;
    }

    private async readAddresses(): Promise<void> {
        if (performance.now() < this.refreshAt || (this.isLoyal && this.address !== undefined)) {
            return;
        }
        const instances = [...this.options.getInstances().values()];
        const instance = instances[Math.floor(this.options.getRandom() * instances.length)];
        const response = instance === undefined ? undefined : await processes.sendRequest(`http://${instance.addresses.entries}/v1/entries?failureDomain=`, { timeoutMs: connectTimeoutMs }).catch(() => undefined);
        if (response?.status !== 200 || !response.isComplete) {
            return;
        }
        const { addresses, keepForS } = JSON.parse(response.body.toString()) as { readonly addresses: readonly string[]; readonly keepForS: number; };
        const factor = this.options.getRandom() < staleEntriesFraction ? staleEntriesFactor : 1;
        this.addresses = addresses;
        this.refreshAt = performance.now() + keepForS * 1_000 * factor;
        if (this.address === undefined || !addresses.includes(this.address)) {
            this.address = undefined;
        }
    }

    /** Sends a request and records its outcome. Returns the pause in milliseconds if the response asks for one. */
    private async sendNext(): Promise<number | undefined> {
        const { getRandom, checker } = this.options;
        this.address ??= this.addresses[Math.floor(getRandom() * this.addresses.length)];
        const instance = this.options.getInstances().get(this.address ?? "");
        if (this.address === undefined || instance === undefined) {
            this.address = undefined;
            return undefined;
        }
        const requestId = `${this.options.name}-${this.sentCount}`;
        this.sentCount += 1;
        const planned = this.options.traffic.createRequest({ getRandom, slowFraction: this.options.getSlowFraction(instance.id) });
        const connection = planned.manner === "lateStart" ? await openConnection(this.address, planned.pauseMs) : undefined;
        const { retryAfterMs, ...sent } = await this.sendRequest(this.address, requestId, planned, connection);
        checker.addRequest({ requestId, instance: instance.id, route: planned.route, isOrder: planned.isOrder, deadlineMs: planned.timeLimitMs, endedAt: performance.now(), ...sent });
        if (sent.outcome.kind === "closed" || sent.outcome.kind === "refusedConnection") {
            this.address = undefined;
        }
        return retryAfterMs;
    }

    private sendRequest(
        address: string,
        requestId: string,
        { route, isOrder, isKept, deadlineMs, manner, pauseMs, extraWorkMs, requestBytes, responseBytes, abortAfterMs }: traffic.PlannedRequest,
        connection: net.Socket | undefined,
    ): Promise<SentRequest> {
        const headers = {
            host: platform.host,
            "request-id": requestId,
            "deadline-ms": deadlineMs,
            "extra-work-ms": Math.round(extraWorkMs),
            "response-bytes": responseBytes,
        };
        const sentAt = performance.now();
        let sentEntirelyAt = sentAt;
        let unreadMs = 0;
        if (connection?.destroyed === true || connection?.connecting === true) {
            connection.destroy();
            return Promise.resolve({ outcome: { kind: "refusedConnection" }, sentAt, sentEntirelyAt, unreadMs });
        }
        const request = http.request(`http://${address}/${route}/1`, { method: isOrder ? "POST" : "GET", headers, ...connection === undefined ? { agent: isKept ? this.agent : false } : { createConnection: () => connection } });
        return new Promise(resolve => {
            let isConnected = request.reusedSocket || connection !== undefined;
            const timers = [setTimeout(() => isConnected ? undefined : request.destroy(new Error("connection timed out")), connectTimeoutMs)];
            const finish = (outcome: invariants.RequestRecord["outcome"], retryAfterMs?: number) => {
                timers.forEach(clearTimeout);
                connection?.destroy();
                resolve({ outcome, sentAt, sentEntirelyAt, unreadMs, retryAfterMs });
            };
            const received = { status: 0, bytes: 0 };
            const finishClosed = (reason: string) => finish(isConnected ? { kind: "closed", reason, isReused: request.reusedSocket, ...received } : { kind: "refusedConnection" });
            if (abortAfterMs !== undefined) {
                timers.push(setTimeout(() => {
                    finish({ kind: "gaveUp" });
                    request.destroy();
                }, abortAfterMs));
            }
            request.on("socket", socket => {
                if (!socket.connecting) {
                    isConnected = true;
                    return;
                }
                socket.once("connect", () => {
                    isConnected = true;
                });
            });
            request.on("error", error => finishClosed(error.message));
            request.on("close", () => finishClosed("the connection closed"));
            request.on("response", response => {
                const chunks: Buffer[] = [];
                received.status = response.statusCode ?? 0;
                const readBody = () =>
                    response.on("data", (chunk: Buffer) => {
                        chunks.push(chunk);
                        received.bytes += chunk.length;
                    });
                if (manner === "lateReading" && response.statusCode === 200) {
                    unreadMs = pauseMs;
                    timers.push(setTimeout(readBody, pauseMs));
                }
                else {
                    readBody();
                }
                response.on("error", error => finishClosed(error.message));
                response.on("end", () => {
                    if (!response.complete) {
                        finishClosed("the response body was truncated");
                        return;
                    }
                    const status = response.statusCode ?? 0;
                    const matchesRequest = Buffer.concat(chunks).toString() === `${requestId}:`.padEnd(responseBytes, "x") && response.headers["response-seal"] !== undefined;
                    const retryAfterS = Number(response.headers["retry-after"] ?? NaN);
                    finish({ kind: "answered", status, matchesRequest }, Number.isFinite(retryAfterS) ? Math.min(maximumRetryAfterMs, retryAfterS * 1_000) : undefined);
                });
            });
            if (manner !== "lateEnd") {
                request.end(isOrder ? "x".repeat(requestBytes) : undefined);
                return;
            }
            request.write("x".repeat(requestBytes - 1));
            timers.push(setTimeout(() => {
                sentEntirelyAt = performance.now();
                request.end("x");
            }, pauseMs));
        });
    }
}

/** Opens a connection and returns it after a delay, also if it was refused or has closed by then. */
async function openConnection(address: string, delayMs: number): Promise<net.Socket> {
    const [host, port] = address.split(":");
    const socket = net.connect(Number(port), host);
    // Errors that occur before a request uses the connection show in the request.
    socket.on("error", () => {});
    await Promise.race([once(socket, "connect").catch(() => undefined), wait(connectTimeoutMs)]);
    await wait(delayMs);
    return socket;
}

/** Resolves after a delay. */
export function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
