/** Finds free ports for processes that must be told theirs. */

import * as net from "node:net";

/** Below the ports that the kernel gives to those who ask for any, so that no other test's process is given one of these. */
const firstPort = 15_000;
const portsPerProcess = 200;
const processSlots = 85;

let used = 0;

/** Finds a port that is free and that no other test process takes. */
export async function findFreePort(): Promise<number> {
    while (true) {
        const port = firstPort + (process.pid % processSlots) * portsPerProcess + used % portsPerProcess;
        used += 1;
        if (await isFree(port)) {
            return port;
        }
    }
}

function isFree(port: number): Promise<boolean> {
    const server = net.createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
