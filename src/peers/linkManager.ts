/** Opens, accepts and keeps the links to peers. */

import type * as net from "node:net";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as loop from "../kernel/loop.js";
import * as randomness from "../kernel/randomness.js";
import * as settings from "../settings/index.js";
import * as link from "./link.js";
import * as transport from "./transport.js";

/** Milliseconds between two looks at which links are missing, where nothing calls for one sooner. */
const linkCheckIntervalMs = 500;
/** How long the instance with the greater identifier leaves a missing link to the other before it dials too, in milliseconds. */
const dialFallbackDelayMs = 1_000;
/** Wait before an address is dialed again, doubled with each failure up to the maximum, in milliseconds; a process starts within some hundred. */
const initialRetryDelayMs = 100;
const maximumRetryDelayMs = 4_000;

/** A peer to keep a link to. */
export interface LinkTarget {
    readonly instanceId: string;
    readonly address: string;
}

/** Options of a dialer. */
export interface CreateLinkManagerOptions {
    readonly context: context.Context;
    readonly events: link.LinkEvents;
    readonly listTargets: () => readonly LinkTarget[];
    readonly countBytes: link.CreatePeerLinkOptions["countBytes"];
}

interface DialState {
    isUnderway: boolean;
    failures: number;
    retryAt: number;
}

/** Keeps one link to each chosen peer. */
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
    private server?: net.Server;
    private nextLinkCheck?: { readonly at: number; readonly cancel: loop.Cancel; };

    constructor(private readonly options: CreateLinkManagerOptions) {
        this.tlsFiles = transport.readTlsFiles(options.context.settings);
        this.secret = transport.readSharedSecret(options.context.settings);
    }

    /** Opens the peer port; returns the address that peers are told. */
    async start(): Promise<string> {
        const { settings: values, loop: timers } = this.options.context;
        const server = transport.createPeerServer(this.tlsFiles, socket => this.addLink(socket, undefined).start());
        this.server = server;
        const { host, port } = settings.parseAddress(values.peerListen);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, resolve);
        });
        server.on("error", error => this.options.context.logger.writeWarning("peer-port-error", errors.getThrownMessage(error)));
        const address = settings.getAdvertisedAddress(values.peerAdvertise, values.peerListen, (server.address() as net.AddressInfo).port);
        this.ownAddresses.add(address);
        this.runLinkCheck();
        timers.scheduleRepeatedly(linkCheckIntervalMs, () => this.runLinkCheck());
        return address;
    }

    /**
     * Adds addresses to join through beside those of the settings.
     * @param addresses - The addresses.
     */
    addSeeds(addresses: readonly string[]): void {
        const before = this.discoveredSeeds.size;
        addresses.forEach(address => this.discoveredSeeds.add(address));
        if (this.discoveredSeeds.size > before) {
            this.scheduleLinkCheck(0);
        }
    }

    /**
     * Looks at which links are missing before the next regular look.
     * @param delayMs - Milliseconds until then.
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
        [...this.links.values()].forEach(open => open.close("the instance stops"));
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Returns the open link to a peer.
     * @param peerId - The peer.
     */
    getLink(peerId: string): link.PeerLink | undefined {
        const known = this.links.get(peerId);
        return known?.isOpen() === true ? known : undefined;
    }

    /** Lists the peers that a link is open to. */
    listLinkedPeers(): readonly string[] {
        return [...this.links].filter(([, known]) => known.isOpen()).map(([peerId]) => peerId);
    }

    private runLinkCheck(): void {
        const { settings: values, identity, clock } = this.options.context;
        const now = clock.getNow();
        for (const open of this.links.values()) {
            if (open.getSilenceMs() > values.suspectAfterMs) {
                open.close("the peer is silent on this link");
            }
        }
        for (const target of this.chooseTargets()) {
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
        [...new Set([...values.seeds, ...this.discoveredSeeds])]
            .filter(seed => !this.ownAddresses.has(seed) && this.getLink(this.peerIdBySeed.get(seed) ?? "") === undefined)
            .forEach(seed => this.openLink(seed, undefined));
    }

    /** Chooses the peers to link to: all of them, or where there are too many, those with the highest rendezvous scores. */
    private chooseTargets(): readonly LinkTarget[] {
        const { settings: values, identity } = this.options.context;
        const targets = this.options.listTargets();
        if (targets.length <= values.maximumPeerLinks) {
            return targets;
        }
        const scored = targets.map(target => ({ target, score: randomness.computeRendezvousScore(identity.instanceId, target.instanceId) }));
        return scored.sort((a, b) => b.score - a.score).slice(0, values.maximumPeerLinks).map(({ target }) => target);
    }

    private openLink(address: string, expectedPeer: string | undefined): void {
        const { settings: values, loop: timers, clock } = this.options.context;
        const attempt = this.dialStates.get(address) ?? { isUnderway: false, failures: 0, retryAt: -Infinity };
        this.dialStates.set(address, attempt);
        if (attempt.isUnderway) {
            return;
        }
        const earlyMs = attempt.retryAt - clock.getNow();
        if (earlyMs > 0) {
            this.scheduleLinkCheck(earlyMs);
            return;
        }
        attempt.isUnderway = true;
        const socket = transport.openPeerSocket(this.tlsFiles, settings.parseAddress(address), () => dialed.start());
        const dialed = this.addLink(socket, expectedPeer === undefined ? address : undefined);
        const cancelTimer = timers.scheduleOnce(values.peerTimeoutMs, () => dialed.isOpen() ? undefined : dialed.close(`no handshake with ${address} within ${values.peerTimeoutMs} ms`));
        socket.once("close", () => {
            cancelTimer();
            attempt.isUnderway = false;
            attempt.failures = dialed.getPeer() === undefined ? attempt.failures + 1 : 0;
            if (attempt.failures > 0) {
                const retryMs = Math.min(maximumRetryDelayMs, initialRetryDelayMs * 2 ** (attempt.failures - 1));
                attempt.retryAt = clock.getNow() + retryMs;
                this.scheduleLinkCheck(retryMs);
            }
        });
    }

    private addLink(socket: net.Socket, seed: string | undefined): link.PeerLink {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        const { context: shared, countBytes, events } = this.options;
        return new link.PeerLink({
            socket,
            context: shared,
            secret: this.secret,
            countBytes,
            events: {
                onOpen: opened => this.handleLinkOpen(opened, seed),
                onMessage: events.onMessage,
                onClose: closed => {
                    const peerId = closed.getPeer()?.instanceId ?? "";
                    if (this.links.get(peerId) === closed) {
                        this.links.delete(peerId);
                    }
                    events.onClose(closed);
                },
            },
        });
    }

    private handleLinkOpen(opened: link.PeerLink, seed: string | undefined): void {
        const peer = opened.getPeer()!;
        const { identity } = this.options.context;
        if (peer.instanceId === identity.instanceId) {
            if (seed !== undefined) {
                this.ownAddresses.add(seed);
            }
            opened.close("this address is the instance's own");
            return;
        }
        if (seed !== undefined) {
            this.peerIdBySeed.set(seed, peer.instanceId);
        }
        const before = this.getLink(peer.instanceId);
        this.links.set(peer.instanceId, opened);
        this.options.events.onOpen(opened);
        if (before !== undefined && identity.instanceId < peer.instanceId) {
            before.close("a newer link to the same peer is open");
        }
    }
}
