/** Tracks the connections of an HTTP server, so that closing it cuts no response that is still being written or received. */

import type * as http from "node:http";
import * as net from "node:net";

/** How often `waitUntilWritten` checks for open responses, in milliseconds. */
const pollIntervalMs = 5;
/** How long `waitUntilRead` accepts further connections, in milliseconds; bounds it while new ones keep coming. */
const acceptTimeoutMs = 100;
/** How long a connection whose writing side was closed waits for its peer to close it, in milliseconds. */
const lingerTimeoutMs = 5_000;
/** How many bytes such a connection discards. */
const lingerBytes = 16 * 1024 * 1024;
/** How many such connections a server keeps; the oldest are closed first. */
const maximumLingering = 1_000;

interface Connection {
    readonly responses: Set<http.ServerResponse>;
    /** The number of requests whose heads were received. */
    requests: number;
    /** The request of the response that was opened last, until that response closes. */
    request: http.IncomingMessage | undefined;
    /** The bytes received when the last response was complete; undefined before. More bytes since then are the next request. */
    bytesReadWhenIdle: number | undefined;
}

/** The open connections of a server by what is on them. */
export interface ConnectionCounts {
    /** Connections with a response that is not written completely. */
    readonly withRequest: number;
    readonly withoutRequest: number;
    /** Those of `withoutRequest` that have sent a part of their next request. */
    readonly withUnfinishedRequest: number;
}

/**
 * Tracks the connections of a server and their open responses. A response is open until all of it was passed to the
 * operating system, or its connection closed.
 * @remarks Node's own `close` and `closeIdleConnections` take a connection for idle once its response was ended, although
 * most of the response may not have been written yet.
 */
export class HttpConnections {
    private readonly connections = new Map<net.Socket, Connection>();
    /** When each connection that waits for its peer is closed at the latest, in monotonic milliseconds; the oldest comes first. */
    private readonly lingering = new Map<net.Socket, number>();
    private lingerTimer: NodeJS.Timeout | undefined;
    private acceptedCount = 0;
    private isClosing = false;

    /** @param server - The server; create the tracker before it listens. */
    constructor(private readonly server: http.Server) {
        server.on("connection", (socket: net.Socket) => {
            this.acceptedCount += 1;
            this.addConnection(socket);
        });
        server.on("timeout", (socket: net.Socket) => void this.closeTimedOut(socket));
        server.prependListener("request", (request: http.IncomingMessage, response: http.ServerResponse) => this.addResponse(request, response));
    }

    /** Returns the open responses. */
    listOpenResponses(): readonly http.ServerResponse[] {
        return [...this.connections.values()].flatMap(({ responses }) => [...responses]);
    }

    /** Returns the number of open responses of a connection. */
    countOpenResponses(socket: net.Socket): number {
        return this.connections.get(socket)?.responses.size ?? 0;
    }

    /** Returns the number of requests of a connection whose heads were received. */
    countRequests(socket: net.Socket): number {
        return this.connections.get(socket)?.requests ?? 0;
    }

    /**
     * Waits until all that the operating system has received for this server was read.
     * @remarks After a stall, due timers run before the event loop polls for input.
     */
    async waitUntilRead(): Promise<void> {
        // Each poll accepts one connection, and a later one reads its request.
        const until = performance.now() + acceptTimeoutMs;
        let acceptedBefore: number;
        do {
            acceptedBefore = this.acceptedCount;
            await waitForPoll();
        }
        while (this.acceptedCount > acceptedBefore && performance.now() < until);
        await waitForPoll();
    }

    /** Asks callers from now on to close their connections, with the response to the last request of each. */
    startClosing(): void {
        this.isClosing = true;
        for (const { responses } of this.connections.values()) {
            const last = [...responses].at(-1);
            if (last?.headersSent === false) {
                last.setHeader("connection", "close");
            }
        }
    }

    /** Returns whether a response can't be sent, because that to an earlier request of its connection announced the close. */
    isAfterClose(response: http.ServerResponse): boolean {
        const responses = this.connections.get(response.req.socket)?.responses ?? [];
        return [...responses].some(earlier => earlier !== response && earlier.headersSent && earlier.getHeader("connection") === "close");
    }

    /** Accepts no further connections; those that are open stay so. */
    stopListening(): void {
        net.Server.prototype.close.call(this.server);
    }

