/** Chooses the peer for the next digest exchange. */

import type * as randomness from "../kernel/randomness.js";

/** One round in this many may choose a peer in another failure domain, because traffic between failure domains is expensive. */
const roundsPerCrossDomainDigest = 5;

/** Options of `chooseDigestPeer`. */
export interface ChooseDigestPeerOptions {
    /** The number of the gossip round. */
    readonly round: number;
    /** The linked peers; `isSameDomain` tells whether a peer is in this instance's failure domain. */
    readonly peers: readonly { readonly peerId: string; readonly isSameDomain: boolean; }[];
    readonly randomness: randomness.Randomness;
}

/**
 * Chooses a random peer, in most rounds from this instance's failure domain; undefined if there are no linked peers.
 */
export function chooseDigestPeer({ round, peers, randomness: random }: ChooseDigestPeerOptions): string | undefined {
    const sameDomainPeers = peers.filter(peer => peer.isSameDomain);
    const candidates = sameDomainPeers.length === 0 || round % roundsPerCrossDomainDigest === 0 ? peers : sameDomainPeers;
    return candidates[Math.floor(random.getFraction() * candidates.length)]?.peerId;
}
