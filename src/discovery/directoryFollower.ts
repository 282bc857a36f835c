/**
 * Follows the directory of a peer. In a fleet of cells, every instance but the relays does so instead of watching the store;
 * anywhere, an instance that the store turns away does so until it answers again. A peer whose news is old is left within a
 * second: the standby relay is asked first, then the store itself.
 */

import type * as context from "../kernel/context.js";
import type * as loop from "../kernel/loop.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";
import * as directoryFeed from "./directoryFeed.js";

const checkIntervalMs = 100;
/** Pause after every candidate has refused, as in an outage of the store. */
const refusalPauseMs = 500;
/** Age of the news at which another peer is asked. Updates are at most 800 ms apart. */
const replacementAgeMs = 1_000;
/**
 * How long after entries were left out the directory is read again. By then a peer has removed what it had kept as missing. It
 * does not report an entry that was written again unchanged meanwhile.
 */
const rereadDelayMs = 2_500;
/** How long this instance watches the store itself once it has begun to; beginning costs a read of the whole directory. */
const minimumOwnWatchMs = 5_000;

/** Options of a follower. */
export interface CreateDirectoryFollowerOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    /** Returns whether the store answers this instance itself as it should; false while it is not asked. */
    readonly isOwnWatchProgressing: () => boolean;
    /** Uses all entries of a peer; returns whether some were left out because the store has reported their removal. */
    readonly setEntries: (entries: store.PeerEntries) => boolean;
    /** Applies a peer's changes; returns whether entries were left out as by `setEntries`. */
    readonly applyChanges: (changes: store.PeerChanges) => boolean;
    /** Stops or resumes this instance's own watch of the store. */
    readonly setOwnWatch: (isNeeded: boolean) => void;
}

interface Source {
    readonly peerId: string;
    readonly epoch: string;
    readonly sequence: number;
}

/** Keeps the directory as recent as that of one peer. */
export class DirectoryFollower {
    private source: Source | undefined;
    /** The peer that was asked for its directory and has not replied yet. */
    private askedPeer: string | undefined;
    private isOwnWatchNeeded = true;
    private ownWatchSince = -Infinity;
    private nextCandidate = 0;
    /** How many candidates in a row have refused or not answered. */
    private refusals = 0;
    private askAfter = -Infinity;
    /** When the store sent the followed peers its last news, in monotonic milliseconds of this instance. */
    private freshAt = -Infinity;
    /** When the directory of a peer is read again, because entries were left out; infinite if none were. */
    private rereadAt = Infinity;
    private stopChecks: loop.Cancel = () => {};

    constructor(private readonly options: CreateDirectoryFollowerOptions) {
        options.mesh.setNoticeHandler(directoryFeed.updateTopic, (peerId, body) => this.receiveUpdate(peerId, body));
        options.mesh.addDisconnectListener(peerId => this.handlePeerLoss(peerId));
    }

