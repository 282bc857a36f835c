/** The regular messages of the mesh: heartbeats to the linked peers and digests to one of them at a time. */

import type * as context from "../kernel/context.js";
import * as digestPeer from "./digestPeer.js";
import type * as linkManager from "./linkManager.js";
import type * as registers from "./registers.js";
import * as wire from "./wire.js";

/** One gossip round in this many sends a heartbeat to the peers in other failure domains; each round sends one to the peers in the own domain, and a digest to one peer. */
const roundsPerCrossDomainHeartbeat = 2;

/** Options of `GossipRounds`. */
export interface CreateGossipRoundsOptions {
    readonly context: context.Context;
    readonly linkManager: linkManager.LinkManager;
    readonly registerTable: registers.RegisterTable;
}

/** Sends this instance's heartbeats and digests. */
export class GossipRounds {
    private round = 0;

    constructor(private readonly options: CreateGossipRoundsOptions) {}

    /**
     * Runs one round.
     * @param now - The current time, in monotonic milliseconds.
     */
    runRound(now: number): void {
        this.round += 1;
        this.sendHeartbeat(now);
        this.sendDigest();
    }

    private sendHeartbeat(now: number): void {
        const { context: { identity: { incarnation, failureDomain } }, linkManager, registerTable } = this.options;
        const frame = wire.encodeFrame({ type: "heartbeat", incarnation, heartbeat: registerTable.incrementHeartbeat(now) });
        const receivers = this.round % roundsPerCrossDomainHeartbeat === 0 ? linkManager.listLinkedPeers() : linkManager.listLinkedPeersByDomain().get(failureDomain) ?? [];
        receivers.forEach(peerId => linkManager.getLink(peerId)?.sendFrame(frame));
    }

    private sendDigest(): void {
        const { context: { identity: { failureDomain }, randomness }, linkManager, registerTable } = this.options;
        const peers = linkManager.listPeers().map(peer => ({ peerId: peer.instanceId, isSameDomain: peer.failureDomain === failureDomain }));
        const chosenPeerId = digestPeer.chooseDigestPeer({ round: this.round, peers, randomness });
        if (chosenPeerId !== undefined) {
            linkManager.getLink(chosenPeerId)?.sendMessage({ type: "digest", entries: [...registerTable.getDigest()], isReply: false });
        }
    }
}
