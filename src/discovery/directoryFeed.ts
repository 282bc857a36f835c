/** Sends the changes of this instance's directory to the peers that follow it, so that few instances watch the store. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as peers from "../peers/index.js";
import type * as store from "../store/index.js";

/** A directory whose last news from the store is older than this is not followed. */
export const maximumAgeMs = 1_400;
/** A relay, or an instance that was asked of late, wants an answer of the store after this time at the latest. Events are collected for up to 300 ms besides. */
const maximumWaitMs = 500;
const askedLifetimeMs = 5_000;
/** Precedes the store's generation in an epoch. Earlier versions take an epoch as a whole, and their own have none. */
const generationSeparator = "@";
/** The topic of a request to follow, whose reply is a snapshot. */
export const followTopic = "directory.follow";
/** The topic of the notices with changes. */
export const updateTopic = "directory.update";
/** The topic of the notice that ends the updates. */
export const unfollowTopic = "directory.unfollow";

const entrySchema = z.strictObject({ key: z.string().max(512), value: z.string().max(1_048_576), revision: z.number().int().min(0) });
const revisionSchema = z.number().int().min(0).optional();
const positionSchema = { epoch: z.string().max(64), sequence: z.number().int().min(0), ageMs: z.number().min(0), revision: revisionSchema };

const entriesSchema = z.array(entrySchema).max(100_000);
/** A request to follow. Earlier versions send less, and ignore a request that says more than they know of. */
const followRequestSchema = z.object({ acceptsDeflated: z.boolean().default(false), acceptsRevision: z.boolean().default(false) });
const snapshotSchema = z.union([z.strictObject({ ...positionSchema, entries: entriesSchema }), z.strictObject({ ...positionSchema, deflatedEntries: peers.deflatedSchema })]);

/** The body of this version's requests to follow. */
export const followRequest: z.infer<typeof followRequestSchema> = { acceptsDeflated: true, acceptsRevision: true };

/** The whole directory of the sender at a position of its feed. */
export interface DirectorySnapshot {
    readonly epoch: string;
    readonly sequence: number;
    /** The time since the store last sent news of the directory, in milliseconds. */
    readonly ageMs: number;
    /** The revision of the store up to which the entries contain all changes; undefined if the sender does not know it. */
    readonly revision?: number;
    readonly entries: readonly store.Entry[];
}

/** The changes of the sender's directory since a position of its feed; without any, it says that there were none. */
export const updateSchema = z.strictObject({ ...positionSchema, after: z.number().int().min(0), changed: z.array(entrySchema).max(100_000), removed: z.array(z.string().max(512)).max(100_000) });

/** The changes of the sender's directory since a position of its feed. */
export type DirectoryUpdate = z.infer<typeof updateSchema>;

/** Returns the snapshot of a peer's reply to a request to follow; undefined if the reply is malformed. */
export function parseSnapshot(reply: unknown): DirectorySnapshot | undefined {
    const { data } = snapshotSchema.safeParse(reply);
    if (data === undefined || "entries" in data) {
        return data;
    }
    const { deflatedEntries, ...position } = data;
    const entries = peers.parseDeflated(deflatedEntries).map(value => entriesSchema.safeParse(value).data).unwrapOr(undefined);
    return entries === undefined ? undefined : { ...position, entries };
}

/** Returns the generation of the store that the entries of an epoch come from; undefined if the epoch does not tell it. */
export function parseGeneration(epoch: string): number | undefined {
    const [, digits] = epoch.split(generationSeparator);
    return digits === undefined || !/^\d{1,15}$/.test(digits) ? undefined : Number(digits);
}

/** Options of a feed. */
export interface CreateDirectoryFeedOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    /** Lists the entries of the directory. */
    readonly listEntries: () => readonly store.Entry[];
    /** Returns the time since the store last sent news of the directory to this instance itself, in milliseconds. */
    readonly getAgeMs: () => number;
    /** Returns the generation of the store that the entries come from; undefined if it is not known. */
    readonly getGeneration?: () => number | undefined;
    /** Returns the revision up to which the entries contain all changes; undefined if it is not known. */
    readonly getRevision?: () => number | undefined;
}

/** Collects the changes that come with an answer of the store or by themselves, and sends them together with the age of that answer. */
export class DirectoryFeed {
    /** Distinguishes this process's feed from that of an earlier one. */
    private readonly feedId: string;
    private sequence = 0;
    /** The peers that follow, and whether they accept the revision of an update. */
    private readonly followers = new Map<string, { readonly acceptsRevision: boolean; }>();
    private changed = new Map<string, store.Entry>();
    private removed = new Set<string>();
    private isSendScheduled = false;
    private lastAskedAt = -Infinity;
    /** The compressed entries at a position and revision, kept because all instances of a cell ask for them when its other relay is lost. */
    private keptEntries: { readonly epoch: string; readonly sequence: number; readonly revision: number | undefined; readonly deflated: Uint8Array; } | undefined;

