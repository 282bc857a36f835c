/**
 * The delegations that an owner holds. Each instance is entitled to an equal part of every limit and delegates it, for each
 * shard, to one owner at a time; an owner may grant what the delegations that it holds add up to. Two owners of one shard
 * therefore never grant more than the limit together, whatever either of them knows of the other.
 */

import * as quotaLimits from "./quotaLimits.js";

interface Delegation {
    readonly incarnation: number;
    readonly sequence: number;
    /** The shards, one bit each. */
    readonly shards: number;
    /** When the delegation ends, in monotonic milliseconds of the owner. */
    readonly until: number;
}

interface ShardCredit {
    /** Milliseconds in which the limit accrued at its full rate; a part of the delegations counts as a part of the time. */
    creditMs: number;
    updatedAt: number;
}

/** A change of the delegations of one instance. */
export interface DelegationChange extends Delegation {
    readonly instanceId: string;
}

/** Counts delegations by shard and integrates their share of the fleet over time. */
export class DelegationTable {
    private readonly delegations = new Map<string, Delegation>();
    private readonly credits: readonly ShardCredit[];
    private memberCount = 1;

    constructor(now: number) {
        this.credits = Array.from({ length: quotaLimits.shardCount }, () => ({ creditMs: 0, updatedAt: now }));
    }

    /**
     * Sets the number of instances among which the limits are divided.
     * @param count - All members that may be running, those out of reach included.
     */
    setMemberCount(count: number, now: number): void {
        if (count !== this.memberCount) {
            this.applyElapsedTime(now);
            this.memberCount = Math.max(1, count);
        }
    }

    /** Returns the number of instances among which the limits are divided. */
    getMemberCount(): number {
        let delegatingCount = 0;
        for (const { shards } of this.delegations.values()) {
            delegatingCount += shards === 0 ? 0 : 1;
        }
        return Math.max(this.memberCount, delegatingCount);
    }

    /** Applies a change unless a later one of the same instance was applied. Returns whether it was applied. */
    applyChange({ instanceId, ...next }: DelegationChange, now: number): boolean {
        const previous = this.delegations.get(instanceId);
        if (previous !== undefined && (next.incarnation < previous.incarnation || (next.incarnation === previous.incarnation && next.sequence <= previous.sequence))) {
            return false;
        }
        this.applyElapsedTime(now);
        // A message that proves no newer end shortens the set of shards, and leaves the end as it is.
        const until = previous?.incarnation === next.incarnation ? Math.max(previous.until, next.until) : next.until;
        this.delegations.set(instanceId, { ...next, until });
        return true;
    }

    /** Forgets delegations that have ended. Their sequence numbers matter no longer, since a late message proves no later end. */
    removeExpired(now: number): void {
        this.applyElapsedTime(now);
        [...this.delegations].filter(([, { until }]) => until + quotaLimits.delegationLifetimeMs < now).forEach(([id]) => this.delegations.delete(id));
    }

    /** Returns the part of the limits of a shard that is delegated to this owner, from 0 to 1. */
    getShare(shard: number, now: number): number {
        const bit = 1 << shard;
        let count = 0;
        for (const { shards, until } of this.delegations.values()) {
            count += (shards & bit) !== 0 && until > now ? 1 : 0;
        }
        return Math.min(1, count / this.getMemberCount());
    }

    /** Returns for how long limits of a shard accrued at their full rate, in milliseconds since the start. */
    getCreditMs(shard: number, now: number): number {
        const credit = this.credits[shard]!;
        const elapsedMs = now - credit.updatedAt;
        if (elapsedMs > 0) {
            const bit = 1 << shard;
            let delegatedMs = 0;
            for (const { shards, until } of this.delegations.values()) {
                delegatedMs += (shards & bit) === 0 ? 0 : Math.max(0, Math.min(until, now) - credit.updatedAt);
            }
            credit.creditMs += Math.min(elapsedMs, delegatedMs / this.getMemberCount());
            credit.updatedAt = now;
        }
        return credit.creditMs;
    }

    private applyElapsedTime(now: number): void {
        this.credits.forEach((_, shard) => this.getCreditMs(shard, now));
    }
}
