/** The gossip mesh between the instances: replicated registers, requests, notices and failure detection by heartbeats. */

import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as digestExchange from "./digestExchange.js";
import * as linkManager from "./linkManager.js";
import * as fleetTopology from "./fleetTopology.js";
import * as gossipRelay from "./gossipRelay.js";
import * as gossipRounds from "./gossipRounds.js";
import type * as link from "./link.js";
import * as memberDirectory from "./memberDirectory.js";
import * as memberMetrics from "./memberMetrics.js";
import * as members from "./members.js";
import * as peerByteCounter from "./peerByteCounter.js";
import * as pendingRequests from "./pendingRequests.js";
import * as registers from "./registers.js";
import * as requestHandlers from "./requestHandlers.js";
import * as wire from "./wire.js";

/** A peer is sent newer heartbeats once it is behind by this fraction of those that are sent until an instance is suspect. */
const suspicionLagFraction = 0.5;
/** How far peers of different failure domains are apart on an origin's heartbeats in normal operation. */
const usualHeartbeatLag = 3;

/** Receives the value that another instance (the origin) has published or sent under a topic. */
export type TopicListener = (origin: string, body: unknown) => void;

/**
 * Connects this instance to its peers.
 * @remarks A register is the latest value that an instance, its origin, has published under a topic. Registers reach every
 * instance by gossip. Requests and notices go to linked peers only; a notice has no reply and may be lost.
 */
export class Mesh {
    private readonly registerTable: registers.RegisterTable;
    private readonly memberDirectory: memberDirectory.MemberDirectory;
    private readonly pendingRequests: pendingRequests.PendingRequests;
    private readonly registerListeners = new Map<string, TopicListener[]>();
    private readonly requestHandlers = new requestHandlers.RequestHandlers();
    private readonly noticeHandlers = new Map<string, TopicListener>();
    private readonly disconnectListeners: ((peerId: string) => void)[] = [];
    private readonly linkManager: linkManager.LinkManager;
    private readonly byteCounter: peerByteCounter.PeerByteCounter;
    private selfDescription: members.MemberDescription;
    private readonly gossipRounds: gossipRounds.GossipRounds;
    private readonly gossipRelay: gossipRelay.GossipRelay;
    private readonly digestExchange: digestExchange.DigestExchange;
    private readonly fleetTopology: fleetTopology.FleetTopology;

    constructor(private readonly context: context.Context) {
        const { settings, identity, metrics } = context;
        this.registerTable = new registers.RegisterTable({
            selfId: identity.instanceId,
            incarnation: identity.incarnation,
            deadAfterMs: settings.deadAfterMs,
            maximumHeartbeatLag: Math.max(usualHeartbeatLag, settings.suspectAfterMs / settings.gossipIntervalMs * suspicionLagFraction),
        });
        this.digestExchange = new digestExchange.DigestExchange({ context, registerTable: this.registerTable });
        this.memberDirectory = new memberDirectory.MemberDirectory({ clock: context.clock, registerTable: this.registerTable, suspectAfterMs: settings.suspectAfterMs });
        this.pendingRequests = new pendingRequests.PendingRequests(context.loop, settings.peerTimeoutMs);
        this.byteCounter = new peerByteCounter.PeerByteCounter({ registry: metrics, failureDomain: identity.failureDomain });
        this.selfDescription = members.createOwnDescription(identity.failureDomain, settings);
        this.linkManager = new linkManager.LinkManager({
            context,
            countBytes: (direction, bytes, peer, label) => this.byteCounter.recordFrame(direction, bytes, peer?.failureDomain, label),
            isCompressionAccepted: peer => this.memberDirectory.isCompressionAccepted(peer),
            createPlan: (listedCount, unreachable) => this.fleetTopology.createLinkPlan(listedCount, unreachable),
            events: {
                onOpen: peerLink => this.handleLinkOpen(peerLink),
                onMessage: (peerLink, message) => this.receiveMessage(peerLink, message),
                onClose: peerLink => this.handleLinkClose(peerLink),
            },
        });
        this.fleetTopology = new fleetTopology.FleetTopology({ context, listMembers: () => this.listMembers(), isDraining: () => this.selfDescription.state === "draining" });
        const getTopology = () => this.fleetTopology.getCurrent();
        this.gossipRelay = new gossipRelay.GossipRelay({
            context,
            registerTable: this.registerTable,
            getTopology,
            listLinkedPeers: () => this.linkManager.listLinkedPeers(),
            sendFrame: (peerId, frame, label) => this.linkManager.getLink(peerId)?.sendFrame(frame, label),
        });
        this.gossipRounds = new gossipRounds.GossipRounds({ context, linkManager: this.linkManager, registerTable: this.registerTable, gossipRelay: this.gossipRelay, getTopology });
        memberMetrics.createMemberGauge(metrics, () => this.listMembers());
    }

