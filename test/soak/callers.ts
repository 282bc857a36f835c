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
import * as systemUnderTest from "./systemUnderTest.js";

/** The deadline of requests on the short routes, equal to the timeout of these routes. */
const shortDeadlineMs = 4_000;
/** The mean pause between two requests of a caller. */
const pauseMs = 120;
/** The fraction of requests that are orders. */
const orderFraction = 0.5;
/** The fraction of requests that the caller aborts, and the latest time at which it does so. */
const abortFraction = 0.05;
const maximumAbortDelayMs = 200;
/** The fraction of address lists that a caller uses beyond their validity, and the factor by which it does so. */
const staleEntriesFraction = 0.25;
const staleEntriesFactor = 3;
/** The longest pause that a caller accepts from a Retry-After header. */
const maximumRetryAfterMs = shortDeadlineMs / 3;
/** The connection timeout of callers on the platform. */
const connectTimeoutMs = 1_000;
/** How a caller sends a request and reads its response. */
type Manner = "prompt" | "lateStart" | "lateEnd" | "lateReading";
/** The fractions of requests sent on a new connection some time after it was opened, in chunks with a late last one, and with a response left unread for a time. */
const mannerFractions: readonly (readonly [Manner, number])[] = [["lateStart", 0.12], ["lateEnd", 0.12], ["lateReading", 0.015]];
/** The range of pauses before a late request or chunk. They are shorter than the time limit for the head on a new connection. */
const minimumLateMs = 1_800;
const maximumLateMs = 2_600;
/** The longest time for which a response is left unread. A response that begins before a stopping instance closes its port is read before the instance ends. */
const maximumUnreadMs = 2_000;
/** The fraction of requests that go to the long routes. */
const longFraction = 0.5;
/** The range of slow work. The longest outlasts a planned stop if it begins in its second half. */
const minimumSlowWorkMs = 3_000;
const maximumSlowWorkMs = 5_000;
/** The length to which the stand-in worker pads its response body, and that of a response left unread, which exceeds what the kernel buffers. */
const bodyBytes = 100;
const unreadBodyBytes = 16 * 1024 * 1024;

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
}

/** A request to send. */
interface PlannedRequest {
    readonly requestId: string;
    readonly isOrder: boolean;
    readonly isLong: boolean;
    readonly manner: Manner;
    /** The pause before the first byte, before the last chunk or before reading. */
    readonly pauseMs: number;
    readonly slowWorkMs: number;
    readonly abortAfterMs: number | undefined;
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

    constructor(private readonly options: CreateCallerOptions) {}

    /** Sends requests until `stop` is called. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.readAddresses();
            const retryAfterMs = await this.sendNext();
            await wait(retryAfterMs ?? pauseMs * (0.5 + this.options.getRandom()));
        }
        this.agent.destroy();
    }

    /** Stops the caller after the request in flight. */
    stop(): void {
        this.isStopped = true;
    }

