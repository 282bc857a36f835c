/** Keeps connections to upstreams, and drops each one that carries bytes nobody asked for. */

import * as http from "node:http";
import type * as net from "node:net";

/** A kept connection that hears anything while it is idle is no longer in step with its requests. */
function closeSocket(this: net.Socket): void {
    this.destroy();
}

/** An agent whose idle connections end with the first unexpected byte. */
export class UpstreamAgent extends http.Agent {
    /** Called by Node when an answer is complete; returns whether the connection is kept. */
    override keepSocketAlive(socket: net.Socket): boolean {
        const isKept = super.keepSocketAlive(socket) as unknown as boolean;
        if (!isKept || socket.readableLength > 0 || socket.destroyed) {
            return false;
        }
        socket.on("data", closeSocket);
        return true;
    }

    /** Called by Node when a kept connection is used again. */
    override reuseSocket(socket: net.Socket, request: http.ClientRequest): void {
        socket.off("data", closeSocket);
        super.reuseSocket(socket, request);
    }
}
