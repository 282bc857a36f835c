/** The operators' port: the RPC, metrics, the dump, health and the event log. */

import * as crypto from "node:crypto";
import * as http from "node:http";
import * as https from "node:https";
import type * as net from "node:net";
import * as settings from "../settings/index.js";
import type * as operatorService from "./operatorService.js";

/** The largest RPC message, in bytes; a whole configuration fits. */
const maximumMessageBytes = 64 * 1024 * 1024;
/** Where the RPC's calls begin. */
const rpcPrefix = "/agatebend.v1.OperatorService/";
const publicPaths: ReadonlySet<string> = new Set(["/healthz", "/readyz"]);

/** Options of the operators' server. */
export type CreateOperatorServerOptions = operatorService.CreateOperatorServiceOptions;

/** Serves operators. */
export class OperatorServer {
    private readonly server: http.Server;
    private adapter?: Promise<http.RequestListener>;

    constructor(private readonly options: CreateOperatorServerOptions) {
        const handle = (request: http.IncomingMessage, response: http.ServerResponse) => {
            if (!this.isAuthorized(request)) {
                writeText(response, 401, "the shared secret is missing or wrong; send it as Authorization: Bearer SECRET\n");
                return;
            }
            void this.answerRequest(request, response);
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

    private async answerRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (request.url?.startsWith(rpcPrefix) !== true) {
            return this.answerPlain(request, response);
        }
        // Loaded at the first call, since few instances are ever called and loading takes much of a start's time.
        this.adapter ??= import("./rpcAdapter.js").then(loaded => loaded.createRpcAdapter(this.options, maximumMessageBytes));
        (await this.adapter)(request, response);
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
                writeJson(response, { instance: shared.identity.instanceId, events: shared.eventLog.getRecordsAfter(Number(url.searchParams.get("after") ?? 0)) });
                return;
            default:
                writeText(response, 404, "no such page; there are /healthz, /readyz, /metrics, /dump, /events and the RPC\n");
        }
    }

    private answerReady(response: http.ServerResponse): void {
        const isReady = this.options.handler.isReady();
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