    /** Opens the peer port, publishes its address and starts the gossip rounds. */
    async start(): Promise<void> {
        const peerAddress = await this.linkManager.start();
        this.setMember({ peerAddress });
        this.context.loop.scheduleRepeatedly(this.context.settings.gossipIntervalMs, () => this.runGossipRound());
    }

    /** Closes the peer port and every link. */
    stop(): Promise<void> {
        return this.linkManager.stop();
    }

    /**
     * Updates this instance's own description and publishes it.
     * @param change - The fields to change.
     */
    setMember(change: Partial<members.MemberDescription>): void {
        this.selfDescription = { ...this.selfDescription, ...change };
        this.setRegister(memberDirectory.memberTopic, this.selfDescription);
        this.memberDirectory.recordChange();
    }

    /** Lists the known members, this instance first; an instance whose description has not arrived yet is left out. */
    listMembers(): readonly members.Member[] {
        return this.memberDirectory.listMembers();
    }

    /** Returns the number of known addresses at which other instances may be reached. */
    readonly countPeerAddresses = () => this.linkManager.countPeerAddresses();

    /** Returns the number of known members, this instance included. */
    countMembers(): number {
        return this.memberDirectory.countMembers();
    }

    /**
     * Returns the member with an identifier; undefined if it is not known.
     * @param instanceId - The instance identifier.
     */
    getMember(instanceId: string): members.Member | undefined {
        return this.memberDirectory.getMember(instanceId);
    }

    /**
     * Publishes this instance's value of a topic: sends it to the linked peers and gossips it to the others.
     * @param topic - The topic.
     * @param body - Plain data, a few kilobytes at most.
     */
    setRegister(topic: string, body: unknown): void {
        const registers = [this.registerTable.setOwnRegister(topic, body)];
        this.linkManager.listLinkedPeers().forEach(peerId => this.linkManager.getLink(peerId)?.sendMessage({ type: "registers", registers }));
    }

    /**
     * Returns the values of a topic by the identifier of the origin, including this instance's own value.
     * @param topic - The topic.
     */
    getRegisters(topic: string): ReadonlyMap<string, unknown> {
        const pairs = this.registerTable.listOrigins().map(origin => [origin, this.registerTable.getBody(origin, topic)] as const);
        return new Map(pairs.filter(([, body]) => body !== undefined));
    }

    /**
     * Returns milliseconds since the last new heartbeat of an instance, received directly or by gossip.
     * @param instanceId - The instance identifier.
     */
    getSilenceMs(instanceId: string): number {
        return this.registerTable.getSilenceMs(instanceId, this.context.clock.getNow());
    }

    /** Adds a listener for changes of other instances' values of a topic; it is called with the origin and the new value. */
    addListener(topic: string, listener: TopicListener): void {
        this.registerListeners.set(topic, [...this.registerListeners.get(topic) ?? [], listener]);
    }

