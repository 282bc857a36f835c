/** Simulated callers of a soak. They discover instances, reuse connections, sometimes use outdated addresses, and sometimes abort requests. */

import * as http from "node:http";
import * as platform from "../harness/platform.js";
import * as processes from "../harness/processes.js";
import type * as invariants from "./invariants.js";

/** The deadline of each request, equal to the timeout of the routes. */
export const deadlineMs = 4_000;
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
const maximumRetryAfterMs = deadlineMs / 3;
/** The connection timeout of callers on the platform. */
const connectTimeoutMs = 1_000;
/** The length to which the stand-in worker pads its response body. */
const bodyBytes = 100;

/** The sources of addresses and randomness of a caller, and the checker that records its requests. */
export interface CreateCallerOptions {
    readonly name: string;
    /** Returns the next random number between 0 and 1. */
    readonly getRandom: () => number;
    readonly checker: invariants.InvariantChecker;
    /** Returns the instances by the address of their callers' port. */
    readonly getInstances: () => ReadonlyMap<string, platform.PlatformInstance>;
}

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
        const { getRandom, name, checker } = this.options;
        this.address ??= this.addresses[Math.floor(getRandom() * this.addresses.length)];
        const instance = this.options.getInstances().get(this.address ?? "");
        if (this.address === undefined || instance === undefined) {
            this.address = undefined;
            return undefined;
        }
        const requestId = `${name}-${this.sentCount}`;
        this.sentCount += 1;
        const isOrder = getRandom() < orderFraction;
        const abortAfterMs = getRandom() < abortFraction ? getRandom() * maximumAbortDelayMs : undefined;
        const sentAt = performance.now();
        const { outcome, retryAfterMs } = await this.sendRequest(this.address, { requestId, isOrder, abortAfterMs });
        checker.addRequest({ requestId, instance: instance.id, isOrder, sentAt, endedAt: performance.now(), outcome });
        if (outcome.kind === "closed" || outcome.kind === "refusedConnection") {
            this.address = undefined;
        }
        return retryAfterMs;
    }

    private sendRequest(
        address: string,
        { requestId, isOrder, abortAfterMs }: { readonly requestId: string; readonly isOrder: boolean; readonly abortAfterMs: number | undefined; },
    ): Promise<{ readonly outcome: invariants.RequestRecord["outcome"]; readonly retryAfterMs?: number; }> {
        const headers = { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs };
        const request = http.request(`http://${address}/${isOrder ? "order" : "look"}/1`, { method: isOrder ? "POST" : "GET", headers, agent: this.agent });
        return new Promise(resolve => {
            let isConnected = request.reusedSocket;
            const timers = [setTimeout(() => isConnected ? undefined : request.destroy(new Error("connection timed out")), connectTimeoutMs)];
            const finish = (outcome: invariants.RequestRecord["outcome"], retryAfterMs?: number) => {
                timers.forEach(clearTimeout);
                resolve({ outcome, retryAfterMs });
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
            request.on("response", response => {
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", error => finishClosed(error.message));
                response.on("end", () => {
                    if (!response.complete) {
                        finishClosed("the response body was truncated");
                        return;
                    }
                    const status = response.statusCode ?? 0;
                    const matchesRequest = Buffer.concat(chunks).toString() === `${requestId}:`.padEnd(bodyBytes, "x") && response.headers["response-seal"] !== undefined;
                    const retryAfterS = Number(response.headers["retry-after"] ?? NaN);
                    finish({ kind: "answered", status, matchesRequest }, Number.isFinite(retryAfterS) ? Math.min(maximumRetryAfterMs, retryAfterS * 1_000) : undefined);
                });
            });
            request.end(isOrder ? "issue" : undefined);
        });
    }
}

/** Resolves after a delay. */
export function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