    /** Starts the regular checks. */
    start(): void {
        this.stopChecks = this.options.context.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /** Stops the checks. */
    stop(): void {
        this.stopChecks();
    }

    /** Returns the peer that is followed, and how old its news is, for the operators' dump. */
    getDump(): unknown {
        return { following: this.source?.peerId, ageMs: this.source === undefined ? undefined : Math.round(this.getAgeMs()), watchesStore: this.isOwnWatchNeeded };
    }

    private runCheck(): void {
        const { mesh, context: { clock } } = this.options;
        const isSteadyFollower = mesh.hasCells() && !mesh.isCellRelay();
        if (!isSteadyFollower && this.options.isOwnWatchProgressing()) {
            this.stopFollowing("this instance hears from the store itself");
        }
        else if (this.source === undefined || this.getAgeMs() > replacementAgeMs || clock.getNow() >= this.rereadAt) {
            this.readNextSnapshot(mesh.listRelayPeers());
        }
        this.setOwnWatch(!isSteadyFollower || this.getAgeMs() > directoryFeed.maximumAgeMs);
    }

    /** Returns the age of the newest news from a followed peer; infinite if there was none. */
    private getAgeMs(): number {
        return this.options.context.clock.getNow() - this.freshAt;
    }

    private setOwnWatch(isNeeded: boolean): void {
        const { context: { logger, clock }, setOwnWatch } = this.options;
        const isTooEarly = !isNeeded && clock.getNow() - this.ownWatchSince < minimumOwnWatchMs;
        if (isNeeded === this.isOwnWatchNeeded || isTooEarly) {
            return;
        }
        this.isOwnWatchNeeded = isNeeded;
        this.ownWatchSince = clock.getNow();
        const message = isNeeded ? "watching the store itself: no peer has recent news of it" : `following the directory of ${this.source?.peerId} instead of the store`;
        logger.writeInfo("directory-source-changed", message, { following: isNeeded ? undefined : this.source?.peerId, ageMs: Number.isFinite(this.getAgeMs()) ? Math.round(this.getAgeMs()) : undefined });
        setOwnWatch(isNeeded);
    }

    private readNextSnapshot(candidates: readonly string[]): void {
        const candidate = candidates[this.nextCandidate % Math.max(1, candidates.length)];
        const now = this.options.context.clock.getNow();
        if (this.askedPeer !== undefined || candidate === undefined || now < this.askAfter) {
            return;
        }
        if (this.refusals >= candidates.length) {
            this.refusals = 0;
            this.askAfter = now + refusalPauseMs;
            return;
        }
        this.nextCandidate += 1;
        this.askedPeer = candidate;
        // The reply may be lost, or too old to be used.
        this.scheduleReread(this.rereadAt !== Infinity);
        void this.readSnapshot(candidate).finally(() => {
            this.askedPeer = undefined;
        });
    }

    private async readSnapshot(peerId: string): Promise<void> {
        const { mesh, context: { clock, logger }, setEntries } = this.options;
        const sentAt = clock.getNow();
        const reply = await mesh.sendRequest(peerId, directoryFeed.followTopic, directoryFeed.followRequest);
        const snapshot = reply.isOk() ? directoryFeed.parseSnapshot(reply.value) : undefined;
        if (snapshot === undefined) {
            this.refusals += 1;
            logger.writeDebug("directory-follow-refused", `${peerId} cannot be followed`, { peer: peerId, reason: reply.isErr() ? reply.error.message : "the reply is malformed" });
            return;
        }
        const { epoch, sequence, ageMs, revision, entries } = snapshot;
        const freshAt = sentAt - ageMs;
        if (freshAt < this.freshAt) {
            mesh.sendNotices([peerId], directoryFeed.unfollowTopic, {});
            return;
        }
        this.freshAt = freshAt;
        this.refusals = 0;
        this.setSource({ peerId, epoch, sequence }, `its news is ${Math.round(ageMs)} ms old`);
        this.scheduleReread(setEntries({ entries, generation: directoryFeed.parseGeneration(epoch), revision }));
    }

    private scheduleReread(isNeeded: boolean): void {
        this.rereadAt = isNeeded ? this.options.context.clock.getNow() + rereadDelayMs : Infinity;
    }

    private receiveUpdate(peerId: string, body: unknown): void {
        const { context: { clock, logger }, mesh, applyChanges } = this.options;
        const parsed = directoryFeed.updateSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("directory-update-malformed", "ignored a malformed update of the directory from a peer", { peer: peerId, reason: parsed.error.issues[0]?.message });
            return;
        }
        const { epoch, sequence, after, ageMs, revision, changed, removed } = parsed.data;
        if (this.askedPeer === peerId) {
            // It overtook the snapshot, whose sequence then shows whether anything was missed.
            return;
        }
        if (this.source?.peerId !== peerId) {
            // The notice that ended the updates was lost, or crossed this one.
            mesh.sendNotices([peerId], directoryFeed.unfollowTopic, {});
            return;
        }
        if (this.source.epoch !== epoch || this.source.sequence !== after) {
            // An update was lost, so the whole directory is read again.
            this.source = undefined;
            return;
        }
        this.source = { peerId, epoch, sequence };
        this.freshAt = Math.max(this.freshAt, clock.getNow() - ageMs);
        if (changed.length + removed.length > 0 && applyChanges({ changed, removedKeys: removed, generation: directoryFeed.parseGeneration(epoch), revision })) {
            this.scheduleReread(true);
        }
    }

    private handlePeerLoss(peerId: string): void {
        if (this.source?.peerId === peerId) {
            this.source = undefined;
            this.runCheck();
        }
    }

    private setSource(source: Source, reason: string): void {
        const { context: { logger }, mesh } = this.options;
        const previous = this.source?.peerId;
        this.source = source;
        if (previous === source.peerId) {
            return;
        }
        if (previous !== undefined) {
            mesh.sendNotices([previous], directoryFeed.unfollowTopic, {});
        }
        logger.writeInfo("directory-followed", `following the directory of ${source.peerId}: ${reason}`, { peer: source.peerId, previous, reason });
    }

    private stopFollowing(reason: string): void {
        if (this.source === undefined) {
            return;
        }
        const { context: { logger }, mesh } = this.options;
        mesh.sendNotices([this.source.peerId], directoryFeed.unfollowTopic, {});
        logger.writeInfo("directory-unfollowed", `no longer following the directory of ${this.source.peerId}: ${reason}`, { peer: this.source.peerId, reason });
        this.source = undefined;
    }
}
