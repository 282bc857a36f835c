/** The control port of a stand-in: GET reads its state, POST changes its behaviour. */

import * as http from "node:http";
import type * as net from "node:net";

/** What a control port does. */
export interface ControlHandlers {
    readonly getState: () => unknown;
    readonly setBehaviour: (change: Record<string, unknown>) => void;
}

/** Starts listening on a free loopback port and returns it. */
export async function startListening(server: net.Server): Promise<number> {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as net.AddressInfo).port;
}

/** Starts a control port and returns it. */
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
