/** The HTTP server for callers, including its graceful shutdown. */

import * as http from "node:http";
import type * as net from "node:net";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as httpConnections from "../kernel/httpConnections.js";
import type * as plugins from "../kernel/plugins.js";
import type * as orders from "../orders/index.js";
import type * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as settings from "../settings/index.js";
import type * as callerRequestHandler from "./callerRequestHandler.js";
import * as drainLog from "./drainLog.js";
import type * as inFlightRequests from "./inFlightRequests.js";

/** How often `drain` checks whether requests are still in flight, in milliseconds. */
const drainPollIntervalMs = 20;
/** How long before the end of a shutdown queued requests are refused, so that their responses are still sent. */
const queueRejectionLeadMs = 100;
/** How long after the end of a shutdown the last responses are written, within the overrun that the kernel allows. */
const finalResponsesMs = 30;
/** How long before the port closes estimates of latencies no longer count, since a busy process may handle the signal that stops it later than it can tell. */
const estimatesLeadMs = 500;
/** A shutdown that ends later than this was delayed by a stall. Responses that upstreams have sent meanwhile may take several polls to be read. */
const lateEndMs = 50;
/** How long they are read. */
const lateReadMs = 30;
/** How often Node.js checks connections against the header timeout, in milliseconds. */
const connectionCheckIntervalMs = 500;

/** The code of Node's error for a request whose head did not come in time. */
const requestTimeoutCode = "ERR_HTTP_REQUEST_TIMEOUT";
/** The response status by the code of the HTTP parser's error; the response to any other error has status 400. */
const statusByParserErrorCode: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    [requestTimeoutCode]: "408 Request Timeout",
};

/** Options of the server for callers. */
export interface CreateCallerServerOptions {
    readonly context: context.Context;
    readonly handler: callerRequestHandler.CallerRequestHandler;
    readonly inFlight: inFlightRequests.InFlightRequests;
    readonly mesh: peers.Mesh;
    readonly orders: orders.OrderService;
    readonly executor: requests.ExecutorContext;
    /** Refuses the requests that wait for a slot and have not been sent. */
    readonly rejectQueued: () => void;
}

/** Accepts callers' connections and passes their requests to the request handler. */
export class CallerServer {
    private readonly server: http.Server;
    private readonly connections: httpConnections.HttpConnections;
    private readonly drainLog: drainLog.DrainLog;

    constructor(private readonly options: CreateCallerServerOptions) {
        const { context: { settings: serveSettings }, handler: requestHandler } = options;
        this.server = http.createServer({
            maxHeaderSize: serveSettings.headerBytes,
            headersTimeout: serveSettings.headerTimeoutMs,
            requestTimeout: 0,
            keepAliveTimeout: serveSettings.entriesTtlMs,
            connectionsCheckingInterval: connectionCheckIntervalMs,
            noDelay: true,
        }, (request, response) => {
            // Its caller may send it again, since it is not passed on.
            if (this.connections.isAfterClose(response)) {
                return;
            }
            void requestHandler.handleRequest(request, response);
        });
        this.connections = new httpConnections.HttpConnections(this.server);
        this.drainLog = new drainLog.DrainLog(options);
        this.server.maxConnections = serveSettings.callerConnections;
        this.server.on("clientError", (error, socket) => void this.handleClientError(error, socket as net.Socket));
    }

    /**
     * Applies the configuration's time limits for callers' connections; the settings supply those that it omits.
     * @param limits - The limits of the configuration.
     */
    setLimits({ headerTimeoutMs, idleTimeoutMs }: configuration.ConfigurationDocument["limits"]): void {
        this.server.headersTimeout = headerTimeoutMs ?? this.options.context.settings.headerTimeoutMs;
        this.server.keepAliveTimeout = idleTimeoutMs ?? this.options.context.settings.entriesTtlMs;
    }

    /** Opens the port and announces its address to the peers. */
    async start(): Promise<void> {
        const { context: { settings: serveSettings, logger }, mesh } = this.options;
        const { host, port } = settings.parseAddress(serveSettings.callerListen);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        const boundPort = (this.server.address() as net.AddressInfo).port;
        const callerAddress = settings.getAdvertisedAddress(serveSettings.callerAdvertise, serveSettings.callerListen, boundPort);
        mesh.setMember({ callerAddress, state: "running" });
        logger.writeInfo("callers-port-open", `listening for callers at ${callerAddress}`, { address: callerAddress, listening: settings.formatAddress({ host, port: boundPort }) });
    }

