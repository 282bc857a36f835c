/** Finds free ports for processes that must be told theirs. */

import * as net from "node:net";

/** Finds a port that was free a moment ago. */
export async function findPort(): Promise<number> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}
