/** Grants tokens of the workspaces that other instances take this one for the owner of. Needs no network, timers or logs. */

import * as delegationTable from "./delegationTable.js";
import * as quotaAccount from "./quotaAccount.js";
import * as quotaLimits from "./quotaLimits.js";
import type * as quotaMessages from "./quotaMessages.js";

/** Options of an owner. */
export interface CreateQuotaOwnerOptions {
    readonly incarnation: number;
    readonly now: number;
}

interface LimitedAccount {
    readonly limit: quotaLimits.QuotaLimit;
    readonly account: quotaAccount.QuotaAccount;
}

/** Holds the delegations and the accounts of an instance. */
export class QuotaOwner {
    private readonly delegations: delegationTable.DelegationTable;
    private accounts = new Map<number, LimitedAccount>();
    private accountsByShard: readonly (readonly LimitedAccount[])[] = [];
    /** The share of each shard at the last tick. */
    private shares: readonly number[] = [];

    constructor(private readonly options: CreateQuotaOwnerOptions) {
        this.delegations = new delegationTable.DelegationTable(options.now);
    }

    /** Applies the limits of a configuration, the lower ones at once. */
    setLimits(limits: readonly quotaLimits.QuotaLimit[], now: number): void {
        this.accounts = new Map(limits.map(limit => {
            const current = this.computeShare(limit.shard, now);
            const known = this.accounts.get(limit.key);
            known?.account.setLimit(limit, current);
            return [limit.key, { limit, account: known?.account ?? new quotaAccount.QuotaAccount(limit, current) }];
        }));
        const byShard = Array.from({ length: quotaLimits.shardCount }, (): LimitedAccount[] => []);
        this.accounts.forEach(limited => byShard[limited.limit.shard]!.push(limited));
        this.accountsByShard = byShard;
    }

    /** Sets the number of instances among which the limits are divided. */
    setMemberCount(count: number, now: number): void {
        this.delegations.setMemberCount(count, now);
    }

    /**
     * Forgets delegations that have ended, and removes the tokens that they were worth. Other changes are applied to an
     * account when it is used, since there may be very many accounts.
     */
    runTick(now: number): void {
        this.delegations.removeExpired(now);
        this.accountsByShard.forEach((accounts, shard) => {
            const current = this.computeShare(shard, now);
            if (current.share < (this.shares[shard] ?? 0)) {
                accounts.forEach(({ account }) => account.applyShare(current));
            }
        });
        this.shares = this.accountsByShard.map((_, shard) => this.delegations.getShare(shard, now));
    }

    /**
     * Sets the shards that this instance delegates to itself.
     * @param change - Their end may be later than now by the lifetime of a delegation.
     */
    setOwnDelegation(change: delegationTable.DelegationChange, now: number): void {
        this.delegations.applyChange(change, now);
    }

    /** Answers a request for tokens with the time and the grants. */
    receiveAsk(ask: Pick<quotaMessages.Ask, "instanceId" | "incarnation" | "sequence" | "shards" | "stamp" | "wants">, now: number): Pick<quotaMessages.Reply, "stamp" | "grants"> {
        const { stamp } = ask;
        // Without a stamp of this process that it has given itself, the message may have waited for any time.
        const isStampValid = stamp !== undefined && stamp.incarnation === this.options.incarnation && stamp.time <= now;
        this.delegations.applyChange({ instanceId: ask.instanceId, incarnation: ask.incarnation, sequence: ask.sequence, shards: ask.shards, until: isStampValid ? stamp.time + quotaLimits.delegationLifetimeMs : -Infinity }, now);
        const grants = ask.wants.flatMap(want => this.takeTokens(want, now) ?? []);
        // Whole milliseconds take half of the bytes, and an earlier stamp ends delegations earlier.
        return { stamp: { incarnation: this.options.incarnation, time: Math.floor(now) }, grants };
    }

    /** Takes tokens of one workspace; undefined if it has no limit here. */
    takeTokens(want: quotaMessages.Want, now: number): quotaMessages.WorkspaceGrant | undefined {
        const known = this.accounts.get(want.key);
        if (known === undefined) {
            return undefined;
        }
        const { limit, account } = known;
        return { key: want.key, requestsPerSecond: limit.requestsPerSecond, ...account.takeTokens(want, this.computeShare(limit.shard, now)) };
    }

    /** Returns the part of the limits of a shard that is delegated to this owner, from 0 to 1. */
    getShare(shard: number, now: number): number {
        return this.delegations.getShare(shard, now);
    }

    private computeShare(shard: number, now: number): quotaAccount.AccountShare {
        return { now, share: this.delegations.getShare(shard, now), creditMs: this.delegations.getCreditMs(shard, now) };
    }
}
