/**
 * Guards against an instance that is taken for silent although a linked peer knows its heartbeats: a peer that is never
 * chosen for a digest must get them in reply to its own digests.
 */

import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import type * as context from "../../src/kernel/context.js";
import * as loop from "../../src/kernel/loop.js";
import * as mesh from "../../src/peers/mesh.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";

const gossipIntervalMs = 50;
const suspectAfterMs = 800;
const observationMs = 3_000;

function createMesh(instanceId: string, peerListen: string, { seeds = [] as readonly string[], isReachable = true } = {}) {
    const time = clock.createSystemClock();
    const logger = { writeDebug: () => {}, writeInfo: () => {}, writeWarning: () => {}, writeError: () => {} };
    const timers = new loop.Loop({ clock: time, getLogger: () => logger });
    const created = new mesh.Mesh({
        identity: { instanceId, incarnation: 1, failureDomain: instanceId },
        settings: {
            peerListen,
            peerAdvertise: isReachable ? "" : "127.0.0.1:9",
            seeds,
            fleet: "test",
            sharedSecretFile: "",
            tlsCertificateFile: "",
            frameBytes: 65_536,
            peerTimeoutMs: 1_000,
            gossipIntervalMs,
            suspectAfterMs,
            deadAfterMs: 60_000,
            maximumPeerLinks: 48,
        },
        clock: time,
        // The first linked peer is chosen for every digest.
        randomness: { getIdentifier: () => `${instanceId}-0123456789abcdef`, getFraction: () => 0 },
        logger,
        metrics: new promClient.Registry(),
        loop: timers,
    } as unknown as context.Context);
    return { mesh: created, stop: () => created.stop().finally(() => timers.stop()) };
}

void tap.test("heartbeats reach a peer that no digest is sent to", async t => {
    const [northPort, middlePort, southPort] = await Promise.all([ports.findFreePort(), ports.findFreePort(), ports.findFreePort()]);
    const middleAddress = `127.0.0.1:${middlePort}`;
    const middle = createMesh("middle", middleAddress);
    await middle.mesh.start();
    t.teardown(middle.stop);
    const join = async (instanceId: string, port: number) => {
        const joined = createMesh(instanceId, `127.0.0.1:${port}`, { seeds: [middleAddress], isReachable: false });
        await joined.mesh.start();
        t.teardown(joined.stop);
        await processes.waitFor(`${instanceId} and middle are linked`, () => middle.mesh.listLinkedPeers().includes(instanceId));
        return joined.mesh;
    };
    await join("north", northPort);
    const south = await join("south", southPort);
    await processes.waitFor("south knows north", () => south.getMember("north") !== undefined);
    let longestSilenceMs = 0;
    for (const startedAt = performance.now(); performance.now() - startedAt < observationMs;) {
        await new Promise(resolve => setTimeout(resolve, gossipIntervalMs));
        longestSilenceMs = Math.max(longestSilenceMs, south.getSilenceMs("north"));
    }
    t.strictSame(south.listLinkedPeers(), ["middle"]);
    t.ok(longestSilenceMs < suspectAfterMs, `north was silent for ${Math.round(longestSilenceMs)} ms`);
});
