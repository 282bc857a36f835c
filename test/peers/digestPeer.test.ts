/** Guards against digest traffic that mostly crosses failure domains, and against peers that are never chosen. */

import tap from "tap";
import * as randomness from "../../src/kernel/randomness.js";
import * as digestPeer from "../../src/peers/digestPeer.js";

void tap.test("choosing the peer for a digest", async t => {
    const random = randomness.createSeededRandomness(5);
    const peers = [{ peerId: "near-1", isSameDomain: true }, { peerId: "near-2", isSameDomain: true }, { peerId: "far-1", isSameDomain: false }, { peerId: "far-2", isSameDomain: false }];
    const chosen = Array.from({ length: 1_000 }, (_, round) => digestPeer.chooseDigestPeer({ round, peers, randomness: random }));
    const far = chosen.filter(peerId => peerId?.startsWith("far")).length;
    t.ok(far > 60 && far < 140, `${far} of 1,000 rounds choose a peer in another failure domain`);
    t.strictSame([...new Set(chosen)].sort(), ["far-1", "far-2", "near-1", "near-2"]);
    t.equal(digestPeer.chooseDigestPeer({ round: 1, peers: peers.slice(2), randomness: random })?.startsWith("far"), true, "any peer is chosen if none is in the same failure domain");
    t.equal(digestPeer.chooseDigestPeer({ round: 1, peers: [], randomness: random }), undefined);
});
