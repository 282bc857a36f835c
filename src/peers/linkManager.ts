/** Maintains the links to peers: dials and accepts connections, retries failed dials and closes silent or duplicate links. */

import type * as net from "node:net";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import * as settings from "../settings/index.js";
import * as link from "./link.js";
import * as transport from "./transport.js";

/** Interval of the regular check for missing links; events such as a new seed trigger a check earlier. */
const linkCheckIntervalMs = 500;
/** How long a link must be missing before the instance with the greater identifier dials as well; the other one dials at once. This avoids most duplicate links. */
const dialFallbackDelayMs = 1_000;
/** Delay before a failed dial is retried, doubled with each failure up to the maximum. The initial delay is short because a process starts within a few hundred milliseconds. */
const initialRetryDelayMs = 100;
const maximumRetryDelayMs = 4_000;

/** How long a link must be missing before another peer takes the place of its peer. */
const replacementDelayMs = 1_500;
/** How long after the start the number of addresses in the store stands for the size of the fleet; by then the members are known, and addresses of instances that were replaced are not counted. */
const listedCountLifetimeMs = 10_000;
/** How many addresses from the store an instance without links dials at once, if instances are linked in cells; with links, it dials one at a time. */
const discoveredSeedsAtOnce = 3;
const maximumLoggedCharacters = 80;

/** A peer that a link may be opened to. */
export interface LinkTarget {
    readonly instanceId: string;
    readonly address: string;
}

/** The links that an instance is to have. */
export interface LinkPlan {
    readonly kind: "complete" | "cells";
    readonly targets: readonly LinkTarget[];
    /** The addresses of the members that are not suspect. */
    readonly knownAddresses: ReadonlySet<string>;
}

/** Options of a link manager. */
export interface CreateLinkManagerOptions {
    readonly context: context.Context;
    readonly events: link.LinkEvents;
    /**
     * Chooses the peers to link to.
     * @param listedCount - The number of addresses that the store lists.
     * @param unreachable - Identifiers of the peers to which no link could be opened for a while.
     */
    readonly createPlan: (listedCount: number, unreachable: ReadonlySet<string>) => LinkPlan;
    readonly countBytes: link.CreatePeerLinkOptions["countBytes"];
    readonly isCompressionAccepted: link.CreatePeerLinkOptions["isCompressionAccepted"];
}

/** The state of dialing one address; `retryAt` is in monotonic milliseconds. */
interface DialState {
    isInProgress: boolean;
    consecutiveFailures: number;
    retryAt: number;
}

/** Keeps one link open to each chosen peer and to the peer behind each seed address. */
export class LinkManager {
    private readonly links = new Map<string, link.PeerLink>();
    private readonly sockets = new Set<net.Socket>();
    private readonly dialStates = new Map<string, DialState>();
    private readonly missingSince = new Map<string, number>();
    private readonly ownAddresses = new Set<string>();
    private readonly peerIdBySeed = new Map<string, string>();
    private readonly discoveredSeeds = new Set<string>();
    private readonly tlsFiles: transport.TlsFiles | undefined;
    private readonly secret: string;
    private readonly startedAt: number;
    private server?: net.Server;
    private nextLinkCheck?: { readonly at: number; readonly cancel: loop.Cancel; };

    constructor(private readonly options: CreateLinkManagerOptions) {
        this.tlsFiles = transport.readTlsFiles(options.context.settings);
        this.secret = transport.readSharedSecret(options.context.settings);
        this.startedAt = options.context.clock.getNow();
    }

    /** Opens the peer port and starts to check for missing links; returns the address to advertise to peers. */
    async start(): Promise<string> {
        const { settings: currentSettings, loop: timers } = this.options.context;
        const server = transport.createPeerServer(this.tlsFiles, socket => this.addLink(socket, undefined).start());
        this.server = server;
        const { host, port } = settings.parseAddress(currentSettings.peerListen);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        server.on("error", error => this.options.context.logger.writeWarning("peer-port-error", errors.getErrorMessage(error)));
        const address = settings.getAdvertisedAddress(currentSettings.peerAdvertise, currentSettings.peerListen, (server.address() as net.AddressInfo).port);
        this.ownAddresses.add(address);
        this.runLinkCheck();
        timers.scheduleRepeatedly(linkCheckIntervalMs, () => this.runLinkCheck());
        return address;
    }

