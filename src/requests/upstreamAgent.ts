/** An HTTP agent for upstream connections that detects data which belongs to no request. */

import * as http from "node:http";
import type * as net from "node:net";
import type * as clock from "../kernel/clock.js";
import type * as pool from "../pool/index.js";
import type * as connectionReuse from "./connectionReuse.js";
import * as pacedSocket from "./pacedSocket.js";
import * as readTurns from "./readTurns.js";

/** How long a connection that is not reused stays open after its response, to detect further stray bytes. */
const strayBytesWatchMs = 100;

/** Options of a request through an upstream agent, in addition to those of Node. */
export interface UpstreamRequestOptions extends http.RequestOptions {
    readonly upstream: pool.Upstream;
    /** Identifies a connection that is used for this request alone; undefined if connections are reused. */
    readonly connectionId?: number;
}

/** Options of an upstream agent. */
export interface CreateUpstreamAgentOptions extends http.AgentOptions {
    readonly clock: Pick<clock.Clock, "getNow">;
    /** Called when an upstream sends data that belongs to no request. */
    readonly onStrayBytes: (upstream: pool.Upstream, place: connectionReuse.StrayBytesPlace) => void;
}

interface Connection {
    readonly socket: pacedSocket.PacedSocket;
    readonly upstream: pool.Upstream;
    readonly address: string;
    readonly isReusable: boolean;
    readonly onIdleData: (data: Buffer) => void;
}

/** An agent whose connections share the time for parsing. */
class PacedAgent extends http.Agent {
    constructor(private readonly readTurns: readTurns.ReadTurns, agentOptions: http.AgentOptions) {
        super(agentOptions);
    }

    /** Called by Node to open a connection. */
    override createConnection(options: net.NetConnectOpts): pacedSocket.PacedSocket {
        const socket = new pacedSocket.PacedSocket({ ...options, readTurns: this.readTurns });
        if (options.timeout !== undefined) {
            socket.setTimeout(options.timeout);
        }
        return socket.connect(options);
    }
}

/** An agent that closes connections on unexpected data and can use a separate connection for each request. */
export class UpstreamAgent extends PacedAgent {
    private readonly connections = new WeakMap<net.Socket, Connection>();
    private readonly turns: readTurns.ReadTurns;
    private connectionIdCount = 0;

    constructor(private readonly upstreamOptions: CreateUpstreamAgentOptions) {
        const turns = new readTurns.ReadTurns(upstreamOptions.clock);
        super(turns, upstreamOptions);
        this.turns = turns;
    }

    /** Creates an agent for a connection that is used for one request alone and not watched. */
    createSeparateAgent(): http.Agent {
        return new PacedAgent(this.turns, {});
    }

    /** Returns the identifier of a connection that no other request will use. */
    createConnectionId(): number {
        this.connectionIdCount += 1;
        return this.connectionIdCount;
    }

    /** Called by Node, several times for each request, to find the connections that the request may use. */
    override getName(options?: http.ClientRequestArgs & Partial<UpstreamRequestOptions>): string {
        return options?.connectionId === undefined ? super.getName(options) : `${super.getName(options)}:${options.connectionId}`;
    }

    /** Called by Node to open a connection. */
    override createConnection(options: UpstreamRequestOptions & net.NetConnectOpts): pacedSocket.PacedSocket {
        const socket = super.createConnection(options);
        const { upstream, connectionId } = options;
        // Data on an idle connection would be taken for the response to the next request.
        const onIdleData = (data: Buffer) => {
            socket.destroy();
            if (!isIdleTimeoutResponse(data)) {
                this.upstreamOptions.onStrayBytes(upstream, "idle");
            }
        };
        this.connections.set(socket, { socket, upstream, address: upstream.getAddress(), isReusable: connectionId === undefined, onIdleData });
        return socket;
    }

    /** Called by Node when a response is complete; returns whether the connection is kept open. */
    override keepSocketAlive(socket: net.Socket): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        const connection = this.connections.get(socket);
        if (!isKept || connection === undefined || socket.destroyed) {
            return false;
        }
        if (connection.socket.hasUnreadInput()) {
            this.upstreamOptions.onStrayBytes(connection.upstream, "behindResponse");
            return false;
        }
        socket.on("data", connection.onIdleData);
        if (!connection.isReusable) {
            setTimeout(() => socket.destroy(), strayBytesWatchMs).unref();
        }
        return true;
    }

    /** Called by Node when an idle connection is used for another request. */
    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            socket.off("data", connection.onIdleData);
        }
        super.reuseSocket(socket, request);
    }

    /**
     * Closes the idle connections to an address.
     * @param address - The address as HOST:PORT.
     */
    closeIdleConnections(address: string): void {
        for (const sockets of Object.values(this.freeSockets)) {
            sockets?.filter(socket => this.connections.get(socket)?.address === address).forEach(socket => socket.destroy());
        }
    }

    /**
     * Watches a response for data behind its end that Node has received in the same piece. Node then closes the connection
     * itself, without an error of the connection and although the upstream has not closed it.
     */
    watchResponse(response: http.IncomingMessage, upstream: pool.Upstream): void {
        const { socket } = response;
        response.once("end", () => {
            if (response.complete && socket.destroyed && !socket.readableEnded && !socket.errored) {
                this.upstreamOptions.onStrayBytes(upstream, "behindResponse");
            }
        });
    }
}

/** Returns whether data on an idle connection is the response that RFC 9110, section 15.5.9, allows a server to send before it closes the connection. */
function isIdleTimeoutResponse(data: Buffer): boolean {
    return /^HTTP\/1\.[01] 408 /.test(data.toString("latin1", 0, 16));
}
