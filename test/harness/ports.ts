/** Finds free ports for processes that cannot choose a port themselves. */

import * as net from "node:net";

/** Lies above the fixed ports of the README's examples, which a test runs. */
export const firstPort = 18_400;
const portsPerRange = 200;
/** The ranges lie below the kernel's ephemeral port range, so that the kernel assigns none of these ports to another process. */
const rangeCount = 71;

let checkedCount = 0;

/** Finds a free port in the range of this test process. Ranges depend on the process identifier to avoid collisions. */
export async function findFreePort(): Promise<number> {
    while (true) {
        const port = firstPort + (process.pid % rangeCount) * portsPerRange + checkedCount % portsPerRange;
        checkedCount += 1;
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