    /**
     * Adds seed addresses to those of the settings.
     * @param addresses - Peer addresses; an address that does not answer is retried.
     */
    addSeeds(addresses: readonly string[]): void {
        const before = this.discoveredSeeds.size;
        addresses.forEach(address => this.discoveredSeeds.add(address));
        if (this.discoveredSeeds.size > before) {
            this.scheduleLinkCheck(0);
        }
    }

    /**
     * Schedules a check for missing links, unless one is already scheduled for that time or earlier.
     * @param delayMs - Milliseconds until the check.
     */
    scheduleLinkCheck(delayMs: number): void {
        const { clock, loop: timers } = this.options.context;
        const at = clock.getNow() + delayMs;
        if (this.server === undefined || (this.nextLinkCheck !== undefined && this.nextLinkCheck.at <= at)) {
            return;
        }
        this.nextLinkCheck?.cancel();
        this.nextLinkCheck = {
            at,
            cancel: timers.scheduleOnce(delayMs, () => {
                this.nextLinkCheck = undefined;
                this.runLinkCheck();
            }),
        };
    }

    /** Closes the port and every link. */
    async stop(): Promise<void> {
        this.server?.close();
        [...this.links.values()].forEach(peerLink => peerLink.close("this instance is stopping"));
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Returns the link to a peer; undefined if it is missing or not open.
     * @param peerId - The peer's instance identifier.
     */
    getLink(peerId: string): link.PeerLink | undefined {
        const peerLink = this.links.get(peerId);
        return peerLink?.isOpen() === true ? peerLink : undefined;
    }

    /** Returns the number of known seeds that are not the own address. */
    countPeerAddresses(): number {
        return [...new Set([...this.options.context.settings.seeds, ...this.discoveredSeeds])].filter(seed => !this.ownAddresses.has(seed)).length;
    }

    /** Lists the identifiers of the peers with an open link. */
    listLinkedPeers(): readonly string[] {
        return [...this.links].filter(([, peerLink]) => peerLink.isOpen()).map(([peerId]) => peerId);
    }

    /** Lists the peers with an open link, as they identified themselves. */
    listPeers(): readonly link.PeerIdentity[] {
        return [...this.links.values()].filter(peerLink => peerLink.isOpen()).map(peerLink => peerLink.getPeer()!);
    }

    /** Lists the identifiers of the peers with an open link by their failure domain. */
    listLinkedPeersByDomain(): ReadonlyMap<string, readonly string[]> {
        const byDomain = new Map<string, string[]>();
        for (const { instanceId, failureDomain } of this.listPeers()) {
            const peerIds = byDomain.get(failureDomain) ?? [];
            byDomain.set(failureDomain, peerIds);
            peerIds.push(instanceId);
        }
        return byDomain;
    }

    private runLinkCheck(): void {
        const { settings: currentSettings, identity, clock } = this.options.context;
        const now = clock.getNow();
        for (const peerLink of this.links.values()) {
            if (peerLink.getSilenceMs() > currentSettings.suspectAfterMs) {
                peerLink.close("received nothing on this link for longer than suspect-after-ms");
            }
        }
        const plan = this.options.createPlan(now - this.startedAt < listedCountLifetimeMs ? this.discoveredSeeds.size : 0, this.listUnreachable(now));
        for (const target of plan.targets) {
            if (this.getLink(target.instanceId) !== undefined) {
                this.missingSince.delete(target.instanceId);
                continue;
            }
            const since = this.missingSince.get(target.instanceId) ?? now;
            this.missingSince.set(target.instanceId, since);
            if (identity.instanceId < target.instanceId || now - since >= dialFallbackDelayMs) {
                this.openLink(target.address, target.instanceId);
            }
        }
        this.chooseSeeds(plan)
            .filter(seed => !this.ownAddresses.has(seed) && this.getLink(this.peerIdBySeed.get(seed) ?? "") === undefined)
            .forEach(seed => this.openLink(seed, undefined));
    }

    /** Lists the planned peers to which no link could be opened for a while. */
    private listUnreachable(now: number): ReadonlySet<string> {
        return new Set([...this.missingSince].filter(([, since]) => now - since >= replacementDelayMs).map(([instanceId]) => instanceId));
    }

    /**
     * Chooses the seeds to dial. In cells, those of known members are left out, since their news arrives through the relays;
     * the others join parts of the fleet that do not know of each other. An instance without links tries a few at a time.
     */
    private chooseSeeds({ kind, knownAddresses }: LinkPlan): readonly string[] {
        const { settings: { seeds }, randomness: random } = this.options.context;
        return match(kind)
            .with("complete", () => [...new Set([...seeds, ...this.discoveredSeeds])])
            .with("cells", () => {
                const unknown = [...new Set([...seeds, ...this.discoveredSeeds])].filter(seed => !knownAddresses.has(seed));
                const first = Math.floor(random.getFraction() * unknown.length);
                const atOnce = this.listLinkedPeers().length > 0 ? 1 : discoveredSeedsAtOnce;
                return [...new Set([...unknown.filter(seed => seeds.includes(seed)), ...[...unknown.slice(first), ...unknown.slice(0, first)].slice(0, atOnce)])];
            })
            .exhaustive();
    }

    private openLink(address: string, expectedPeer: string | undefined): void {
        const { settings: currentSettings, loop: timers, clock, logger } = this.options.context;
        if (!settings.isConnectableAddress(address)) {
            logger.writeDebug("peer-address-malformed", "not dialing a peer whose announced address is malformed", { peer: expectedPeer, address: address.slice(0, maximumLoggedCharacters) });
            return;
        }
        const dialState = this.dialStates.get(address) ?? { isInProgress: false, consecutiveFailures: 0, retryAt: -Infinity };
        this.dialStates.set(address, dialState);
        if (dialState.isInProgress) {
            return;
        }
        const remainingDelayMs = dialState.retryAt - clock.getNow();
        if (remainingDelayMs > 0) {
            this.scheduleLinkCheck(remainingDelayMs);
            return;
        }
        dialState.isInProgress = true;
        const socket = transport.openPeerSocket(this.tlsFiles, settings.parseAddress(address), () => newLink.start());
        const newLink = this.addLink(socket, expectedPeer === undefined ? address : undefined);
        const cancelTimer = timers.scheduleOnce(currentSettings.peerTimeoutMs, () => newLink.isOpen() ? undefined : newLink.close(`the handshake with ${address} did not complete within ${currentSettings.peerTimeoutMs} ms`));
        socket.once("close", () => {
            cancelTimer();
            dialState.isInProgress = false;
            dialState.consecutiveFailures = newLink.getPeer() === undefined ? dialState.consecutiveFailures + 1 : 0;
            if (dialState.consecutiveFailures > 0) {
                const retryDelayMs = Math.min(maximumRetryDelayMs, initialRetryDelayMs * 2 ** (dialState.consecutiveFailures - 1));
                dialState.retryAt = clock.getNow() + retryDelayMs;
                this.scheduleLinkCheck(retryDelayMs);
            }
        });
    }

    private addLink(socket: net.Socket, seed: string | undefined): link.PeerLink {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        const { context, countBytes, isCompressionAccepted, events } = this.options;
        return new link.PeerLink({
            socket,
            context,
            secret: this.secret,
            countBytes,
            isCompressionAccepted,
            events: {
                onOpen: peerLink => this.handleLinkOpen(peerLink, seed),
                onMessage: events.onMessage,
                onClose: peerLink => {
                    const peerId = peerLink.getPeer()?.instanceId ?? "";
                    if (this.links.get(peerId) === peerLink) {
                        this.links.delete(peerId);
                    }
                    events.onClose(peerLink);
                },
            },
        });
    }

    /** Registers an open link. Of two links to the same peer, the instance with the smaller identifier closes the older one. */
    private handleLinkOpen(peerLink: link.PeerLink, seed: string | undefined): void {
        const peer = peerLink.getPeer()!;
        const { identity } = this.options.context;
        if (peer.instanceId === identity.instanceId) {
            if (seed !== undefined) {
                this.ownAddresses.add(seed);
            }
            peerLink.close("the dialed address is this instance's own");
            return;
        }
        if (seed !== undefined) {
            this.peerIdBySeed.set(seed, peer.instanceId);
        }
        const previousLink = this.getLink(peer.instanceId);
        this.links.set(peer.instanceId, peerLink);
        this.options.events.onOpen(peerLink);
        if (previousLink !== undefined && identity.instanceId < peer.instanceId) {
            previousLink.close("replaced by a newer link to the same peer");
        }
    }
}
