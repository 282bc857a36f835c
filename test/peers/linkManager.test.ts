/** How soon links are there, without the regular look at which are missing. */

import * as net from "node:net";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as loop from "../../src/kernel/loop.js";
import * as linkManager from "../../src/peers/linkManager.js";
import * as ports from "../harness/ports.js";
import * as processes from "../harness/processes.js";

const earlyMs = 2;

function createDialer(instanceId: string, peerListen: string) {
    const time = clock.createSystemClock();
    const timers = new loop.Loop({ clock: time, getLogger: () => undefined as never });
    return new linkManager.LinkManager({
        context: {
            identity: { instanceId, incarnation: 1, failureDomain: "north" },
            settings: { peerListen, peerAdvertise: "", seeds: [], fleet: "test", sharedSecretFile: "", tlsCertificateFile: "", frameBytes: 65_536, peerTimeoutMs: 1_000, suspectAfterMs: 60_000, maximumPeerLinks: 48 },
            clock: time,
            randomness: { getIdentifier: () => `${instanceId}-0123456789abcdef`, getFraction: () => 0.5 },
            logger: { writeInfo: () => {}, writeWarning: () => {}, writeDebug: () => {} },
            // Timers may fire a little before their time by the clock that decides.
            loop: { scheduleOnce: (delayMs: number, task: () => void) => timers.scheduleOnce(Math.max(0, delayMs - earlyMs), task), scheduleRepeatedly: () => () => {} },
        },
        events: { onOpen: () => {}, onMessage: () => {}, onClose: () => {} },
        listTargets: () => [],
        countBytes: () => {},
    } as unknown as linkManager.CreateLinkManagerOptions);
}

void tap.test("links", async t => {
    const [first, second] = await Promise.all([ports.findPort(), ports.findPort()]);
    const early = createDialer("early", `127.0.0.1:${first}`);
    await early.start();
    t.teardown(() => early.stop());
    const addLate = async () => {
        const late = createDialer("late", `127.0.0.1:${second}`);
        await late.start();
        t.teardown(() => late.stop());
        return late;
    };

    await t.test("to an instance that does not listen yet, by repeated attempts", async t => {
        let refused = 0;
        const gate = net.createServer(socket => {
            refused += 1;
            socket.destroy();
        });
        await new Promise<void>(resolve => gate.listen(second, "127.0.0.1", resolve));
        early.addSeeds([`127.0.0.1:${second}`]);
        await processes.waitFor("it was tried twice", () => refused >= 2);
        t.strictSame(early.listLinkedPeers(), []);
        await new Promise(resolve => gate.close(resolve));
    });

    await t.test("as soon as an address is known", async t => {
        const late = await addLate();
        await processes.waitFor("the link of the repeated attempts", () => early.listLinkedPeers().length > 0);
        t.strictSame(early.listLinkedPeers(), ["late"]);
        t.strictSame(late.listLinkedPeers(), ["early"]);
    });
});