    /** Adds a listener that is called with the peer's instance identifier when the last open link to it has closed. */
    addDisconnectListener(listener: (peerId: string) => void): void {
        this.disconnectListeners.push(listener);
    }

    /** Adds seed addresses, which are dialed like the seeds in the settings; stale ones are allowed. */
    addSeeds(addresses: readonly string[]): void {
        this.linkManager.addSeeds(addresses);
    }

    /** Sets the handler that computes the replies to peers' requests on a topic. */
    setHandler(topic: string, handler: requestHandlers.RequestHandler): void {
        this.requestHandlers.setHandler(topic, handler);
    }

    /** Sets the handler for peers' notices on a topic; it is called with the sender's identifier and the body. */
    setNoticeHandler(topic: string, handler: TopicListener): void {
        this.noticeHandlers.set(topic, handler);
    }

    /**
     * Sends a notice to linked peers. There is no acknowledgement, so it may be lost.
     * @param peerIds - The peers' instance identifiers.
     * @param topic - The topic, which selects the handler at the peer.
     * @param body - Plain data.
     * @returns How many peers the notice was sent to; peers without an open link or with a full send buffer are skipped.
     */
    sendNotices(peerIds: readonly string[], topic: string, body: unknown): number {
        const { frame, label } = wire.encodeLabeledFrame({ type: "notice", topic, body });
        return peerIds.filter(peerId => this.linkManager.getLink(peerId)?.sendFrame(frame, label) === true).length;
    }

    /** Lists the identifiers of the peers with an open link. */
    listLinkedPeers(): readonly string[] {
        return this.linkManager.listLinkedPeers();
    }

    /** Lists the identifiers of the peers with an open link by their cell, which is their failure domain or a part of it. */
    listLinkedPeersByCell(): ReadonlyMap<string, readonly string[]> {
        return this.fleetTopology.listByCell(this.linkManager.listPeers());
    }

    /** Returns the cell of an instance: its failure domain, or a part of a large one; undefined if the instance is not known. */
    getCell(instanceId: string): string | undefined {
        return this.fleetTopology.getCurrent().getCell(instanceId) ?? this.getMember(instanceId)?.failureDomain;
    }

    /** Lists the linked peers that may know what this instance does not: in cells the relays, those of its own cell first, and otherwise all. */
    listRelayPeers(): readonly string[] {
        return this.fleetTopology.listRelayPeers(this.linkManager.listLinkedPeers());
    }

    /** Returns whether an instance, by default this one, is a relay of its cell. */
    isCellRelay(instanceId = this.context.identity.instanceId): boolean {
        return this.fleetTopology.getCurrent().isRelay(instanceId);
    }

    /** Returns whether the instances are linked in cells, rather than all with one another. */
    hasCells(): boolean {
        return this.fleetTopology.getCurrent().kind === "cells";
    }

    /**
     * Sends a request to a linked peer and waits for its reply.
     * @param peerId - The peer's instance identifier.
     * @param topic - The topic, which selects the handler at the peer.
     * @param body - Plain data.
     * @returns The reply's body, or a `peerUnreachable` error if no link is open, the peer refuses, or it does not reply in time.
     */
    async sendRequest(peerId: string, topic: string, body: unknown): Promise<Result<unknown, errors.FleetError>> {
        const peerLink = this.linkManager.getLink(peerId);
        if (peerLink === undefined) {
            return err(errors.createError("peerUnreachable", `there is no open link to ${peerId}`));
        }
        return this.pendingRequests.addRequest(peerId, id => peerLink.sendMessage({ type: "request", id, topic, body }));
    }

    /** Returns the known members and the open links for the operators' dump. */
    getDump(): unknown {
        return {
            members: this.listMembers().map(member => ({ ...member, isLinked: this.linkManager.getLink(member.instanceId) !== undefined })),
            links: this.linkManager.listLinkedPeers(),
        };
    }

