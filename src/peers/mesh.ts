/** The mesh of links between instances: published registers, requests and liveness. */

import { err, ok, type Result } from "neverthrow";
import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as services from "../kernel/services.js";
import * as linkManager from "./linkManager.js";
import * as digestPeer from "./digestPeer.js";
import type * as link from "./link.js";
import * as memberMetrics from "./memberMetrics.js";
import * as members from "./members.js";
import * as pendingRequests from "./pendingRequests.js";
import * as registers from "./registers.js";
import * as requestHandlers from "./requestHandlers.js";
import * as wire from "./wire.js";

/** Rounds of anti-entropy between two direct heartbeats to every link. */
const roundsPerHeartbeat = 2;

/** The topic of the registers that describe members. */
const memberTopic = "member";

/** Called when another instance's value of a topic has changed. */
export type TopicListener = (origin: string, body: unknown) => void;

/** What other plug-ins use of the mesh. */
export class Mesh {
    private readonly registerTable: registers.RegisterTable;
    private readonly pendingRequests: pendingRequests.PendingRequests;
    private readonly registerListeners = new Map<string, TopicListener[]>();
    private readonly requestHandlers = new requestHandlers.RequestHandlers();
    private readonly noticeHandlers = new Map<string, TopicListener>();
    private readonly disconnectListeners: ((peerId: string) => void)[] = [];
    private readonly linkManager: linkManager.LinkManager;
    private readonly byteCounter: promClient.Counter<"direction" | "domain">;
    private selfDescription: members.MemberDescription;
    private round = 0;

    constructor(private readonly shared: context.Context) {
        const { settings, identity, metrics } = shared;
        this.registerTable = new registers.RegisterTable({ selfId: identity.instanceId, incarnation: identity.incarnation, deadAfterMs: settings.deadAfterMs });
        this.pendingRequests = new pendingRequests.PendingRequests(shared.loop, settings.peerTimeoutMs);
        this.byteCounter = new promClient.Counter({ name: "agatebend_peer_bytes_total", help: "Bytes on links to peers of the own and of other failure domains.", labelNames: ["direction", "domain"], registers: [metrics] });
        this.selfDescription = { failureDomain: identity.failureDomain, callerAddress: "", peerAddress: "", operatorAddress: "", state: "starting", configurationVersion: 0 };
        this.linkManager = new linkManager.LinkManager({
            context: shared,
            countBytes: (direction, bytes, peer) => this.byteCounter.inc({ direction, domain: peer?.failureDomain === identity.failureDomain ? "own" : "other" }, bytes),
            listTargets: () => this.listLinkTargets(),
            events: {
                onOpen: opened => this.handleLinkOpen(opened),
                onMessage: (from, message) => this.receiveMessage(from, message),
                onClose: closed => this.handleLinkClose(closed),
            },
        });
        memberMetrics.createMemberGauge(metrics, () => this.listMembers());
    }

    /** Opens the peer port and begins to gossip. */
    async start(): Promise<void> {
        const peerAddress = await this.linkManager.start();
        this.setMember({ peerAddress });
        this.shared.loop.scheduleRepeatedly(this.shared.settings.gossipIntervalMs, () => this.runGossipRound());
    }

    /** Closes the peer port and every link. */
    stop(): Promise<void> {
        return this.linkManager.stop();
    }

    /**
     * Changes this instance's own description and tells the peers.
     * @param change - The fields that change.
     */
    setMember(change: Partial<members.MemberDescription>): void {
        this.selfDescription = { ...this.selfDescription, ...change };
        this.setRegister(memberTopic, this.selfDescription);
    }

    /** Lists the known members, this instance first. */
    listMembers(): readonly members.Member[] {
        const now = this.shared.clock.getNow();
        return this.registerTable.listOrigins().flatMap(origin => {
            const description = members.parseDescription(this.registerTable.getBody(origin, memberTopic));
            if (description === undefined) {
                return [];
            }
            const silenceMs = this.registerTable.getSilenceMs(origin, now);
            return [members.createMember(origin, this.registerTable.getIncarnation(origin)!, description, silenceMs, this.shared.settings.suspectAfterMs)];
        });
    }

