/** A link: one authenticated connection to a peer. */

import * as crypto from "node:crypto";
import type * as net from "node:net";
import { err, ok } from "neverthrow";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as frameReader from "./frameReader.js";
import * as linkCompression from "./linkCompression.js";
import * as wire from "./wire.js";

/** A link drops messages while it buffers more unsent bytes than this multiple of the setting `frameBytes`. */
const maximumBufferedFrames = 2;
/** The label of received frames that are no message. */
const invalidLabel = "invalid";

/** The peer at the other end of a link. */
export interface PeerIdentity {
    readonly instanceId: string;
    readonly incarnation: number;
    readonly failureDomain: string;
}

/** Callbacks of a link. */
export interface LinkEvents {
    /** Called once the peer has proved that it knows the shared secret. */
    readonly onOpen: (link: PeerLink) => void;
    readonly onMessage: (link: PeerLink, message: wire.Message) => void;
    readonly onClose: (link: PeerLink) => void;
}

/** Options of a link. */
export interface CreatePeerLinkOptions {
    readonly socket: net.Socket;
    readonly context: context.Context;
    /** The shared secret of the fleet; empty if none is set. */
    readonly secret: string;
    readonly events: LinkEvents;
    /** Returns whether the peer accepts compressed messages. */
    readonly isCompressionAccepted: (peer: PeerIdentity) => boolean;
    /** Called with the size of each frame and the label of its message. */
    readonly countBytes: (direction: "sent" | "received", bytes: number, peer: PeerIdentity | undefined, label: string) => void;
}

/** A link is open after both the hello and the proof of the peer have been received. */
type LinkState =
    | { readonly kind: "awaitingHello"; }
    | { readonly kind: "awaitingProof"; readonly peer: PeerIdentity; }
    | { readonly kind: "open"; readonly peer: PeerIdentity; }
    | { readonly kind: "closed"; readonly peer?: PeerIdentity; };

/** Sends and receives messages on one connection. An invalid frame closes only this link. */
export class PeerLink {
    private readonly reader: frameReader.FrameReader;
    private readonly nonce: string;
    private state: LinkState = { kind: "awaitingHello" };
    /** Set while the link is open, if the peer is in another failure domain. */
    private compression?: linkCompression.LinkCompression;
    private lastReceivedAt: number;

