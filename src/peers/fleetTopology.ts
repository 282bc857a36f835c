/** The current topology of this instance's fleet, as its list of members gives it. */

import type * as context from "../kernel/context.js";
import type * as link from "./link.js";
import type * as linkManager from "./linkManager.js";
import type * as members from "./members.js";
import * as serveSettings from "../settings/index.js";
import * as topology from "./topology.js";

/** Options of the fleet's topology. */
export interface CreateFleetTopologyOptions {
    readonly context: context.Context;
    /** Lists the known members, this instance included. */
    readonly listMembers: () => readonly members.Member[];
    /** Returns whether this instance is draining. */
    readonly isDraining: () => boolean;
}

/** Computes the topology anew with each link plan, and answers from the last one in between. */
export class FleetTopology {
    private current: topology.Topology;

    constructor(private readonly options: CreateFleetTopologyOptions) {
        this.current = this.createTopology(0, new Set());
    }

    /** Returns the topology of the last link plan. */
    getCurrent(): topology.Topology {
        return this.current;
    }

    /** Computes the topology and the links that this instance is to have in it. */
    createLinkPlan(listedCount: number, unreachable: ReadonlySet<string>): linkManager.LinkPlan {
        const self = this.options.context.identity.instanceId;
        const known = this.options.listMembers().filter(member => member.instanceId !== self && member.peerAddress !== "");
        this.current = this.createTopology(listedCount, unreachable);
        const targets = new Set(this.current.listTargets(self));
        return {
            kind: this.current.kind,
            targets: known.filter(member => targets.has(member.instanceId)).map(member => ({ instanceId: member.instanceId, address: member.peerAddress })),
            knownAddresses: new Set(known.filter(member => member.state !== "suspect").map(member => member.peerAddress)),
        };
    }

    /** Chooses among linked peers those that relay for their cell, the relays of the own cell first; in a complete topology all. */
    listRelayPeers(linkedPeers: readonly string[]): readonly string[] {
        const { current, options: { context: { identity: { instanceId } } } } = this;
        if (current.kind === "complete") {
            return linkedPeers;
        }
        const relays = linkedPeers.filter(peerId => current.isRelay(peerId));
        const isOwn = (peerId: string) => current.getCell(peerId) === current.getCell(instanceId);
        return [...relays.filter(isOwn), ...relays.filter(peerId => !isOwn(peerId))];
    }

    /** Groups the identifiers of peers by their cell. */
    listByCell(peers: readonly link.PeerIdentity[]): ReadonlyMap<string, readonly string[]> {
        const byCell = new Map<string, string[]>();
        for (const { instanceId, failureDomain } of peers) {
            const cell = this.current.getCell(instanceId) ?? failureDomain;
            const peerIds = byCell.get(cell) ?? [];
            byCell.set(cell, peerIds);
            peerIds.push(instanceId);
        }
        return byCell;
    }

    private createTopology(listedCount: number, unreachable: ReadonlySet<string>): topology.Topology {
        const { context: { identity: { instanceId, failureDomain }, settings }, listMembers, isDraining } = this.options;
        const others = listMembers().filter(member => member.instanceId !== instanceId);
        return new topology.Topology({
            members: [
                { instanceId, failureDomain, isSteady: !isDraining(), capacity: serveSettings.computeCapacity(settings) },
                ...others.map(member => ({ instanceId: member.instanceId, failureDomain: member.failureDomain, isSteady: member.state !== "draining" && member.state !== "suspect", capacity: member.capacity })),
            ],
            maximumCompleteSize: settings.maximumPeerLinks + 1,
            listedCount,
            unreachable,
        });
    }
}