    /**
     * Returns a member.
     * @param instanceId - Its identifier.
     */
    getMember(instanceId: string): members.Member | undefined {
        return this.listMembers().find(known => known.instanceId === instanceId);
    }

    /**
     * Publishes this instance's value of a topic to every peer.
     * @param topic - The topic.
     * @param body - Plain data, a few kilobytes at most.
     */
    setRegister(topic: string, body: unknown): void {
        const register = this.registerTable.setOwnRegister(topic, body);
        this.sendToLinkedPeers({ type: "registers", registers: [register] });
    }

    /**
     * Returns the values of a topic by origin, this instance's own included.
     * @param topic - The topic.
     */
    getRegisters(topic: string): ReadonlyMap<string, unknown> {
        const pairs = this.registerTable.listOrigins().map(origin => [origin, this.registerTable.getBody(origin, topic)] as const);
        return new Map(pairs.filter(([, body]) => body !== undefined));
    }

    /**
     * Returns milliseconds since an instance was last heard, directly or through others.
     * @param instanceId - The instance.
     */
    getSilenceMs(instanceId: string): number {
        return this.registerTable.getSilenceMs(instanceId, this.shared.clock.getNow());
    }

    /**
     * Calls back when another instance's value of a topic changes.
     * @param topic - The topic.
     * @param listener - The callback.
     */
    addListener(topic: string, listener: TopicListener): void {
        this.registerListeners.set(topic, [...this.registerListeners.get(topic) ?? [], listener]);
    }

    /**
     * Calls back when the last link to a peer has closed.
     * @param listener - Called with the peer.
     */
    addDisconnectListener(listener: (peerId: string) => void): void {
        this.disconnectListeners.push(listener);
    }

    /**
     * Adds addresses of peers to join through, found elsewhere than in the settings.
     * @param addresses - Peer addresses; some of them may be gone.
     */
    addSeeds(addresses: readonly string[]): void {
        this.linkManager.addSeeds(addresses);
    }

    /**
     * Answers the peers' requests of a topic.
     * @param topic - The topic.
     * @param handler - The answer's source.
     */
    setHandler(topic: string, handler: requestHandlers.RequestHandler): void {
        this.requestHandlers.setHandler(topic, handler);
    }

    /**
     * Receives the peers' notices of a topic.
     * @param topic - The topic.
     * @param handler - Called with the sender and the body.
     */
    setNoticeHandler(topic: string, handler: TopicListener): void {
        this.noticeHandlers.set(topic, handler);
    }

    /**
     * Sends plain data to linked peers without an answer, so that it may be lost; returns to how many it went.
     * @param peerIds - The peers.
     * @param topic - The topic.
     * @param body - Plain data.
     */
    sendNotices(peerIds: readonly string[], topic: string, body: unknown): number {
        const frame = wire.encodeFrame({ type: "notice", topic, body });
        return peerIds.filter(peerId => this.linkManager.getLink(peerId)?.sendFrame(frame) === true).length;
    }

    /** Lists the peers that a link is open to. */
    listLinkedPeers(): readonly string[] {
        return this.linkManager.listLinkedPeers();
    }

    /**
     * Sends a request to a linked peer and waits for its answer.
     * @param peerId - The peer.
     * @param topic - The topic, which names the handler there.
     * @param body - Plain data.
     */
    async sendRequest(peerId: string, topic: string, body: unknown): Promise<Result<unknown, errors.FleetError>> {
        const open = this.linkManager.getLink(peerId);
        if (open === undefined) {
            return err(errors.createError("peerUnreachable", `no link to ${peerId} is open`));
        }
        return this.pendingRequests.addRequest(peerId, id => open.sendMessage({ type: "request", id, topic, body }));
    }

    /** Returns the mesh's state for the dump. */
    getDump(): unknown {
        return {
            members: this.listMembers().map(known => ({ ...known, isLinked: this.linkManager.getLink(known.instanceId) !== undefined })),
            links: this.linkManager.listLinkedPeers(),
        };
    }

    private listLinkTargets(): readonly linkManager.LinkTarget[] {
        const self = this.shared.identity.instanceId;
        return this.listMembers()
            .filter(known => known.instanceId !== self && known.peerAddress !== "")
            .map(known => ({ instanceId: known.instanceId, address: known.peerAddress }));
    }

