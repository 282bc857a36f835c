/** Guards against connections that are reused too early, or never again, after an upstream sent stray bytes. */

import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import type * as mesh from "../../src/peers/mesh.js";
import type * as pool from "../../src/pool/index.js";
import * as connectionReuse from "../../src/requests/connectionReuse.js";

const suspensionMs = 60_000;
const address = "127.0.0.1:9";
const upstream = { service: "desk", getId: () => "w1", getAddress: () => address } as pool.Upstream;

function createInstance(instanceId: string) {
    const time = clock.createVirtualClock();
    const logs: string[] = [];
    const closed: string[] = [];
    const published: unknown[] = [];
    let removeExpired = () => {};
    let listener: mesh.TopicListener = () => {};
    const reuse = new connectionReuse.ConnectionReuse({
        context: {
            clock: time,
            identity: { instanceId },
            metrics: new promClient.Registry(),
            logger: { writeInfo: (event: string) => logs.push(event), writeWarning: (event: string) => logs.push(event) },
            loop: {
                scheduleRepeatedly: (_intervalMs: number, task: () => void) => {
                    removeExpired = task;
                },
            },
        },
        mesh: {
            setRegister: (_topic: string, body: unknown) => published.push(body),
            addListener: (_topic: string, added: mesh.TopicListener) => {
                listener = added;
            },
        },
        closeIdleConnections: (closedAddress: string) => closed.push(closedAddress),
    } as unknown as connectionReuse.CreateConnectionReuseOptions);
    reuse.start();
    const addTime = (durationMs: number) => {
        time.addTime(durationMs);
        removeExpired();
    };
    return { reuse, logs, closed, published, addTime, receive: (body: unknown) => listener("peer", body) };
}

void tap.test("the suspension of connection reuse", async t => {
    await t.test("after stray bytes on an own connection", async t => {
        const { reuse, logs, closed, published, addTime } = createInstance("i1");
        t.equal(reuse.isReusable(address), true);
        reuse.recordStrayBytes(upstream, "idle");
        t.equal(reuse.isReusable(address), false);
        t.equal(reuse.isReusable("127.0.0.1:10"), true);
        t.strictSame(closed, [address], "idle connections may hold more stray bytes");
        t.strictSame(published, [{ sightings: [{ service: "desk", upstream: "w1", address, remainingMs: suspensionMs }] }]);

        addTime(suspensionMs - 1);
        reuse.recordStrayBytes(upstream, "behindResponse");
        t.equal(published.length, 2, "the peers learn that it goes on");
        reuse.recordStrayBytes(upstream, "idle");
        t.equal(published.length, 2, "but not each time");
        addTime(suspensionMs - 1);
        t.equal(reuse.isReusable(address), false, "the time counts from the last stray bytes");
        addTime(1);
        t.equal(reuse.isReusable(address), true);
        t.strictSame(published.at(-1), { sightings: [] });
        t.strictSame(logs, ["upstream-stray-bytes", "upstream-reuse-resumed"]);
    });

    await t.test("after a report of a peer", async t => {
        const { reuse, logs, closed, published, addTime, receive } = createInstance("i2");
        receive({ sightings: [{ service: "desk", upstream: "w1", address, remainingMs: 5_000 }] });
        t.equal(reuse.isReusable(address), false);
        t.strictSame(closed, [address]);
        t.strictSame(published, [], "a report is not handed on, since every instance gets it");
        receive({ sightings: [] });
        t.equal(reuse.isReusable(address), false, "a shorter list does not end a suspension");
        addTime(5_000);
        t.equal(reuse.isReusable(address), true);
        receive({ sightings: [{ service: "desk", upstream: "w1", address, remainingMs: suspensionMs + 1 }] });
        t.equal(reuse.isReusable(address), true);
        t.strictSame(logs, ["upstream-stray-bytes", "upstream-reuse-resumed", "stray-bytes-malformed"]);
    });
});
