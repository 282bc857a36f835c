/** Which peer an instance exchanges digests with next. */

import type * as randomness from "../kernel/randomness.js";

/** Of so many rounds, one may go to another failure domain, since bytes between domains are dear. */
const roundsPerCrossDomainDigest = 5;

/** What the choice depends on. */
export interface ChooseDigestPeerOptions {
    /** Counts the rounds. */
    readonly round: number;
    /** The linked peers, and whether each is of the own failure domain. */
    readonly peers: readonly { readonly peerId: string; readonly isNear: boolean; }[];
    readonly randomness: randomness.Randomness;
}

/**
 * Chooses a peer at random, of the own failure domain in most rounds; undefined where there is none.
 * @param options - The round and the peers.
 */
export function chooseDigestPeer({ round, peers, randomness: random }: ChooseDigestPeerOptions): string | undefined {
    const near = peers.filter(peer => peer.isNear);
    const choice = near.length === 0 || round % roundsPerCrossDomainDigest === 0 ? peers : near;
    return choice[Math.floor(random.getFraction() * choice.length)]?.peerId;
}
