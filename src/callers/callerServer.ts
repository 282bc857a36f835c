/** The callers' port, and its part of the graceful shutdown. */

import * as http from "node:http";
import type * as net from "node:net";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as orders from "../orders/index.js";
import type * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as settings from "../settings/index.js";
import type * as callerRequestHandler from "./callerRequestHandler.js";

/** Milliseconds between two looks at whether everything in flight has ended. */
const drainLookMs = 20;
/** How often connections are checked against the time limits, in milliseconds. */
const connectionCheckMs = 500;

const statusLines: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Options of the callers' server. */
export interface CreateCallerServerOptions {
    readonly context: context.Context;
    readonly handler: callerRequestHandler.CallerRequestHandler;
    readonly mesh: peers.Mesh;
    readonly orders: orders.OrderService;
}

/** Serves callers. */
export class CallerServer {
    private readonly server: http.Server;
    private isClosing = false;
    /** The answers under way on each connection. */
    private readonly answering = new WeakMap<net.Socket, number>();

    constructor(private readonly options: CreateCallerServerOptions) {
        const { context: { settings: values }, handler: requestHandler } = options;
        this.server = http.createServer({
            maxHeaderSize: values.headerBytes,
            headersTimeout: values.headerTimeoutMs,
            requestTimeout: 0,
            keepAliveTimeout: values.entriesTtlMs,
            connectionsCheckingInterval: connectionCheckMs,
            noDelay: true,
        }, (request, response) => {
            if (this.isClosing) {
                response.setHeader("connection", "close");
            }
            this.countAnswer(request.socket, 1);
            response.once("close", () => this.countAnswer(request.socket, -1));
            void requestHandler.handleRequest(request, response);
        });
        this.server.maxConnections = values.callerConnections;
        this.server.on("clientError", (error, socket) => this.rejectClient(error, socket as net.Socket));
    }

    /**
     * Takes over the limits of the configuration.
     * @param limits - What bounds callers' connections.
     */
    setLimits({ headerTimeoutMs, idleTimeoutMs }: configuration.ConfigurationDocument["limits"]): void {
        this.server.headersTimeout = headerTimeoutMs ?? this.options.context.settings.headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs ?? this.options.context.settings.entriesTtlMs;
    }

    /** Opens the port and tells the peers. */
    async start(): Promise<void> {
        const { context: { settings: values, logger }, mesh } = this.options;
        const { host, port } = settings.parseAddress(values.callerListen);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        const boundPort = (this.server.address() as net.AddressInfo).port;
        const callerAddress = settings.getAdvertisedAddress(values.callerAdvertise, values.callerListen, boundPort);
        mesh.setMember({ callerAddress, state: "running" });
        logger.writeInfo("callers-port-open", `callers are served at ${callerAddress}`, { address: callerAddress, listening: settings.formatAddress({ host, port: boundPort }) });
    }

    /**
     * Leaves the entries answers and asks callers to close their connections at once, serves those that keep an old
     * answer, then finishes what is in flight.
     */
    async drain(): Promise<void> {
        const { context: { settings: values, logger, clock }, mesh } = this.options;
        const limitAt = clock.getNow() + values.drainTimeoutMs;
        mesh.setMember({ state: "draining" });
        this.isClosing = true;
        await this.wait(Math.min(values.drainTimeoutMs, values.entriesTtlMs + values.entriesGraceMs));
        this.server.close();
        this.server.closeIdleConnections();
        while (this.countInFlight() > 0 && clock.getNow() < limitAt) {
            await this.wait(drainLookMs);
        }
        if (this.countInFlight() > 0) {
            logger.writeWarning("drain-cut", `the graceful shutdown's time is over and ${this.countInFlight()} requests are cut`, { requests: this.countInFlight() });
        }
    }

    /** Closes every connection. */
    async stop(): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }

    private countInFlight(): number {
        return this.options.handler.countInFlightRequests() + this.options.orders.countRunning();
    }

    private wait(delayMs: number): Promise<void> {
        return new Promise(resolve => this.options.context.loop.scheduleOnce(delayMs, resolve));
    }

    private countAnswer(socket: net.Socket, change: number): void {
        this.answering.set(socket, (this.answering.get(socket) ?? 0) + change);
    }

    /** Answers what is not valid HTTP and closes the connection; bytes of an answer under way are never mixed with it. */
    private rejectClient(error: Error, socket: net.Socket): void {
        const code = "code" in error ? String(error.code) : "";
        if (code === "ECONNRESET" || !socket.writable || (this.answering.get(socket) ?? 0) > 0) {
            socket.destroy();
            return;
        }
        const body = `${JSON.stringify({ error: "badRequest", message: `the request is not valid HTTP: ${errors.getErrorMessage(error)}`, outcome: "not-executed", retry: "no" })}\n`;
        const lines = [
            `HTTP/1.1 ${statusLines[code] ?? "400 Bad Request"}`,
            "Content-Type: application/json",
            `Content-Length: ${Buffer.byteLength(body)}`,
            `${requests.fleetHeaders.outcome}: not-executed`,
            `${requests.fleetHeaders.error}: badRequest`,
            "Connection: close",
        ];
        socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`);
    }
}
