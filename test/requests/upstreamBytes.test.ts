/** Guards against bytes on reused connections that are counted twice or not at all. */

import * as http from "node:http";
import type * as net from "node:net";
import * as promClient from "prom-client";
import tap from "tap";
import type * as pool from "../../src/pool/index.js";
import * as upstreamBytes from "../../src/requests/upstreamBytes.js";

const bodyBytes = 10_000;
/** More than the headers of a response take. */
const maximumHeaderBytes = 500;

void tap.test("bytes of two requests on one connection", async t => {
    const server = http.createServer((_request, response) => response.end(Buffer.alloc(bodyBytes)));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const agent = new http.Agent({ keepAlive: true });
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    const registry = new promClient.Registry();
    const counted = new upstreamBytes.UpstreamBytes({ registry, failureDomain: "north" });
    const sendRequest = (failureDomain: string) =>
        new Promise<void>(resolve => {
            const sent = http.request({ agent, host: "127.0.0.1", port: (server.address() as net.AddressInfo).port }, response => response.resume());
            counted.watchRequest(sent, { getFailureDomain: () => failureDomain } as pool.Upstream);
            sent.on("close", () => setImmediate(resolve));
            sent.end();
        });
    const readBytes = async (labels: string) => Number(new RegExp(`^agatebend_upstream_bytes_total\\{${labels}\\} (\\d+)$`, "m").exec(await registry.metrics())?.[1] ?? 0);
    await sendRequest("north");
    await sendRequest("south");
    for (const domain of ["own", "other"]) {
        const received = await readBytes(`direction="received",domain="${domain}"`);
        t.ok(received > bodyBytes && received < bodyBytes + maximumHeaderBytes, `${received} bytes from the ${domain} domain`);
        const sent = await readBytes(`direction="sent",domain="${domain}"`);
        t.ok(sent > 0 && sent < maximumHeaderBytes, `${sent} bytes to the ${domain} domain`);
    }
});
