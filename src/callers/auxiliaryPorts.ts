/** Optional additional ports for entry point requests and readiness checks, opened if the settings give them addresses. */

import * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as httpConnections from "../kernel/httpConnections.js";
import type * as plugins from "../kernel/plugins.js";
import * as settings from "../settings/index.js";
import type * as callerRequestHandler from "./callerRequestHandler.js";
import type * as entriesHandler from "./entriesHandler.js";

/** How long a connection to these ports may be idle before it is closed, in milliseconds. */
const idleConnectionTimeoutMs = 10_000;

/** How long `stop` waits for responses that are still being written, in milliseconds; less if the time of the shutdown is over before. */
const finalResponsesTimeoutMs = 100;

/** Options of the auxiliary ports. */
export interface CreateAuxiliaryPortsOptions {
    readonly context: context.Context;
    readonly handler: callerRequestHandler.CallerRequestHandler;
    readonly entries: entriesHandler.EntriesHandler;
}

/** Serves entry point requests and readiness checks at separate ports. */
export class AuxiliaryPorts {
    private readonly connections: httpConnections.HttpConnections[] = [];

    constructor(private readonly options: CreateAuxiliaryPortsOptions) {}

    /** Opens the ports for which the settings give an address. */
    async start(): Promise<void> {
        const { context: { settings: serveSettings }, handler: requestHandler, entries } = this.options;
        await this.openPort(serveSettings.entriesListen, (request, response) => {
            if (!entries.handleRequest(request, response)) {
                writeStatus(response, 404);
            }
        });
        await this.openPort(serveSettings.readyListen, (_, response) => writeStatus(response, requestHandler.isReady() ? 200 : 503));
    }

    /**
     * Closes the ports and their connections, after the responses that are still being written.
     * @param shutdown - The shutdown, with the latest time for this.
     */
    async stop({ closesAt }: plugins.Shutdown): Promise<void> {
        const limitMs = Math.min(finalResponsesTimeoutMs, closesAt - this.options.context.clock.getNow());
        await Promise.all(this.connections.map(connections => connections.waitUntilWritten(limitMs)));
        this.connections.forEach(connections => connections.closeAll());
    }

    private async openPort(address: string, handle: http.RequestListener): Promise<void> {
        if (address === "") {
            return;
        }
        const server = http.createServer({ keepAliveTimeout: idleConnectionTimeoutMs, noDelay: true }, handle);
        this.connections.push(new httpConnections.HttpConnections(server));
        const { host, port } = settings.parseAddress(address);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
    }
}

function writeStatus(response: http.ServerResponse, status: number): void {
    response.writeHead(status, { "content-length": 0 });
    response.end();
}