    constructor(private readonly options: CreatePeerLinkOptions) {
        const { socket, context } = options;
        this.reader = new frameReader.FrameReader(context.settings.frameBytes);
        this.nonce = context.randomness.getIdentifier(16);
        this.lastReceivedAt = context.clock.getNow();
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.receiveChunk(chunk));
        socket.on("error", error => this.close(errors.getErrorMessage(error)));
        socket.on("close", () => this.close("the connection was closed"));
    }

    /** Starts the handshake by sending the hello message. */
    start(): void {
        const { settings, identity } = this.options.context;
        this.writeMessage({
            type: "hello",
            version: wire.protocolVersion,
            fleet: settings.fleet,
            instanceId: identity.instanceId,
            incarnation: identity.incarnation,
            failureDomain: identity.failureDomain,
            nonce: this.nonce,
        });
    }

    /** Returns the peer; undefined until its hello message has been received. */
    getPeer(): PeerIdentity | undefined {
        return this.state.kind === "awaitingHello" ? undefined : this.state.peer;
    }

    /** Returns whether the handshake is complete and the link is not closed. */
    isOpen(): boolean {
        return this.state.kind === "open";
    }

    /** Returns milliseconds since any bytes were received on this link. */
    getSilenceMs(): number {
        return this.options.context.clock.getNow() - this.lastReceivedAt;
    }

    /**
     * Sends a message. Returns false if the link is not open or its send buffer is full; the message is dropped then.
     * @param message - The message.
     */
    sendMessage(message: wire.Message): boolean {
        return this.sendFrame(wire.encodeFrame(message), wire.createLabel(message));
    }

    /**
     * Sends an encoded message; otherwise like `sendMessage`. A frame that goes to several peers needs encoding only once.
     * @param frame - The encoded message.
     * @param label - The label of the message in metrics.
     */
    sendFrame(frame: Buffer, label: string): boolean {
        const limit = this.options.context.settings.frameBytes * maximumBufferedFrames;
        if (!this.isOpen() || this.options.socket.writableLength > limit) {
            return false;
        }
        this.writeFrame(this.compression === undefined ? frame : this.createCompressedFrame(frame, this.compression), label);
        return true;
    }

    /**
     * Closes the link and destroys the socket; does nothing if the link is closed already.
     * @param reason - The cause, for the log.
     */
    close(reason: string): void {
        if (this.state.kind === "closed") {
            return;
        }
        const peer = this.getPeer();
        this.state = { kind: "closed", peer };
        this.options.socket.destroy();
        this.options.context.logger.writeDebug("peer-link-closed", "closed the link to a peer", { peer: peer?.instanceId, reason });
        this.options.events.onClose(this);
    }

    private writeMessage(message: wire.Message): void {
        this.writeFrame(wire.encodeFrame(message), wire.createLabel(message));
    }

    private writeFrame(frame: Buffer, label: string): void {
        this.options.countBytes("sent", frame.length, this.getPeer(), label);
        this.options.socket.write(frame);
    }

    private createCompressedFrame(frame: Buffer, compression: linkCompression.LinkCompression): Buffer {
        const peer = this.getPeer();
        return wire.createFrame(compression.encodeBody(frame.subarray(wire.lengthPrefixBytes), peer !== undefined && this.options.isCompressionAccepted(peer)));
    }

    private receiveChunk(chunk: Buffer): void {
        this.lastReceivedAt = this.options.context.clock.getNow();
        this.reader.readFrames(chunk)
            .andThen(bodies => {
                for (const body of bodies) {
                    const decoded = (this.compression?.decodeBody(body) ?? ok(body)).andThen(decompressed => wire.decodeMessage(decompressed));
                    const label = decoded.isOk() ? wire.createLabel(decoded.value) : invalidLabel;
                    this.options.countBytes("received", wire.lengthPrefixBytes + body.length, this.getPeer(), label);
                    if (decoded.isErr()) {
                        return err(decoded.error);
                    }
                    this.handleMessage(decoded.value);
                }
                return this.reader.readFrames(Buffer.alloc(0));
            })
            .mapErr(error => this.rejectPeer(error.message));
    }

    /** Receives a message. An exception in its receiver ends neither the link nor the messages that follow. */
    private handleMessage(message: wire.Message): void {
        try {
            this.receiveMessage(message);
        }
        catch (thrown) {
            this.options.context.logger.writeError("peer-message-failed", `an exception while handling a message of type ${message.type} from a peer`, { peer: this.getPeer()?.instanceId, error: errors.getErrorMessage(thrown) });
        }
    }

    private receiveMessage(message: wire.Message): void {
        match(this.state)
            .with({ kind: "awaitingHello" }, () => this.receiveHello(message))
            .with({ kind: "awaitingProof" }, ({ peer }) => this.receiveProof(message, peer))
            .with({ kind: "open" }, () => this.options.events.onMessage(this, message))
            .with({ kind: "closed" }, () => {})
            .exhaustive();
    }

    private receiveHello(message: wire.Message): void {
        const { settings, identity } = this.options.context;
        if (message.type !== "hello") {
            return this.rejectPeer(`the first message is ${message.type}, not hello`);
        }
        if (message.version !== wire.protocolVersion) {
            return this.rejectPeer(`the peer speaks version ${message.version} of the protocol; this instance speaks version ${wire.protocolVersion}`);
        }
        if (message.fleet !== settings.fleet) {
            return this.rejectPeer(`the peer belongs to the fleet ${message.fleet}; this instance belongs to the fleet ${settings.fleet}`);
        }
        const { instanceId, incarnation, failureDomain } = message;
        this.state = { kind: "awaitingProof", peer: { instanceId, incarnation, failureDomain } };
        this.writeMessage({ type: "proof", mac: this.computeProof(message.nonce, identity.instanceId) });
    }

    private receiveProof(message: wire.Message, peer: PeerIdentity): void {
        if (message.type !== "proof") {
            return this.rejectPeer(`the second message is ${message.type}, not proof`);
        }
        const expected = Buffer.from(this.computeProof(this.nonce, peer.instanceId));
        const received = Buffer.from(message.mac);
        if (expected.length !== received.length || !crypto.timingSafeEqual(expected, received)) {
            return this.rejectPeer("the peer does not know the shared secret");
        }
        this.state = { kind: "open", peer };
        this.compression = peer.failureDomain === this.options.context.identity.failureDomain ? undefined : new linkCompression.LinkCompression();
        this.options.events.onOpen(this);
    }

    /** Computes the HMAC that proves knowledge of the shared secret, over the verifier's nonce and the prover's instance identifier. */
    private computeProof(nonce: string, proverId: string): string {
        return crypto.createHmac("sha256", this.options.secret).update(`${nonce}:${proverId}`).digest("hex");
    }

    private rejectPeer(reason: string): void {
        const { remoteAddress, remotePort } = this.options.socket;
        this.options.context.logger.writeWarning("peer-rejected", `rejected a peer: ${reason}`, { remote: `${remoteAddress}:${remotePort}`, peer: this.getPeer()?.instanceId });
        this.close(reason);
    }
}
