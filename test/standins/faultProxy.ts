/** A TCP proxy that injects faults: delays, one-way blocks, resets, cuts after a number of bytes, and refused connections. */

import * as net from "node:net";
import * as control from "./control.js";

/** The behaviour that the control port can change. */
export interface FaultBehaviour {
    /** The delay of each chunk in each direction. */
    delayMs: number;
    /** Drops all bytes from the client. */
    blocksForward: boolean;
    /** Drops all bytes from the server. */
    blocksBackward: boolean;
    /** Resets new connections. */
    refuses: boolean;
    /** The number of bytes from the server after which a connection is reset; 0 for no limit. */
    cutAfterBytes: number;
}

/** Starts a proxy to HOST:PORT; returns its ports. */
export async function startFaultProxy(target: string) {
    const behaviour: FaultBehaviour = { delayMs: 0, blocksForward: false, blocksBackward: false, refuses: false, cutAfterBytes: 0 };
    const sockets = new Set<net.Socket>();
    const counts = { connections: 0, forwardBytes: 0, backwardBytes: 0 };
    const [host, port] = target.split(":");
    const forwardChunk = (chunk: Buffer, from: net.Socket, to: net.Socket, isBlocked: boolean) => {
        if (isBlocked) {
            return;
        }
        const write = () => {
            if (!to.write(chunk)) {
                from.pause();
                to.once("drain", () => from.resume());
            }
        };
        if (behaviour.delayMs > 0) {
            setTimeout(write, behaviour.delayMs);
            return;
        }
        write();
    };
    const server = net.createServer(client => {
        counts.connections += 1;
        if (behaviour.refuses) {
            client.resetAndDestroy();
            return;
        }
        const upstream = net.connect({ host: host!, port: Number(port) });
        let connectionBackwardBytes = 0;
        client.on("data", chunk => {
            counts.forwardBytes += chunk.length;
            forwardChunk(chunk, client, upstream, behaviour.blocksForward);
        });
        upstream.on("data", chunk => {
            connectionBackwardBytes += chunk.length;
            counts.backwardBytes += chunk.length;
            if (behaviour.cutAfterBytes > 0 && connectionBackwardBytes > behaviour.cutAfterBytes) {
                client.resetAndDestroy();
                return;
            }
            forwardChunk(chunk, upstream, client, behaviour.blocksBackward);
        });
        for (const [socket, other] of [[client, upstream], [upstream, client]] as const) {
            sockets.add(socket);
            socket.setNoDelay(true);
            socket.on("error", () => other.destroy());
            socket.on("end", () => other.end());
            socket.on("close", () => {
                sockets.delete(socket);
                setTimeout(() => other.destroy(), 100);
            });
        }
    });
    const listenPort = await control.startListening(server);
    const controlPort = await control.startControlServer({
        getState: () => ({ ...counts, behaviour }),
        setBehaviour: ({ action, ...change }) => {
            Object.assign(behaviour, change);
            if (action === "reset") {
                sockets.forEach(socket => socket.resetAndDestroy());
            }
        },
    });
    return { port: listenPort, controlPort };
}
