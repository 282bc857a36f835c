/**
 * Guards against a body that is continued with what is no response: a server of another protocol at the second upstream's address
 * would give the caller a whole body with somebody else's bytes.
 */

import * as net from "node:net";
import tap from "tap";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";

const body = "x".repeat(200_000);
const cutAfter = 80_000;
const entity = "ETag: \"1\"\r\nAccept-Ranges: bytes\r\n";

void tap.test("the continuation of a body", async t => {
    let continuationLine = "";
    const connections = new Set<net.Socket>();
    /** Cuts the body of the first request, and answers range requests with the status line of the test. */
    const servers = await Promise.all([1, 2].map(async () => {
        const server = net.createServer(socket => {
            connections.add(socket);
            socket.on("error", () => {});
            socket.on("data", data => {
                const range = /range: bytes=(\d+)-/i.exec(data.toString("latin1"));
                if (!range) {
                    socket.end(`HTTP/1.1 200 OK\r\n${entity}Content-Length: ${body.length}\r\n\r\n${body.slice(0, cutAfter)}`);
                    return;
                }
                const first = Number(range[1]);
                socket.end(`${continuationLine}\r\n${entity}Content-Range: bytes ${first}-${body.length - 1}/${body.length}\r\nContent-Length: ${body.length - first}\r\nConnection: close\r\n\r\n${body.slice(first)}`);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return server;
    }));
    const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: "memory:", seeds: [], flags: { "retry-slack": 1_000, "retry-window-s": 0.1 } });
    t.teardown(async () => {
        connections.forEach(socket => socket.destroy());
        servers.forEach(server => server.close());
        await instance.process.stop();
    });
    const upstreams = Object.fromEntries(servers.map((server, index) => [`north-${index}`, `127.0.0.1:${(server.address() as net.AddressInfo).port}`]));
    await fleet.applyConfiguration(instance, configurations.createTestConfiguration({ upstreams, floor: 2 }));
    for (const [line, isWhole] of [["HTTP/1.1 206 Partial Content", true], ["HTTP/2.0 206 Partial Content", false], ["HTTP/1.1 606 Partial Content", false], ["HTTP/1.0 206 Partial Content", true]] as const) {
        continuationLine = line;
        const response = await instance.send("/files/1").catch(() => undefined);
        t.equal(response?.isComplete === true && response.body.toString() === body, isWhole, line);
        t.ok(response === undefined || isWhole || !response.isComplete, `${line}: a body that is cut looks cut`);
    }
});
