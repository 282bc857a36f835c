/** Guards against links that open only at the next regular check: retries and new seeds must open them without it. */

import * as net from "node:net";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as loop from "../../src/kernel/loop.js";
import * as linkManager from "../../src/peers/linkManager.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";

const timerAdvanceMs = 2;

function createLinkManager(instanceId: string, peerListen: string) {
    const time = clock.createSystemClock();
    const timers = new loop.Loop({ clock: time, getLogger: () => undefined as never });
    return new linkManager.LinkManager({
        context: {
            identity: { instanceId, incarnation: 1, failureDomain: "north" },
            settings: { peerListen, peerAdvertise: "", seeds: [], fleet: "test", sharedSecretFile: "", tlsCertificateFile: "", frameBytes: 65_536, peerTimeoutMs: 1_000, suspectAfterMs: 60_000, maximumPeerLinks: 48 },
            clock: time,
            randomness: { getIdentifier: () => `${instanceId}-0123456789abcdef`, getFraction: () => 0.5 },
            logger: { writeInfo: () => {}, writeWarning: () => {}, writeDebug: () => {} },
            // Timers may fire slightly early relative to the clock that the retry time is compared with. Regular checks never run here.
            loop: { scheduleOnce: (delayMs: number, task: () => void) => timers.scheduleOnce(Math.max(0, delayMs - timerAdvanceMs), task), scheduleRepeatedly: () => () => {} },
        },
        events: { onOpen: () => {}, onMessage: () => {}, onClose: () => {} },
        createPlan: () => ({ kind: "complete", targets: [], knownAddresses: new Set() }),
        countBytes: () => {},
        isCompressionAccepted: () => false,
    } as unknown as linkManager.CreateLinkManagerOptions);
}

void tap.test("opening links", async t => {
    const [first, second] = await Promise.all([ports.findFreePort(), ports.findFreePort()]);
    const early = createLinkManager("early", `127.0.0.1:${first}`);
    await early.start();
    t.teardown(() => early.stop());
    const addLate = async () => {
        const late = createLinkManager("late", `127.0.0.1:${second}`);
        await late.start();
        t.teardown(() => late.stop());
        return late;
    };

    await t.test("retries a peer that does not accept connections yet", async t => {
        let closedConnections = 0;
        const closingServer = net.createServer(socket => {
            closedConnections += 1;
            socket.destroy();
        });
        await new Promise<void>(resolve => closingServer.listen(second, "127.0.0.1", resolve));
        early.addSeeds([`127.0.0.1:${second}`]);
        await processes.waitFor("two connection attempts", () => closedConnections >= 2);
        t.strictSame(early.listLinkedPeers(), []);
        await new Promise(resolve => closingServer.close(resolve));
    });

    await t.test("opens the link once the peer is listening", async t => {
        const late = await addLate();
        await processes.waitFor("an open link after the retries", () => early.listLinkedPeers().length > 0);
        t.strictSame(early.listLinkedPeers(), ["late"]);
        t.strictSame(late.listLinkedPeers(), ["early"]);
    });
});