    private runGossipRound(): void {
        const now = this.context.clock.getNow();
        this.gossipRounds.runRound(now);
        for (const origin of this.registerTable.removeDeadOrigins(now)) {
            this.memberDirectory.recordChange();
            this.context.logger.writeInfo("member-forgotten", `instance ${origin} has sent no heartbeat for longer than dead-after-ms; removing it from the known members`, { member: origin });
        }
    }

    private handleLinkOpen(peerLink: link.PeerLink): void {
        this.digestExchange.handleLinkOpen(peerLink);
        this.context.logger.writeInfo("peer-linked", `opened a link to peer ${peerLink.getPeer()?.instanceId}`, { peer: peerLink.getPeer()?.instanceId });
    }

    private handleLinkClose(peerLink: link.PeerLink): void {
        const peer = peerLink.getPeer();
        if (peer !== undefined && this.linkManager.getLink(peer.instanceId) === undefined) {
            this.pendingRequests.rejectPeerRequests(peer.instanceId);
            this.disconnectListeners.forEach(listener => listener(peer.instanceId));
        }
    }

    private receiveMessage(peerLink: link.PeerLink, message: wire.Message): void {
        const peer = peerLink.getPeer()!;
        const now = this.context.clock.getNow();
        match(message)
            .with({ type: "heartbeat" }, ({ incarnation, heartbeat }) => this.recordHeartbeat([peer.instanceId, incarnation, heartbeat], now))
            .with({ type: "heartbeats" }, ({ entries }) => entries.forEach(entry => this.recordHeartbeat(entry, now)))
            .with({ type: "summary" }, ({ hash }) => this.digestExchange.receiveSummary(peerLink, hash))
            .with({ type: "registers" }, ({ registers: received }) => received.forEach(register => this.mergeRegister(register, now)))
            .with({ type: "digest" }, ({ entries, isReply }) => this.receiveDigest(peerLink, entries, isReply, now))
            .with({ type: "notice" }, ({ topic, body }) => this.noticeHandlers.get(topic)?.(peer.instanceId, body))
            .with({ type: "request" }, request => void this.requestHandlers.answerRequest(peerLink, request))
            .with({ type: "reply" }, ({ id, body }) => this.pendingRequests.resolveRequest(id, peer.instanceId, ok(body)))
            .with({ type: "refusal" }, ({ id, message: reason }) => this.pendingRequests.resolveRequest(id, peer.instanceId, err(errors.createError("peerUnreachable", reason))))
            .with({ type: "hello" }, { type: "proof" }, () => peerLink.close("received a handshake message after the handshake"))
            .exhaustive();
    }

    private recordHeartbeat([origin, incarnation, heartbeat]: wire.HeartbeatEntry, now: number): void {
        if (this.registerTable.recordHeartbeat(origin, incarnation, heartbeat, now)) {
            this.gossipRelay.addHeartbeat(origin);
        }
    }

    private receiveDigest(peerLink: link.PeerLink, entries: readonly wire.DigestEntry[], isReply: boolean, now: number): void {
        const { missingAtPeer, isLocalBehind, isPeerLagging } = this.registerTable.mergeDigest(entries, now);
        if (missingAtPeer.length > 0) {
            peerLink.sendMessage({ type: "registers", registers: [...missingAtPeer] });
        }
        if ((isLocalBehind || isPeerLagging) && !isReply) {
            peerLink.sendMessage({ type: "digest", entries: [...this.registerTable.getDigest()], isReply: true });
        }
    }

    private mergeRegister(register: wire.Register, now: number): void {
        if (this.registerTable.mergeRegister(register, now)) {
            if (register.topic === memberDirectory.memberTopic) {
                this.memberDirectory.recordChange();
                this.linkManager.scheduleLinkCheck(0);
            }
            this.gossipRelay.addRegister(register);
            this.registerListeners.get(register.topic)?.forEach(listener => listener(register.origin, register.body));
        }
    }
}

/** The service key of the mesh. */
export const meshKey = serviceRegistry.createServiceKey<Mesh>("mesh");