    private runGossipRound(): void {
        const now = this.shared.clock.getNow();
        const heartbeat = this.registerTable.incrementHeartbeat(now);
        this.round += 1;
        if (this.round % roundsPerHeartbeat === 0) {
            this.sendToLinkedPeers({ type: "heartbeat", incarnation: this.shared.identity.incarnation, heartbeat });
        }
        const chosen = digestPeer.chooseDigestPeer({
            round: this.round,
            peers: this.linkManager.listLinkedPeers().map(peerId => ({ peerId, isNear: this.linkManager.getLink(peerId)?.getPeer()?.failureDomain === this.shared.identity.failureDomain })),
            randomness: this.shared.randomness,
        });
        if (chosen !== undefined) {
            this.linkManager.getLink(chosen)?.sendMessage({ type: "digest", entries: [...this.registerTable.getDigest()], isReply: false });
        }
        for (const dead of this.registerTable.removeDeadOrigins(now)) {
            this.shared.logger.writeInfo("member-forgotten", `instance ${dead} has been silent for too long and is forgotten`, { member: dead });
        }
    }

    private sendToLinkedPeers(message: wire.Message): void {
        this.linkManager.listLinkedPeers().forEach(peerId => this.linkManager.getLink(peerId)?.sendMessage(message));
    }

    private handleLinkOpen(opened: link.PeerLink): void {
        opened.sendMessage({ type: "digest", entries: [...this.registerTable.getDigest()], isReply: false });
        this.shared.logger.writeInfo("peer-linked", `a link to ${opened.getPeer()?.instanceId} is open`, { peer: opened.getPeer()?.instanceId });
    }

    private handleLinkClose(closed: link.PeerLink): void {
        const peer = closed.getPeer();
        if (peer !== undefined && this.linkManager.getLink(peer.instanceId) === undefined) {
            this.pendingRequests.rejectPeerRequests(peer.instanceId);
            this.disconnectListeners.forEach(listener => listener(peer.instanceId));
        }
    }

    private receiveMessage(from: link.PeerLink, message: wire.Message): void {
        const peer = from.getPeer()!;
        const now = this.shared.clock.getNow();
        match(message)
            .with({ type: "heartbeat" }, ({ incarnation, heartbeat }) => this.registerTable.recordHeartbeat(peer.instanceId, incarnation, heartbeat, now))
            .with({ type: "registers" }, ({ registers: received }) => received.forEach(register => this.mergeRegister(register, now)))
            .with({ type: "digest" }, ({ entries, isReply }) => this.receiveDigest(from, entries, isReply, now))
            .with({ type: "notice" }, ({ topic, body }) => this.noticeHandlers.get(topic)?.(peer.instanceId, body))
            .with({ type: "request" }, request => void this.requestHandlers.answerRequest(from, request))
            .with({ type: "reply" }, ({ id, body }) => this.pendingRequests.resolveRequest(id, peer.instanceId, ok(body)))
            .with({ type: "refusal" }, ({ id, message: reason }) => this.pendingRequests.resolveRequest(id, peer.instanceId, err(errors.createError("peerUnreachable", reason))))
            .with({ type: "hello" }, { type: "proof" }, () => from.close("a handshake message came after the handshake"))
            .exhaustive();
    }

    private receiveDigest(from: link.PeerLink, entries: readonly wire.DigestEntry[], isReply: boolean, now: number): void {
        const { missingAtPeer: missingThere, isLocalBehind: isBehind } = this.registerTable.mergeDigest(entries, now);
        if (missingThere.length > 0) {
            from.sendMessage({ type: "registers", registers: [...missingThere] });
        }
        if (isBehind && !isReply) {
            from.sendMessage({ type: "digest", entries: [...this.registerTable.getDigest()], isReply: true });
        }
    }

    private mergeRegister(register: wire.Register, now: number): void {
        if (this.registerTable.mergeRegister(register, now)) {
            this.registerListeners.get(register.topic)?.forEach(listener => listener(register.origin, register.body));
            if (register.topic === memberTopic) {
                this.linkManager.scheduleLinkCheck(0);
            }
        }
    }
}

/** The key of the mesh service. */
export const meshKey = services.createKey<Mesh>("mesh");
