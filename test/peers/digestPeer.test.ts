/** Digests stay within a failure domain in most rounds, and every peer gets some. */

import tap from "tap";
import * as randomness from "../../src/kernel/randomness.js";
import * as digestPeer from "../../src/peers/digestPeer.js";

void tap.test("the peer of a digest", async t => {
    const random = randomness.createSeededRandomness(5);
    const peers = [{ peerId: "near-1", isNear: true }, { peerId: "near-2", isNear: true }, { peerId: "far-1", isNear: false }, { peerId: "far-2", isNear: false }];
    const chosen = Array.from({ length: 1_000 }, (_, round) => digestPeer.chooseDigestPeer({ round, peers, randomness: random }));
    const far = chosen.filter(peerId => peerId?.startsWith("far")).length;
    t.ok(far > 60 && far < 140, `${far} of 1,000 rounds cross a domain's border`);
    t.strictSame([...new Set(chosen)].sort(), ["far-1", "far-2", "near-1", "near-2"]);
    t.equal(digestPeer.chooseDigestPeer({ round: 1, peers: peers.slice(2), randomness: random })?.startsWith("far"), true, "without near peers any will do");
    t.equal(digestPeer.chooseDigestPeer({ round: 1, peers: [], randomness: random }), undefined);
});