    /**
     * Shuts down gracefully. First, peers stop listing this instance as an entry point, responses ask callers to close
     * their connections, and callers with a cached list of entry points are still served until that list expires. Then
     * the port is closed, and requests in flight may finish until the shutdown ends.
     * @param shutdown - The shutdown, with its end.
     */
    async drain(shutdown: plugins.Shutdown): Promise<void> {
        const { requestedAt, earliestRequestAt, startedAt, endsAt, admitsUntil } = shutdown;
        const { context: { settings: { entriesTtlMs, entriesGraceMs }, clock }, mesh, executor } = this.options;
        const entriesExpireMs = entriesTtlMs + entriesGraceMs;
        // Peers list this instance until now, also if the signal was handled late.
        const portClosesAt = Math.min(endsAt, Math.max(requestedAt + entriesExpireMs, startedAt + entriesTtlMs));
        mesh.setMember({ state: "draining" });
        this.drainLog.start(shutdown);
        // Where the port stays open to the end, half of the shutdown is left for requests that take longer than estimated.
        executor.setShutdownTimes({ endsAt: admitsUntil, estimatesEndAt: Math.min(earliestRequestAt + entriesExpireMs - estimatesLeadMs, (startedAt + endsAt) / 2) });
        this.connections.startClosing();
        await this.wait(Math.max(0, portClosesAt - clock.getNow()));
        await this.connections.waitUntilRead();
        this.connections.stopListening();
        const closedIdle = this.connections.closeIdle();
        this.drainLog.writePortClosed(closedIdle, this.connections.countConnections());
        await this.finishRequests(shutdown);
        this.drainLog.writeEnd();
        // Requests that arrived from now on would be passed on and then cut.
        this.connections.closeAll();
    }

    /** Closes the port and every connection. */
    async stop(): Promise<void> {
        this.drainLog.writeEnd();
        this.connections.closeAll();
        this.drainLog.writeSummary();
    }

    /** Waits for the requests in flight until the shutdown ends, and answers before it those that were not sent. */
    private async finishRequests({ endsAt, readsEndAt }: plugins.Shutdown): Promise<void> {
        const { context: { clock }, orders: orderService } = this.options;
        await this.waitForRequests(endsAt - queueRejectionLeadMs);
        this.options.rejectQueued();
        orderService.rejectUnclaimed();
        await this.waitForRequests(endsAt);
        if (clock.getNow() - endsAt > lateEndMs) {
            await this.waitForRequests(Math.min(clock.getNow() + lateReadMs, readsEndAt));
        }
        if (orderService.finishOutcomeWaits() > 0) {
            await this.waitForRequests(Math.max(endsAt + finalResponsesMs, Math.min(clock.getNow() + finalResponsesMs, readsEndAt)));
        }
    }

    private async waitForRequests(until: number): Promise<void> {
        await this.connections.waitUntilRead();
        while (this.countInFlight() > 0 && this.options.context.clock.getNow() < until) {
            await this.wait(drainPollIntervalMs);
            await this.connections.waitUntilRead();
        }
    }

    private countInFlight(): number {
        return this.options.inFlight.countUnwritten() + this.options.orders.countRunning();
    }

    private wait(delayMs: number): Promise<void> {
        return new Promise(resolve => this.options.context.loop.scheduleOnce(delayMs, resolve));
    }

    private async handleClientError(error: Error, socket: net.Socket): Promise<void> {
        if (getErrorCode(error) === requestTimeoutCode) {
            // After a stall, the time-out comes before a request that has arrived is read. It may be answered by now.
            const requestsBefore = this.connections.countRequests(socket);
            await this.connections.waitUntilRead();
            if (this.connections.countRequests(socket) > requestsBefore || this.connections.countOpenResponses(socket) > 0) {
                return;
            }
        }
        this.rejectClient(error, socket);
    }

    /**
     * Answers an invalid HTTP request with an error and closes the connection. If a response is in progress on the
     * connection, only closes it, because the error's bytes would corrupt that response.
     */
    private rejectClient(error: Error, socket: net.Socket): void {
        const code = getErrorCode(error);
        if (code === "ECONNRESET" || !socket.writable || this.connections.countOpenResponses(socket) > 0) {
            socket.destroy();
            return;
        }
        const body = `${JSON.stringify({ error: "badRequest", message: `the request is not valid HTTP: ${errors.getErrorMessage(error)}`, outcome: "not-executed", retry: "no" })}\n`;
        const lines = [
            `HTTP/1.1 ${statusByParserErrorCode[code] ?? "400 Bad Request"}`,
            "Content-Type: application/json",
            `Content-Length: ${Buffer.byteLength(body)}`,
            `${requests.fleetHeaders.outcome}: not-executed`,
            `${requests.fleetHeaders.error}: badRequest`,
            "Connection: close",
        ];
        socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`);
        this.connections.closeAfterPeer(socket);
    }
}

function getErrorCode(error: Error): string {
    return "code" in error ? String(error.code) : "";
}