    /** Counts the open connections by what is on them, without those that wait for their peers to close them. */
    countConnections(): ConnectionCounts {
        const open = [...this.connections].filter(([socket]) => !socket.destroyed && !this.lingering.has(socket));
        const withoutRequest = open.filter(([, { responses }]) => responses.size === 0);
        const unfinished = withoutRequest.filter(([socket, { bytesReadWhenIdle = 0 }]) => socket.bytesRead !== bytesReadWhenIdle);
        return { withRequest: open.length - withoutRequest.length, withoutRequest: withoutRequest.length, withUnfinishedRequest: unfinished.length };
    }

    /** Closes the connections on which every response has been written and no further request has begun, and returns their number. */
    closeIdle(): number {
        const idle = [...this.connections].filter(([socket, { responses, bytesReadWhenIdle }]) => responses.size === 0 && socket.bytesRead === bytesReadWhenIdle && !this.lingering.has(socket)).map(([socket]) => socket);
        idle.forEach(socket => socket.destroy());
        return idle.length;
    }

    /**
     * Closes the writing side of a connection whose request was not read whole, and the connection itself once its peer has
     * closed it or a limit is reached. Until then, what arrives of the request is discarded.
     * @remarks The operating system resets a connection that is closed while bytes arrive, and the peer may lose the
     * response. Not for connections without an unfinished request: callers may repeat what a closed connection left unread.
     */
    closeAfterPeer(socket: net.Socket): void {
        if (this.lingering.has(socket) || socket.destroyed) {
            return;
        }
        socket.end();
        socket.setTimeout(0);
        // Without the listener of the HTTP parser, what arrives begins no request.
        socket.removeAllListeners("data");
        const bytesBefore = socket.bytesRead;
        socket.on("data", () => {
            if (socket.bytesRead - bytesBefore > lingerBytes) {
                socket.destroy();
            }
        });
        socket.once("end", () => net.Socket.prototype.destroySoon.call(socket));
        socket.resume();
        this.lingering.set(socket, performance.now() + lingerTimeoutMs);
        this.closeLingering();
    }

    /** Closes the port and all connections at once. */
    closeAll(): void {
        this.stopListening();
        this.server.closeAllConnections();
        this.lingering.forEach((_, socket) => socket.destroy());
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

    /** Closes a connection after its keep-alive time-out. After a stall, the time-out comes before its next request is read. */
    private async closeTimedOut(socket: net.Socket): Promise<void> {
        const bytesReadBefore = socket.bytesRead;
        await waitForPoll();
        if (socket.bytesRead === bytesReadBefore) {
            socket.destroy();
        }
    }

    private addResponse(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { socket } = request;
        const connection = this.connections.get(socket) ?? this.addConnection(socket);
        if (this.isClosing) {
            const previous = [...connection.responses].at(-1);
            if (previous?.headersSent === false) {
                previous.removeHeader("connection");
            }
            response.setHeader("connection", "close");
        }
        connection.requests += 1;
        connection.responses.add(response);
        connection.request = request;
        response.once("close", () => {
            connection.responses.delete(response);
            if (connection.request === request) {
                connection.request = undefined;
            }
            if (connection.responses.size === 0) {
                connection.bytesReadWhenIdle = socket.bytesRead;
            }
        });
    }

    private addConnection(socket: net.Socket): Connection {
        const connection: Connection = { responses: new Set(), requests: 0, request: undefined, bytesReadWhenIdle: undefined };
        this.connections.set(socket, connection);
        // The HTTP server calls this after the last response of a connection.
        socket.destroySoon = () => {
            // With further responses open, this one belongs to an earlier request, which was read whole.
            if (connection.request?.complete === false && connection.responses.size === 1) {
                this.closeAfterPeer(socket);
                return;
            }
            net.Socket.prototype.destroySoon.call(socket);
        };
        // A pipelined response that was never begun has no close event of its own.
        socket.once("close", () => {
            this.connections.delete(socket);
            this.lingering.delete(socket);
        });
        return connection;
    }

    /** Closes the connections that have waited for their peers for too long, or are too many. */
    private closeLingering(): void {
        const now = performance.now();
        for (const [socket, endsAt] of this.lingering) {
            if (endsAt > now && this.lingering.size <= maximumLingering) {
                break;
            }
            // The close event, which also removes the connection, comes later.
            this.lingering.delete(socket);
            socket.destroy();
        }
        this.scheduleLingerCheck();
    }

    private scheduleLingerCheck(): void {
        const [firstEndsAt] = this.lingering.values();
        if (this.lingerTimer !== undefined || firstEndsAt === undefined) {
            return;
        }
        this.lingerTimer = setTimeout(() => {
            this.lingerTimer = undefined;
            this.closeLingering();
        }, firstEndsAt - performance.now()).unref();
    }
}

/** Waits until the event loop has polled for input. */
function waitForPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}
