/** An HTTP agent for upstream connections that closes an idle connection as soon as it receives data. */

import * as http from "node:http";
import type * as net from "node:net";

/** Closes a connection that receives data while idle, because a later request would get that data as its response. */
function closeSocket(this: net.Socket): void {
    this.destroy();
}

/** An agent that closes idle connections on unexpected data. */
export class UpstreamAgent extends http.Agent {
    /** Called by Node when a response is complete; returns whether the connection is kept open. */
    override keepSocketAlive(socket: net.Socket): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (!isKept || socket.readableLength > 0 || socket.destroyed) {
            return false;
        }
        socket.on("data", closeSocket);
        return true;
    }

    /** Called by Node when an idle connection is used for another request. */
    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        socket.off("data", closeSocket);
        super.reuseSocket(socket, request);
    }
}