    constructor(private readonly options: CreateDirectoryFeedOptions) {
        const { mesh, context: { randomness } } = options;
        this.feedId = randomness.getIdentifier(8);
        mesh.setHandler(followTopic, async (body, peerId) => this.addFollower(body, peerId));
        mesh.setNoticeHandler(unfollowTopic, peerId => void this.followers.delete(peerId));
        mesh.addDisconnectListener(peerId => void this.followers.delete(peerId));
    }

    /** Records changes of the directory; the next update has them. */
    recordChanges(changed: readonly store.Entry[], removedKeys: readonly string[]): void {
        for (const entry of changed) {
            this.removed.delete(entry.key);
            this.changed.set(entry.key, entry);
        }
        for (const key of removedKeys) {
            this.changed.delete(key);
            this.removed.add(key);
        }
    }

    /** Sends an update once the changes that come with the same answer of the store have been applied. */
    scheduleUpdate(): void {
        // Without recent answers of the store the followers leave, and the next one gets the changes with its snapshot.
        if (this.isSendScheduled || this.followers.size === 0 || this.options.getAgeMs() > maximumAgeMs) {
            return;
        }
        this.isSendScheduled = true;
        this.options.context.loop.scheduleOnce(0, () => {
            this.isSendScheduled = false;
            this.sendUpdate();
        });
    }

    /** Returns the longest time without an answer of the store that suits the followers, in milliseconds. */
    getMaximumWaitMs(): number {
        const { mesh, context: { clock } } = this.options;
        const isAwaited = this.followers.size > 0 || mesh.isCellRelay() || clock.getNow() - this.lastAskedAt < askedLifetimeMs;
        return isAwaited ? maximumWaitMs : Infinity;
    }

    /** Returns the number of peers that follow this instance. */
    countFollowers(): number {
        return this.followers.size;
    }

    private addFollower(body: unknown, peerId: string): Result<z.infer<typeof snapshotSchema>, errors.FleetError> {
        const ageMs = this.options.getAgeMs();
        this.lastAskedAt = this.options.context.clock.getNow();
        if (ageMs > maximumAgeMs) {
            return err(errors.createError("peerUnreachable", "this instance does not hear from the store itself"));
        }
        // A snapshot contains the changes that no update has carried yet, so the others must get them before it is numbered.
        this.sendUpdate();
        const { acceptsDeflated = false, acceptsRevision = false } = followRequestSchema.safeParse(body).data ?? {};
        this.followers.set(peerId, { acceptsRevision });
        const position = { epoch: this.getEpoch(), sequence: this.sequence, ageMs, ...(acceptsRevision ? this.getRevision() : {}) };
        return ok(acceptsDeflated ? { ...position, deflatedEntries: this.getDeflatedEntries() } : { ...position, entries: [...this.options.listEntries()] });
    }

    /** Returns the epoch, which changes with the store's generation, so that the followers read all entries again. */
    private getEpoch(): string {
        const generation = this.options.getGeneration?.();
        return generation === undefined ? this.feedId : `${this.feedId}${generationSeparator}${generation}`;
    }

    private getRevision(): { readonly revision?: number; } {
        const revision = this.options.getRevision?.();
        return revision === undefined ? {} : { revision };
    }

    private getDeflatedEntries(): Uint8Array {
        const epoch = this.getEpoch();
        const { revision } = this.getRevision();
        if (this.keptEntries?.sequence !== this.sequence || this.keptEntries.epoch !== epoch || this.keptEntries.revision !== revision) {
            this.keptEntries = { epoch, sequence: this.sequence, revision, deflated: peers.createDeflated(this.options.listEntries()) };
        }
        return this.keptEntries.deflated;
    }

    private sendUpdate(): void {
        const after = this.sequence;
        const changed = [...this.changed.values()];
        const removed = [...this.removed];
        if (changed.length + removed.length > 0) {
            this.sequence += 1;
            this.changed = new Map();
            this.removed = new Set();
        }
        const update: DirectoryUpdate = { epoch: this.getEpoch(), sequence: this.sequence, after, ageMs: this.options.getAgeMs(), changed, removed };
        const followers = [...this.followers];
        const current = followers.filter(([, { acceptsRevision }]) => acceptsRevision).map(([peerId]) => peerId);
        const earlier = followers.filter(([, { acceptsRevision }]) => !acceptsRevision).map(([peerId]) => peerId);
        this.options.mesh.sendNotices(current, updateTopic, { ...update, ...this.getRevision() });
        if (earlier.length > 0) {
            this.options.mesh.sendNotices(earlier, updateTopic, update);
        }
    }
}
