/** Finds free ports for processes that cannot choose a port themselves. */

import * as net from "node:net";

/** Lies above the fixed ports of the README's examples, which a test runs. */
export const firstPort = 18_400;
const portsPerRange = 200;
/** The ranges lie below the kernel's ephemeral port range, so that the kernel assigns none of these ports to another process. */
const rangeCount = 71;

let claimedRange: Promise<number> | undefined;
let checkedCount = 0;

/** Finds a free port in the range that this test process has claimed. */
export async function findFreePort(): Promise<number> {
    claimedRange ??= claimRange();
    const rangePort = await claimedRange;
    while (true) {
        const port = rangePort + 1 + checkedCount % (portsPerRange - 1);
        checkedCount += 1;
        if (await isFree(port)) {
            return port;
        }
    }
}

/** Claims a range for the life of this process by listening on its first port, and returns that port. */
async function claimRange(): Promise<number> {
    for (let index = 0; index < rangeCount; index += 1) {
        const port = firstPort + (process.pid + index) % rangeCount * portsPerRange;
        const server = await startListening(port);
        if (server !== undefined) {
            server.unref();
            return port;
        }
    }
    throw new Error(`all ${rangeCount} ranges of ports are in use`);
}

async function isFree(port: number): Promise<boolean> {
    const server = await startListening(port);
    await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    return server !== undefined;
}

/** Returns undefined if the port is in use. */
function startListening(port: number): Promise<net.Server | undefined> {
    const server = net.createServer();
    return new Promise(resolve => {
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
