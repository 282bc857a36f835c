/** Counts the bytes that are exchanged with upstreams, apart for the own and for other failure domains. */

import type * as http from "node:http";
import type * as net from "node:net";
import * as promClient from "prom-client";
import type * as pool from "../pool/index.js";

/** Options of `UpstreamBytes`. */
export interface CreateUpstreamBytesOptions {
    readonly registry: promClient.Registry;
    /** The failure domain of this instance. */
    readonly failureDomain: string;
}

/** Counts the bytes on the connections of requests, HTTP headers included. */
export class UpstreamBytes {
    /** The bytes of each connection that are counted already; several requests may use one connection. */
    private readonly counted = new WeakMap<net.Socket, { readonly sent: number; readonly received: number; }>();
    private readonly counter: promClient.Counter<"direction" | "domain">;

    constructor(private readonly options: CreateUpstreamBytesOptions) {
        this.counter = new promClient.Counter({
            name: "agatebend_upstream_bytes_total",
            help: "Bytes on connections to upstreams of the own and of other failure domains.",
            labelNames: ["direction", "domain"],
            registers: [options.registry],
        });
    }

    /** Counts the bytes of a request and its response once both are complete. */
    watchRequest(sent: http.ClientRequest, upstream: pool.Upstream): void {
        const domain = upstream.getFailureDomain() === this.options.failureDomain ? "own" : "other";
        sent.once("socket", socket => sent.once("close", () => this.countBytes(socket, domain)));
    }

    private countBytes(socket: net.Socket, domain: "own" | "other"): void {
        const before = this.counted.get(socket) ?? { sent: 0, received: 0 };
        const now = { sent: socket.bytesWritten, received: socket.bytesRead };
        this.counted.set(socket, now);
        this.counter.inc({ direction: "sent", domain }, now.sent - before.sent);
        this.counter.inc({ direction: "received", domain }, now.received - before.received);
    }
}
