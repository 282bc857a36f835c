/** The control port of a stand-in. GET returns the state; POST changes the behaviour and returns the state. */

import * as http from "node:http";
import type * as net from "node:net";

/** The functions behind a control port. */
export interface ControlHandlers {
    readonly getState: () => unknown;
    readonly setBehaviour: (change: Record<string, unknown>) => void;
}

/** Starts a server on a free loopback port and returns the port. */
export async function startListening(server: net.Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as net.AddressInfo).port;
}

/** Starts the server of a control port and returns the port. */
export function startControlServer(handlers: ControlHandlers): Promise<number> {
    const server = http.createServer((request, response) => {
        let text = "";
        request.on("data", chunk => {
            text += String(chunk);
        });
        request.on("end", () => {
            if (request.method === "POST") {
                handlers.setBehaviour(JSON.parse(text) as Record<string, unknown>);
            }
            response.end(JSON.stringify(handlers.getState()));
        });
    });
    return startListening(server);
}
