/** The operators' port: the RPC, metrics, the dump, health and the event log. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import type * as kernel from "../kernel/kernel.js";
import type * as peers from "../peers/index.js";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";
import * as settings from "../settings/index.js";
import type * as operatorService from "./operatorService.js";

/** The largest RPC message, in bytes; a whole configuration fits. */
const maximumMessageBytes = 64 * 1024 * 1024;
const publicPaths: ReadonlySet<string> = new Set(["/healthz", "/readyz"]);

/** Options of the operators' server. */
export interface CreateOperatorServerOptions {
    readonly context: context.Context;
    readonly service: operatorService.OperatorService;
    readonly configuration: configuration.ConfigurationService;
    readonly mesh: peers.Mesh;
    readonly lifecycle: kernel.Lifecycle;
    readonly secret: string;
    /** The certificates of the port, if any. */
    readonly tlsFiles: peers.TlsFiles | undefined;
}

/** Serves operators. */
export class OperatorServer {
    private readonly server: http.Server;

    constructor(private readonly options: CreateOperatorServerOptions) {
        const adapter = connectNodeAdapter({
            routes: router => router.service(operatorPb.OperatorService, options.service.getImplementation()),
            readMaxBytes: maximumMessageBytes,
            jsonOptions: { ignoreUnknownFields: false },
            fallback: (request, response) => void this.answerPlain(request as http.IncomingMessage, response as http.ServerResponse),
        });
        const handle = (request: http.IncomingMessage, response: http.ServerResponse) => {
            if (!this.isAuthorized(request)) {
                writeText(response, 401, "the shared secret is missing or wrong; send it as Authorization: Bearer SECRET\n");
                return;
            }
            adapter(request, response);
        };
        const { tlsFiles } = options;
        this.server = tlsFiles === undefined ? http.createServer(handle) : https.createServer({ ...tlsFiles }, handle);
    }

    /** Opens the port and tells the peers. */
    async start(): Promise<void> {
        const { context: { settings: values }, mesh } = this.options;
        const { host, port } = settings.parseAddress(values.operatorListen);
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
        const operatorAddress = settings.getAdvertisedAddress(values.operatorAdvertise, values.operatorListen, (this.server.address() as net.AddressInfo).port);
        mesh.setMember({ operatorAddress });
        this.options.context.logger.writeInfo("operators-port-open", `operators are served at ${operatorAddress}`, { address: operatorAddress });
    }

    /** Closes the port. */
    async stop(): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }

    private isAuthorized(request: http.IncomingMessage): boolean {
        const { secret } = this.options;
        if (secret === "" || publicPaths.has(request.url ?? "")) {
            return true;
        }
        const expected = Buffer.from(`Bearer ${secret}`);
        const received = Buffer.from(request.headers.authorization ?? "");
        return expected.length === received.length && crypto.timingSafeEqual(expected, received);
    }

    private async answerPlain(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { context: shared, lifecycle } = this.options;
        const url = new URL(request.url ?? "/", "http://fleet");
        switch (url.pathname) {
            case "/healthz":
                writeText(response, 200, "ok\n");
                return;
            case "/readyz":
                this.answerReady(response);
                return;
            case "/metrics":
                response.setHeader("content-type", shared.metrics.contentType);
                response.end(await shared.metrics.metrics());
                return;
            case "/dump":
                writeJson(response, lifecycle.getDump());
                return;
            case "/events":
                writeJson(response, { instance: shared.identity.instanceId, events: shared.events.getRecordsAfter(Number(url.searchParams.get("after") ?? 0)) });
                return;
            default:
                writeText(response, 404, "no such page; there are /healthz, /readyz, /metrics, /dump, /events and the RPC\n");
        }
    }

    private answerReady(response: http.ServerResponse): void {
        const { configuration: configurations, lifecycle } = this.options;
        const isReady = lifecycle.getState() === "running" && configurations.getCurrent() !== undefined && !configurations.isStale();
        writeText(response, isReady ? 200 : 503, isReady ? "ready\n" : "not ready: draining, without a configuration, or cut off\n");
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
