/** Callers of a soak: they ask where to connect, keep connections and old answers, refuse to wait, leave and come back. */

import * as http from "node:http";
import * as platform from "../harness/platform.js";
import * as processes from "../harness/processes.js";
import type * as invariants from "./invariants.js";

/** The deadline of a request, and the time-out of the routes, in milliseconds. */
export const deadlineMs = 4_000;
/** Pause between two requests of a caller, in milliseconds. */
const pauseMs = 120;
/** The part of the requests that are orders. */
const orderPart = 0.5;
/** The part of the callers that leave before the answer comes, and after how long at the most, in milliseconds. */
const givingUpPart = 0.05;
const longestPatienceMs = 200;
/** The part of the callers that keep an answer three times as long as they may. */
const stubbornPart = 0.25;
const stubbornFactor = 3;
/** A caller waits at most this part of its deadline for what Retry-After asks. */
const longestRetryAfterMs = deadlineMs / 3;
/** The longest wait for a connection, in milliseconds; the platform's. */
const connectTimeoutMs = 1_000;
/** The length of a worker's answer, as the stand-in pads it. */
const bodyBytes = 100;

/** Options of a caller. */
export interface CreateCallerOptions {
    readonly name: string;
    readonly getRandom: () => number;
    readonly checker: invariants.InvariantChecker;
    /** Returns the instances by callers' address. */
    readonly getInstances: () => ReadonlyMap<string, platform.PlatformInstance>;
}

/** One caller, which sends a request at a time until it is stopped. */
export class Caller {
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    private addresses: readonly string[] = [];
    private askAgainAt = 0;
    private address: string | undefined;
    private isStopped = false;
    private count = 0;

    constructor(private readonly options: CreateCallerOptions) {}

    /** Sends requests until it is stopped. */
    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.readAddresses();
            const retryAfterMs = await this.sendOne();
            await wait(retryAfterMs ?? pauseMs * (0.5 + this.options.getRandom()));
        }
        this.agent.destroy();
    }

    /** Sends no more requests. */
    stop(): void {
        this.isStopped = true;
    }

    private async readAddresses(): Promise<void> {
        if (performance.now() < this.askAgainAt) {
            return;
        }
        const instances = [...this.options.getInstances().values()];
        const asked = instances[Math.floor(this.options.getRandom() * instances.length)];
        const answer = asked === undefined ? undefined : await processes.sendRequest(`http://${asked.addresses.entries}/v1/entries?failureDomain=`, { timeoutMs: connectTimeoutMs }).catch(() => undefined);
        if (answer?.status !== 200 || !answer.isComplete) {
            return;
        }
        const { addresses, keepForS } = JSON.parse(answer.body.toString()) as { readonly addresses: readonly string[]; readonly keepForS: number; };
        const factor = this.options.getRandom() < stubbornPart ? stubbornFactor : 1;
        this.addresses = addresses;
        this.askAgainAt = performance.now() + keepForS * 1_000 * factor;
        if (this.address === undefined || !addresses.includes(this.address)) {
            this.address = undefined;
        }
    }

    /** Sends a request and records how it ended; returns how long to wait where the fleet says so, in milliseconds. */
    private async sendOne(): Promise<number | undefined> {
        const { getRandom: getFraction, name, checker: record } = this.options;
        this.address ??= this.addresses[Math.floor(getFraction() * this.addresses.length)];
        const instance = this.options.getInstances().get(this.address ?? "");
        if (this.address === undefined || instance === undefined) {
            this.address = undefined;
            return undefined;
        }
        const requestId = `${name}-${this.count}`;
        this.count += 1;
        const isOrder = getFraction() < orderPart;
        const patienceMs = getFraction() < givingUpPart ? getFraction() * longestPatienceMs : undefined;
        const sentAt = performance.now();
        const { end, retryAfterMs } = await this.sendRequest(this.address, { requestId, isOrder, patienceMs });
        record.addRequest({ requestId, instance: instance.id, isOrder, sentAt, endedAt: performance.now(), outcome: end });
        if (end.kind === "closed" || end.kind === "refusedConnection") {
            this.address = undefined;
        }
        return retryAfterMs;
    }

    private sendRequest(
        address: string,
        { requestId, isOrder, patienceMs }: { readonly requestId: string; readonly isOrder: boolean; readonly patienceMs: number | undefined; },
    ): Promise<{ readonly end: invariants.RequestRecord["outcome"]; readonly retryAfterMs?: number; }> {
        const headers = { host: platform.host, "request-id": requestId, "deadline-ms": deadlineMs };
        const request = http.request(`http://${address}/${isOrder ? "order" : "look"}/1`, { method: isOrder ? "POST" : "GET", headers, agent: this.agent });
        return new Promise(resolve => {
            let isConnected = request.reusedSocket;
            const timers = [setTimeout(() => isConnected ? undefined : request.destroy(new Error("no connection")), connectTimeoutMs)];
            const finish = (end: invariants.RequestRecord["outcome"], retryAfterMs?: number) => {
                timers.forEach(clearTimeout);
                resolve({ end, retryAfterMs });
            };
            const close = (reason: string) => finish(isConnected ? { kind: "closed", reason } : { kind: "refusedConnection" });
            if (patienceMs !== undefined) {
                timers.push(setTimeout(() => {
                    finish({ kind: "gaveUp" });
                    request.destroy();
                }, patienceMs));
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
            request.on("error", error => close(error.message));
            request.on("response", response => {
                const parts: Buffer[] = [];
                response.on("data", (part: Buffer) => parts.push(part));
                response.on("error", error => close(error.message));
                response.on("end", () => {
                    if (!response.complete) {
                        close("the answer broke off");
                        return;
                    }
                    const status = response.statusCode ?? 0;
                    const isOwn = Buffer.concat(parts).toString() === `${requestId}:`.padEnd(bodyBytes, "x") && response.headers["response-seal"] !== undefined;
                    const retryAfterS = Number(response.headers["retry-after"] ?? NaN);
                    finish({ kind: "answered", status, matchesRequest: isOwn }, Number.isFinite(retryAfterS) ? Math.min(longestRetryAfterMs, retryAfterS * 1_000) : undefined);
                });
            });
            request.end(isOrder ? "issue" : undefined);
        });
    }
}

/** Waits. */
export function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
