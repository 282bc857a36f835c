/** Which instance owns the limits of each shard, and to which owner this instance delegates its part. */

import * as randomness from "../kernel/randomness.js";
import * as quotaLimits from "./quotaLimits.js";
import type * as quotaMessages from "./quotaMessages.js";

/** Few owners, so that the messages that keep up the delegations stay few; more than one, so that a loss concerns a part of the workspaces. */
const maximumOwners = 2;
/** Requests in a row without a reply after which an owner is avoided. The first failure may be that of the relay on the way. */
const maximumFailures = 2;

interface Commitment {
    readonly ownerId: string;
    /** When the owner counts the delegation no longer, by this instance's clock. */
    readonly until: number;
    /** The last message that included the shard. */
    readonly sequence: number;
}

interface Contact {
    stamp: quotaMessages.Stamp | undefined;
    stampReceivedAt: number;
    lastAskAt: number;
    failures: number;
}

/** Options of an owner directory. */
export interface CreateOwnerDirectoryOptions {
    readonly selfId: string;
    readonly now: number;
}

/** Chooses owners by rendezvous hashing, and keeps account of the delegations so that no part is delegated twice. */
export class OwnerDirectory {
    private readonly contacts = new Map<string, Contact>();
    private readonly commitments = new Map<number, Commitment>();
    private candidates: readonly string[] = [];
    private owners: readonly string[];
    private readonly delegatesFrom: number;
    private hasPart = true;

    constructor(private readonly options: CreateOwnerDirectoryOptions) {
        this.owners = Array.from({ length: quotaLimits.shardCount }, () => options.selfId);
        // Delegations of an earlier process of this instance may still be counted.
        this.delegatesFrom = options.now + quotaLimits.delegationLifetimeMs;
    }

    /**
     * Sets the instances that may own limits. Returns whether an owner changed.
     * @param candidates - Those that can be reached, and this instance if others can reach it.
     */
    setCandidates(candidates: readonly string[]): boolean {
        this.candidates = candidates;
        const listed = new Set(candidates);
        const committed = new Set([...this.commitments.values()].map(({ ownerId }) => ownerId));
        [...this.contacts.keys()].filter(id => !listed.has(id) && !committed.has(id)).forEach(id => this.contacts.delete(id));
        return this.chooseOwners();
    }

    /** Sets whether this instance has a part of the limits that it may delegate. */
    setHasPart(hasPart: boolean): void {
        this.hasPart = hasPart;
    }

    /** Returns the owner of a shard; this instance itself if no other can be reached. */
    getOwner(shard: number): string {
        return this.owners[shard]!;
    }

    /** Returns whether this instance has delegated its part of a shard to the shard's owner. */
    isDelegated(shard: number, now: number): boolean {
        const commitment = this.commitments.get(shard);
        return commitment !== undefined && commitment.ownerId === this.owners[shard] && commitment.until > now;
    }

    /** Lists the owners, each once. */
    listOwners(): readonly string[] {
        return [...new Set(this.owners)];
    }

    /** Lists the owners that are to be asked, although nothing is wanted of them: to keep or release a delegation, or to learn whether they answer again. */
    listDue(intervalMs: number, now: number): readonly string[] {
        const released = [...this.commitments].filter(([shard, { ownerId, until }]) => until > now && this.owners[shard] !== ownerId).map(([, { ownerId }]) => ownerId);
        const avoided = this.candidates.filter(id => this.isAvoided(id));
        return [...new Set([...this.owners, ...released, ...avoided])].filter(id => id !== this.options.selfId && now - this.getLastAskAt(id) >= intervalMs);
    }

