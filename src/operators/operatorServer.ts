/** The HTTP server for operators: RPC, metrics, state dump, liveness, readiness and event log. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import type * as net from "node:net";
import * as httpConnections from "../kernel/httpConnections.js";
import type * as plugins from "../kernel/plugins.js";
import * as settings from "../settings/index.js";
import type * as operatorService from "./operatorService.js";

/** The maximum size of an RPC message in bytes; large enough for a complete configuration. */
const maximumMessageBytes = 64 * 1024 * 1024;
/** The path prefix of RPC calls. */
const rpcPathPrefix = "/agatebend.v1.OperatorService/";
/** How long `stop` waits for responses that are still being written, in milliseconds; less if the time of the shutdown is over before. */
const finalResponsesTimeoutMs = 100;
/** The paths that are served without the shared secret. */
const unauthenticatedPaths: ReadonlySet<string> = new Set(["/healthz", "/readyz"]);

/** Options of the operator server. */
export type CreateOperatorServerOptions = operatorService.CreateOperatorServiceOptions;

/** Checks that operators' requests carry the shared secret, and answers them. */
export class OperatorServer {
    private readonly server: http.Server;
    private readonly connections: httpConnections.HttpConnections;
    private rpcListener?: Promise<http.RequestListener>;

    constructor(private readonly options: CreateOperatorServerOptions) {
        const handle = (request: http.IncomingMessage, response: http.ServerResponse) => {
            if (!this.isAuthorized(request)) {
                writeText(response, 401, "the shared secret is missing or wrong; send it as Authorization: Bearer SECRET\n");
                return;
            }
            void this.answerRequest(request, response);
        };
        const { tlsFiles } = options;
        this.server = tlsFiles === undefined ? http.createServer(handle) : process.getBuiltinModule("node:https").createServer({ ...tlsFiles }, handle);
        this.connections = new httpConnections.HttpConnections(this.server);
    }

    /** Opens the port and announces its address to the peers. */
    async start(): Promise<void> {
        const { context: { settings: serveSettings }, mesh } = this.options;
        const { host, port } = settings.parseAddress(serveSettings.operatorListen);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        const operatorAddress = settings.getAdvertisedAddress(serveSettings.operatorAdvertise, serveSettings.operatorListen, (this.server.address() as net.AddressInfo).port);
        mesh.setMember({ operatorAddress });
        this.options.context.logger.writeInfo("operators-port-open", `listening for operators at ${operatorAddress}`, { address: operatorAddress });
    }

    /**
     * Closes the port and every connection, after the responses that are still being written.
     * @param shutdown - The shutdown, with the latest time for this.
     */
    async stop({ closesAt }: plugins.Shutdown): Promise<void> {
        await this.connections.waitUntilWritten(Math.min(finalResponsesTimeoutMs, closesAt - this.options.context.clock.getNow()));
        this.connections.closeAll();
    }

    private async answerRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (request.url?.startsWith(rpcPathPrefix) !== true) {
            return this.answerNonRpcRequest(request, response);
        }
        // Loaded on the first call: loading would take a large part of the startup time, and few instances are ever called.
        this.rpcListener ??= import("./rpcAdapter.js").then(loaded => loaded.createRpcAdapter(this.options, maximumMessageBytes));
        (await this.rpcListener)(request, response);
    }

    private isAuthorized(request: http.IncomingMessage): boolean {
        const { secret } = this.options;
        if (secret === "" || unauthenticatedPaths.has(request.url ?? "")) {
            return true;
        }
        const expected = Buffer.from(`Bearer ${secret}`);
        const received = Buffer.from(request.headers.authorization ?? "");
        return expected.length === received.length && crypto.timingSafeEqual(expected, received);
    }

    private async answerNonRpcRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { context, lifecycle } = this.options;
        const url = new URL(request.url ?? "/", "http://fleet");
        switch (url.pathname) {
            case "/healthz":
                writeText(response, 200, "ok\n");
                return;
            case "/readyz":
                this.answerReadiness(response);
                return;
            case "/metrics":
                response.setHeader("content-type", context.metrics.contentType);
                response.end(await context.metrics.metrics());
                return;
            case "/dump":
                writeJson(response, lifecycle.getDump());
                return;
            case "/events":
                writeJson(response, { instance: context.identity.instanceId, events: context.eventLog.getRecordsAfter(Number(url.searchParams.get("after") ?? 0)) });
                return;
            default:
                writeText(response, 404, "not found; the paths are /healthz, /readyz, /metrics, /dump, /events and those of the RPC\n");
        }
    }

    private answerReadiness(response: http.ServerResponse): void {
        const isReady = this.options.handler.isReady();
        writeText(response, isReady ? 200 : 503, isReady ? "ready\n" : "not ready: the instance is not running, or its configuration is missing or stale\n");
    }
}

function writeText(response: http.ServerResponse, status: number, text: string): void {
    response.writeHead(status, { "content-type": "text/plain" });
    response.end(text);
}

function writeJson(response: http.ServerResponse, value: unknown): void {
    response.writeHead(200, { "content-type": "application/json" });
    response.end(`${JSON.stringify(value)}\n`);
}
