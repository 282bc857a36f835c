/**
 * Guards against a starting fleet that sends a digest of all instances on every link between failure domains, and against links
 * whose ends never compare their registers because a digest was left out.
 */

import tap from "tap";
import * as digestExchange from "../../src/peers/digestExchange.js";
import type * as link from "../../src/peers/link.js";
import * as registers from "../../src/peers/registers.js";
import type * as wire from "../../src/peers/wire.js";
import * as virtualTime from "../harness/virtualTime.js";

function createExchange() {
    const time = new virtualTime.VirtualTime();
    const registerTable = new registers.RegisterTable({ selfId: "m", incarnation: 1, deadAfterMs: 10_000, maximumHeartbeatLag: 3 });
    const exchange = new digestExchange.DigestExchange({ context: { clock: { getNow: () => time.now, getWallTime: () => 0 }, loop: time, identity: { instanceId: "m", incarnation: 1, failureDomain: "north" } } as never, registerTable });
    const createLink = (instanceId: string, failureDomain: string) => {
        const sent: string[] = [];
        const peerLink = { getPeer: () => ({ instanceId, failureDomain, incarnation: 1 }), sendMessage: ({ type }: wire.Message) => sent.push(type) } as unknown as link.PeerLink;
        return { sent, peerLink };
    };
    return { time, registerTable, exchange, createLink };
}

void tap.test("one digest a second goes to each other failure domain, and a summary follows where none did", async t => {
    const { time, exchange, createLink } = createExchange();
    const [first, second, third, own, earlier] = [createLink("x", "south"), createLink("y", "south"), createLink("z", "east"), createLink("a", "north"), createLink("a", "south")];
    [first, second, third, own, earlier].forEach(({ peerLink }) => exchange.handleLinkOpen(peerLink));
    t.strictSame([first, second, third, own, earlier].map(({ sent }) => sent), [["digest"], [], ["digest"], ["digest"], []]);
    time.addTime(1_100);
    t.strictSame([first, second, third, own, earlier].map(({ sent }) => sent), [["digest"], ["summary"], ["digest"], ["digest"], ["summary"]], "the others compare their registers a second later");
});

void tap.test("a peer with other registers is sent a digest, at the latest after a second", async t => {
    const { time, registerTable, exchange, createLink } = createExchange();
    const [first, second] = [createLink("x", "south"), createLink("y", "south")];
    exchange.receiveSummary(first.peerLink, registerTable.getSummary());
    t.strictSame(first.sent, [], "equal registers");
    exchange.receiveSummary(first.peerLink, registerTable.getSummary() + 1);
    exchange.receiveSummary(second.peerLink, registerTable.getSummary() + 1);
    t.strictSame([first.sent, second.sent], [["digest"], []]);
    time.addTime(1_000);
    t.strictSame(second.sent, ["summary"], "which the peer answers if it still has other registers");
    exchange.receiveSummary(second.peerLink, registerTable.getSummary() + 1);
    t.strictSame(second.sent, ["summary", "digest"]);
});
