/**
 * The regular messages of the mesh. In a complete topology, heartbeats go to the linked peers and a digest to one of them at
 * a time. In cells, both go to relays alone, and a summary takes the place of the digest.
 */

import type * as context from "../kernel/context.js";
import { match } from "ts-pattern";
import * as digestPeer from "./digestPeer.js";
import type * as gossipRelay from "./gossipRelay.js";
import type * as linkManager from "./linkManager.js";
import type * as registers from "./registers.js";
import type * as topology from "./topology.js";
import * as wire from "./wire.js";

/** One gossip round in this many sends a heartbeat to the peers in other failure domains; each round sends one to the peers in the own domain, and a digest to one peer. */
const roundsPerCrossDomainHeartbeat = 2;

/** Options of `GossipRounds`. */
export interface CreateGossipRoundsOptions {
    readonly context: context.Context;
    readonly linkManager: linkManager.LinkManager;
    readonly registerTable: registers.RegisterTable;
    readonly gossipRelay: gossipRelay.GossipRelay;
    readonly getTopology: () => topology.Topology;
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
        const heartbeat = this.options.registerTable.incrementHeartbeat(now);
        match(this.options.getTopology().kind)
            .with("complete", () => {
                this.sendHeartbeat(heartbeat, this.listHeartbeatReceivers());
                this.sendDigest();
            })
            .with("cells", () => {
                const { context: { identity }, gossipRelay: relay } = this.options;
                relay.addHeartbeat(identity.instanceId);
                this.sendHeartbeat(heartbeat, this.listLinkedRelays());
                this.sendSummary();
            })
            .exhaustive();
    }

    private listHeartbeatReceivers(): readonly string[] {
        const { context: { identity: { failureDomain } }, linkManager } = this.options;
        return this.round % roundsPerCrossDomainHeartbeat === 0 ? linkManager.listLinkedPeers() : linkManager.listLinkedPeersByDomain().get(failureDomain) ?? [];
    }

    /** Lists the linked relays of the own cell. Until there is one, every linked peer counts, so that a starting fleet finds together. */
    private listLinkedRelays(): readonly string[] {
        const { context: { identity: { instanceId } }, linkManager, getTopology } = this.options;
        const current = getTopology();
        const linked = linkManager.listLinkedPeers();
        const relays = linked.filter(peerId => current.isRelay(peerId) && current.getCell(peerId) === current.getCell(instanceId));
        return relays.length > 0 ? relays : linked;
    }

    private sendHeartbeat(heartbeat: number, receivers: readonly string[]): void {
        const { context: { identity: { incarnation } }, linkManager } = this.options;
        const { frame, label } = wire.encodeLabeledFrame({ type: "heartbeat", incarnation, heartbeat });
        receivers.forEach(peerId => linkManager.getLink(peerId)?.sendFrame(frame, label));
    }

    private sendSummary(): void {
        const { context: { randomness, identity: { instanceId } }, linkManager, registerTable, getTopology } = this.options;
        const current = getTopology();
        const peers = current.isRelay(instanceId) ? linkManager.listLinkedPeers().filter(peerId => current.isRelay(peerId)) : this.listLinkedRelays();
        const chosenPeerId = peers[Math.floor(randomness.getFraction() * peers.length)];
        if (chosenPeerId !== undefined) {
            linkManager.getLink(chosenPeerId)?.sendMessage({ type: "summary", hash: registerTable.getSummary() });
        }
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
