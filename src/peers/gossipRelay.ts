/**
 * Hands on, in a topology of cells, what the relays of a cell receive: registers and heartbeats of its instances go to all
 * other instances, those of other cells to its own. Messages are collected, so that what an instance receives grows with
 * the changes in the fleet and not with its links.
 */

import type * as context from "../kernel/context.js";
import type * as loop from "../kernel/loop.js";
import type * as registers from "./registers.js";
import type * as topology from "./topology.js";
import * as wire from "./wire.js";

/** How long changed registers are collected. */
const registerBatchDelayMs = 50;
/** How long heartbeats are collected. Two relays on the way and a gossip interval stay below the silence that makes an instance quiet. */
const heartbeatBatchDelayMs = 400;

/** Options of a gossip relay. */
export interface CreateGossipRelayOptions {
    readonly context: context.Context;
    readonly registerTable: registers.RegisterTable;
    readonly getTopology: () => topology.Topology;
    readonly listLinkedPeers: () => readonly string[];
    readonly sendFrame: (peerId: string, frame: Buffer, label: string) => void;
}

/** Collects what this instance hands on while it is a relay of its cell. */
export class GossipRelay {
    /** By origin and topic. */
    private readonly pendingRegisters = new Map<string, wire.Register>();
    private readonly pendingHeartbeats = new Set<string>();
    private cancelRegisters?: loop.Cancel;
    private cancelHeartbeats?: loop.Cancel;

    constructor(private readonly options: CreateGossipRelayOptions) {}

    /** Hands on a register that is newer than the one known before. */
    addRegister(register: wire.Register): void {
        if (!this.isRelay()) {
            return;
        }
        this.pendingRegisters.set(`${register.origin}\0${register.topic}`, register);
        this.cancelRegisters ??= this.options.context.loop.scheduleOnce(registerBatchDelayMs, () => this.sendRegisters());
    }

    /** Hands on the latest heartbeat of an instance, which may be this one. */
    addHeartbeat(origin: string): void {
        if (!this.isRelay()) {
            return;
        }
        this.pendingHeartbeats.add(origin);
        this.cancelHeartbeats ??= this.options.context.loop.scheduleOnce(heartbeatBatchDelayMs, () => this.sendHeartbeats());
    }

    private isRelay(): boolean {
        return this.options.getTopology().isRelay(this.options.context.identity.instanceId);
    }

    private sendRegisters(): void {
        this.cancelRegisters = undefined;
        const pending = [...this.pendingRegisters.values()];
        this.pendingRegisters.clear();
        this.sendToCells(pending, ({ origin }) => origin, collected => ({ type: "registers", registers: [...collected] }));
    }

    private sendHeartbeats(): void {
        this.cancelHeartbeats = undefined;
        const entries = [...this.pendingHeartbeats].flatMap(origin => {
            const known = this.options.registerTable.getHeartbeat(origin);
            return known === undefined ? [] : [[origin, known.incarnation, known.heartbeat] satisfies wire.HeartbeatEntry];
        });
        this.pendingHeartbeats.clear();
        this.sendToCells(entries, ([origin]) => origin, collected => ({ type: "heartbeats", entries: [...collected] }));
    }

    /** Sends everything to the linked peers of the own cell, and to other cells what comes from the own one. Each message is encoded once. */
    private sendToCells<T>(items: readonly T[], getOrigin: (item: T) => string, createMessage: (items: readonly T[]) => wire.Message): void {
        const { getTopology, listLinkedPeers, sendFrame, context: { identity } } = this.options;
        const current = getTopology();
        const ownCell = current.getCell(identity.instanceId);
        const ownItems = items.filter(item => current.getCell(getOrigin(item)) === ownCell);
        const peers = listLinkedPeers();
        const ownPeers = peers.filter(peerId => current.getCell(peerId) === ownCell);
        const otherPeers = peers.filter(peerId => current.getCell(peerId) !== ownCell);
        for (const [receivers, sent] of [[ownPeers, items], [otherPeers, ownItems]] as const) {
            if (receivers.length > 0 && sent.length > 0) {
                const { frame, label } = wire.encodeLabeledFrame(createMessage(sent));
                receivers.forEach(peerId => sendFrame(peerId, frame, label));
            }
        }
    }
}