    private async readAddresses(): Promise<void> {
        if (performance.now() < this.refreshAt) {
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
        const planned = this.createRequest(instance.id);
        const connection = planned.manner === "lateStart" ? await openConnection(this.address, planned.pauseMs) : undefined;
        const { retryAfterMs, ...sent } = await this.sendRequest(this.address, planned, connection);
        const { requestId, isOrder, isLong } = planned;
        checker.addRequest({ requestId, instance: instance.id, isOrder, deadlineMs: isLong ? systemUnderTest.longTimeoutMs : shortDeadlineMs, endedAt: performance.now(), ...sent });
        if (sent.outcome.kind === "closed" || sent.outcome.kind === "refusedConnection") {
            this.address = undefined;
        }
        return retryAfterMs;
    }

    private createRequest(instance: string): PlannedRequest {
        const { getRandom, name, getSlowFraction } = this.options;
        const requestId = `${name}-${this.sentCount}`;
        this.sentCount += 1;
        const manner = chooseManner(getRandom());
        // Instances do not pass on large responses to orders.
        const isOrder = (getRandom() < orderFraction && manner !== "lateReading") || manner === "lateEnd";
        const isLong = getRandom() < longFraction || manner === "lateReading";
        const pauseMs = manner === "lateReading" ? getRandom() * maximumUnreadMs : minimumLateMs + getRandom() * (maximumLateMs - minimumLateMs);
        const slowWorkMs = getRandom() < getSlowFraction(instance) && (manner === "lateStart" || manner === "lateEnd") ? minimumSlowWorkMs + getRandom() * (maximumSlowWorkMs - minimumSlowWorkMs) : 0;
        const abortAfterMs = getRandom() < abortFraction && manner === "prompt" ? getRandom() * maximumAbortDelayMs : undefined;
        return { requestId, isOrder, isLong, manner, pauseMs, slowWorkMs, abortAfterMs };
    }

    private sendRequest(address: string, { requestId, isOrder, isLong, manner, pauseMs, slowWorkMs, abortAfterMs }: PlannedRequest, connection: net.Socket | undefined): Promise<SentRequest> {
        const expectedBytes = manner === "lateReading" ? unreadBodyBytes : bodyBytes;
        const headers = {
            host: platform.host,
            "request-id": requestId,
            "deadline-ms": isLong ? systemUnderTest.longTimeoutMs : shortDeadlineMs,
            "extra-work-ms": Math.round(slowWorkMs),
            "response-bytes": expectedBytes,
        };
        const route = isOrder ? isLong ? "dispatch" : "order" : isLong ? "audit" : "look";
        const sentAt = performance.now();
        let sentEntirelyAt = sentAt;
        let unreadMs = 0;
        if (connection?.destroyed === true || connection?.connecting === true) {
            connection.destroy();
            return Promise.resolve({ outcome: { kind: "refusedConnection" }, sentAt, sentEntirelyAt, unreadMs });
        }
        const request = http.request(`http://${address}/${route}/1`, { method: isOrder ? "POST" : "GET", headers, ...connection === undefined ? { agent: this.agent } : { createConnection: () => connection } });
        return new Promise(resolve => {
            let isConnected = request.reusedSocket || connection !== undefined;
            const timers = [setTimeout(() => isConnected ? undefined : request.destroy(new Error("connection timed out")), connectTimeoutMs)];
            const finish = (outcome: invariants.RequestRecord["outcome"], retryAfterMs?: number) => {
                timers.forEach(clearTimeout);
                connection?.destroy();
                resolve({ outcome, sentAt, sentEntirelyAt, unreadMs, retryAfterMs });
            };
            const finishClosed = (reason: string) => finish(isConnected ? { kind: "closed", reason } : { kind: "refusedConnection" });
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
                const readBody = () => response.on("data", (chunk: Buffer) => chunks.push(chunk));
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
                    const matchesRequest = Buffer.concat(chunks).toString() === `${requestId}:`.padEnd(expectedBytes, "x") && response.headers["response-seal"] !== undefined;
                    const retryAfterS = Number(response.headers["retry-after"] ?? NaN);
                    finish({ kind: "answered", status, matchesRequest }, Number.isFinite(retryAfterS) ? Math.min(maximumRetryAfterMs, retryAfterS * 1_000) : undefined);
                });
            });
            if (manner !== "lateEnd") {
                request.end(isOrder ? "issue" : undefined);
                return;
            }
            request.write("issue");
            timers.push(setTimeout(() => {
                sentEntirelyAt = performance.now();
                request.end("d");
            }, pauseMs));
        });
    }
}

function chooseManner(drawn: number): Manner {
    let upperBound = 0;
    for (const [manner, fraction] of mannerFractions) {
        upperBound += fraction;
        if (drawn < upperBound) {
            return manner;
        }
    }
    return "prompt";
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
