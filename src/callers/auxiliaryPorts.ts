/** The ports beside the callers' own: entries answers and readiness, where the settings name other addresses for them. */

import * as http from "node:http";
import type * as context from "../kernel/context.js";
import * as settings from "../settings/index.js";
import type * as callerRequestHandler from "./callerRequestHandler.js";

/** Idle connections of these ports are closed after this time, in milliseconds. */
const idleMs = 10_000;

/** Options of the side ports. */
export interface CreateAuxiliaryPortsOptions {
    readonly context: context.Context;
    readonly handler: callerRequestHandler.CallerRequestHandler;
}

/** Serves the side ports. */
export class AuxiliaryPorts {
    private readonly servers: http.Server[] = [];

    constructor(private readonly options: CreateAuxiliaryPortsOptions) {}

    /** Opens the ports that the settings name. */
    async start(): Promise<void> {
        const { context: { settings: values }, handler: requestHandler } = this.options;
        await this.openPort(values.entriesListen, (request, response) => {
            if (!requestHandler.handleEntriesRequest(request, response)) {
                writeStatus(response, 404);
            }
        });
        await this.openPort(values.readyListen, (_, response) => writeStatus(response, requestHandler.isReady() ? 200 : 503));
    }

    /** Closes the ports. */
    async stop(): Promise<void> {
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    private async openPort(address: string, handle: http.RequestListener): Promise<void> {
        if (address === "") {
            return;
        }
        const server = http.createServer({ keepAliveTimeout: idleMs, noDelay: true }, handle);
        this.servers.push(server);
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