    /**
     * Decides what a message to an owner delegates, and records it.
     * @returns The shards as a bit mask, and the stamp that proves the message to be new.
     */
    createDelegation(ownerId: string, sequence: number, now: number): { readonly shards: number; readonly stamp: quotaMessages.Stamp | undefined; } {
        const contact = this.getContact(ownerId);
        contact.lastAskAt = now;
        const until = ownerId === this.options.selfId ? now + quotaLimits.delegationLifetimeMs : contact.stampReceivedAt + quotaLimits.delegationLifetimeMs;
        if (until <= now || now < this.delegatesFrom || !this.hasPart) {
            return { shards: 0, stamp: until <= now ? undefined : contact.stamp };
        }
        let shards = 0;
        this.owners.forEach((owner, shard) => {
            const commitment = this.commitments.get(shard);
            const isFree = commitment === undefined || commitment.until <= now || commitment.ownerId === ownerId;
            if (owner === ownerId && isFree) {
                shards |= 1 << shard;
                this.commitments.set(shard, { ownerId, sequence, until: commitment?.ownerId === ownerId ? Math.max(commitment.until, until) : until });
            }
        });
        return { shards, stamp: contact.stamp };
    }

    /**
     * Records that an owner has processed a message: shards that it no longer contained are free to be delegated to another.
     * @param stamp - The owner's time; undefined for this instance itself.
     */
    recordReply(ownerId: string, sequence: number, stamp: quotaMessages.Stamp | undefined, now: number): boolean {
        const contact = this.getContact(ownerId);
        const isNewer = stamp !== undefined && (contact.stamp === undefined || stamp.incarnation > contact.stamp.incarnation || (stamp.incarnation === contact.stamp.incarnation && stamp.time >= contact.stamp.time));
        if (isNewer) {
            contact.stamp = stamp;
            contact.stampReceivedAt = now;
        }
        for (const [shard, commitment] of this.commitments) {
            if (commitment.ownerId === ownerId && commitment.sequence < sequence && this.owners[shard] !== ownerId) {
                this.commitments.delete(shard);
            }
        }
        const wasAvoided = contact.failures >= maximumFailures;
        contact.failures = 0;
        return wasAvoided && this.chooseOwners();
    }

    /** Records that an owner did not reply in time. Returns whether an owner changed because of it. */
    recordFailure(ownerId: string): boolean {
        this.getContact(ownerId).failures += 1;
        return this.chooseOwners();
    }

    /** Returns when the last message to an owner was sent. */
    getLastAskAt(ownerId: string): number {
        return this.contacts.get(ownerId)?.lastAskAt ?? -Infinity;
    }

    /** Returns whether an owner is avoided because it does not reply. */
    isAvoided(ownerId: string): boolean {
        return (this.contacts.get(ownerId)?.failures ?? 0) >= maximumFailures;
    }

    private getContact(ownerId: string): Contact {
        const contact = this.contacts.get(ownerId) ?? { stamp: undefined, stampReceivedAt: -Infinity, lastAskAt: -Infinity, failures: 0 };
        this.contacts.set(ownerId, contact);
        return contact;
    }

    private chooseOwners(): boolean {
        const usable = this.candidates.filter(id => id === this.options.selfId || !this.isAvoided(id));
        const ranked = usable.map(id => ({ id, score: computeScore("owner", id) })).sort((a, b) => b.score - a.score).slice(0, maximumOwners).map(({ id }) => id);
        const previous = this.owners;
        this.owners = previous.map((_, shard) => ranked.reduce((best, id) => best === "" || computeScore(String(shard), id) > computeScore(String(shard), best) ? id : best, "") || this.options.selfId);
        return this.owners.some((owner, shard) => owner !== previous[shard]);
    }
}

/** Scores are computed from hashes and asked for often; the cache is cleared when it holds this many. */
const maximumCachedScores = 20_000;
const cachedScores = new Map<string, number>();

function computeScore(key: string, instanceId: string): number {
    const cacheKey = `${key}\0${instanceId}`;
    const cached = cachedScores.get(cacheKey);
    if (cached !== undefined) {
        return cached;
    }
    if (cachedScores.size >= maximumCachedScores) {
        cachedScores.clear();
    }
    const score = randomness.computeRendezvousScore(`quota:${key}`, instanceId);
    cachedScores.set(cacheKey, score);
    return score;
}
