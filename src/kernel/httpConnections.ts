/** Tracks the connections of an HTTP server, so that closing it cuts no response that is still being written. */

import type * as http from "node:http";
import * as net from "node:net";

/** How often `waitUntilWritten` checks for open responses, in milliseconds. */
const pollIntervalMs = 5;

interface Connection {
    readonly responses: Set<http.ServerResponse>;
    /** The bytes received when the last response was complete; undefined before. More bytes since then are the next request. */
    bytesReadWhenIdle: number | undefined;
}

/**
 * Tracks the connections of a server and their open responses. A response is open until all of it was passed to the
 * operating system, or its connection closed.
 * @remarks Node's own `close` and `closeIdleConnections` take a connection for idle once its response was ended, although
 * most of the response may not have been written yet.
 */
export class HttpConnections {
    private readonly connections = new Map<net.Socket, Connection>();

    /** @param server - The server; create the tracker before it listens. */
    constructor(private readonly server: http.Server) {
        server.prependListener("request", (request: http.IncomingMessage, response: http.ServerResponse) => this.addResponse(request.socket, response));
    }

    /** Returns the open responses. */
    listOpenResponses(): readonly http.ServerResponse[] {
        return [...this.connections.values()].flatMap(({ responses }) => [...responses]);
    }

    /** Returns the number of open responses of a connection. */
    countOpenResponses(socket: net.Socket): number {
        return this.connections.get(socket)?.responses.size ?? 0;
    }

    /** Accepts no further connections; those that are open stay so. */
    stopListening(): void {
        net.Server.prototype.close.call(this.server);
    }

    /** Closes the connections on which every response has been written and no further request has begun. */
    closeIdle(): void {
        [...this.connections].filter(([socket, { responses, bytesReadWhenIdle }]) => responses.size === 0 && socket.bytesRead === bytesReadWhenIdle).forEach(([socket]) => socket.destroy());
    }

    /** Closes the port and all connections. */
    closeAll(): void {
        this.stopListening();
        this.server.closeAllConnections();
    }

    /**
     * Waits until no response is open.
     * @param limitMs - The longest wait, in milliseconds.
     */
    async waitUntilWritten(limitMs: number): Promise<void> {
        const until = performance.now() + limitMs;
        while (this.listOpenResponses().length > 0 && performance.now() < until) {
            await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
        }
    }

    private addResponse(socket: net.Socket, response: http.ServerResponse): void {
        const connection = this.connections.get(socket) ?? this.addConnection(socket);
        connection.responses.add(response);
        response.once("close", () => {
            connection.responses.delete(response);
            if (connection.responses.size === 0) {
                connection.bytesReadWhenIdle = socket.bytesRead;
            }
        });
    }

    private addConnection(socket: net.Socket): Connection {
        const connection: Connection = { responses: new Set(), bytesReadWhenIdle: undefined };
        this.connections.set(socket, connection);
        // A pipelined response that was never begun has no close event of its own.
        socket.once("close", () => this.connections.delete(socket));
        return connection;
    }
}
