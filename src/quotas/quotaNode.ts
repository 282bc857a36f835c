/** One instance's part in the quotas: takes tokens for its requests, asks owners for more, and owns limits itself. Needs no network; time and timers are given. */

import type * as loop from "../kernel/loop.js";
import * as knownMembers from "./knownMembers.js";
import * as ownerDirectory from "./ownerDirectory.js";
import * as quotaLimits from "./quotaLimits.js";
import * as quotaMessages from "./quotaMessages.js";
import * as quotaOwner from "./quotaOwner.js";
import * as workspaceDemand from "./workspaceDemand.js";

/** How often `runTick` is to be called, in milliseconds. */
export const tickIntervalMs = 100;
/** Each owner is asked at least this often, also for nothing, which keeps up the delegations; two such messages may be lost. */
const renewIntervalMs = 300;
/** A message without a reply for this long counts as lost, in milliseconds. Instances short of processor time reply within it. */
const replyTimeoutMs = 250;
/** How long requests for tokens ahead of need are collected into one message, in milliseconds. */
const collectMs = 10;
/** A workspace without requests for this long is forgotten, in milliseconds. */
const idleMs = 10_000;
/** When an owner that does not know a limit is asked again, in milliseconds: its configuration is older. */
const unknownLimitRetryMs = 100;

/** Receives the reply to a message; undefined if it is certain that there will be none. */
export type ReplyListener = (reply: quotaMessages.Reply | undefined) => void;

/** Options of a node. */
export interface CreateQuotaNodeOptions {
    readonly selfId: string;
    readonly incarnation: number;
    /** Monotonic milliseconds, the time of suspensions included. */
    readonly getNow: () => number;
    readonly loop: Pick<loop.Loop, "scheduleOnce">;
    /** Sends a message to its owner. */
    readonly sendAsk: (ask: quotaMessages.Ask, listener: ReplyListener) => void;
    readonly onOwnerChange: (owners: readonly string[]) => void;
    readonly onTokens: (tokens: number, asked: number) => void;
}

/** What a node knows of the fleet. */
export interface FleetView {
    /** All known members, this instance included. */
    readonly members: readonly knownMembers.ListedMember[];
    /** Instances that may own limits and can be reached, and this instance if others can reach it. */
    readonly candidates: readonly string[];
    /** Members that are expected although they are not known, such as the addresses that the store lists to a starting instance. */
    readonly expectedCount: number;
}

/** Decides which requests of limited workspaces are admitted. */
export class QuotaNode {
    private readonly owner: quotaOwner.QuotaOwner;
    private readonly directory: ownerDirectory.OwnerDirectory;
    private readonly known = new knownMembers.KnownMembers();
    private readonly heard = new knownMembers.HeardCounts();
    private readonly demands = new Map<number, workspaceDemand.WorkspaceDemand>();
    private limits = new Map<number, quotaLimits.QuotaLimit>();
    private ownCount = 1;
    private sequence = 0;
    private isCollecting = false;
    private reportedOwners = "";

    constructor(private readonly options: CreateQuotaNodeOptions) {
        const now = options.getNow();
        this.owner = new quotaOwner.QuotaOwner({ incarnation: options.incarnation, now });
        this.directory = new ownerDirectory.OwnerDirectory({ selfId: options.selfId, now });
    }

    /** Applies the limits of a configuration; lower ones bind at once. */
    setLimits(limits: readonly quotaLimits.QuotaLimit[]): void {
        this.limits = new Map(limits.map(limit => [limit.key, limit]));
        this.owner.setLimits(limits, this.options.getNow());
        for (const [key, demand] of this.demands) {
            const limit = this.limits.get(key);
            if (limit !== undefined) {
                demand.setLimit(limit);
            }
        }
    }

    /** Asks for the admission of a request of a limited workspace. */
    addRequest(limit: quotaLimits.QuotaLimit, resolve: (decision: workspaceDemand.Decision) => void): void {
        const now = this.options.getNow();
        const demand = this.demands.get(limit.key) ?? new workspaceDemand.WorkspaceDemand(limit, now);
        this.demands.set(limit.key, demand);
        if (demand.addRequest(now, resolve)) {
            this.options.loop.scheduleOnce(workspaceDemand.maximumWaitMs, () => demand.resolveWaiters(this.options.getNow()));
            this.sendAsks(this.directory.getOwner(limit.shard));
            return;
        }
        if (!this.isCollecting && demand.isLow(now) && !this.isOwner(limit)) {
            this.isCollecting = true;
            this.options.loop.scheduleOnce(collectMs, () => {
                this.isCollecting = false;
                this.sendAsks();
            });
        }
    }

    /** Returns the credit of a request that was not executed. */
    restoreToken(limit: quotaLimits.QuotaLimit, expiresAt: number): void {
        const now = this.options.getNow();
        const demand = this.demands.get(limit.key);
        demand?.stock.restoreToken(expiresAt, now);
        demand?.resolveWaiters(now);
    }

    /** Applies what is known of the fleet now, and sends what is due. To be called every `tickIntervalMs`. */
    runTick(view: FleetView): void {
        const now = this.options.getNow();
        this.known.setListed(view.members, now);
        this.ownCount = Math.max(1, this.known.countMembers(), view.expectedCount);
        this.owner.setMemberCount(Math.max(this.ownCount, this.heard.getHighest(now)), now);
        this.setCandidates(view.candidates);
        this.applyOwnDelegation(now);
        this.owner.runTick(now);
        [...this.demands].filter(([, demand]) => demand.isIdle(idleMs, now)).forEach(([key]) => this.demands.delete(key));
        this.directory.listDue(renewIntervalMs, now).forEach(ownerId => this.sendAsk(ownerId, this.takeWants(ownerId, now)));
    }

    /** Applies a change of the instances that may own limits. */
    setCandidates(candidates: readonly string[]): void {
        if (this.directory.setCandidates(candidates)) {
            this.handleOwnerChange();
        }
        this.notifyOwners();
    }

    /** Answers another instance's request for tokens. */
    receiveAsk(ask: quotaMessages.Ask): quotaMessages.Reply {
        const now = this.options.getNow();
        this.heard.addCount(ask.memberCount, now);
        return { ...this.owner.receiveAsk(ask, now), memberCount: this.ownCount };
    }

    /** Returns the state for the dump: owners, and the part of the limits of each shard that this instance grants. */
    getDump(): object {
        const now = this.options.getNow();
        const shares = Array.from({ length: quotaLimits.shardCount }, (_, shard) => this.owner.getShare(shard, now));
        return { owners: this.directory.listOwners(), memberCount: this.ownCount, shares, workspaces: this.demands.size };
    }

    private isOwner(limit: quotaLimits.QuotaLimit): boolean {
        return this.directory.getOwner(limit.shard) === this.options.selfId;
    }

    private applyOwnDelegation(now: number): void {
        const { selfId, incarnation } = this.options;
        this.sequence += 1;
        const { shards } = this.directory.createDelegation(selfId, this.sequence, now);
        this.owner.setOwnDelegation({ instanceId: selfId, incarnation, sequence: this.sequence, shards, until: now + quotaLimits.delegationLifetimeMs }, now);
        this.directory.recordReply(selfId, this.sequence, undefined, now);
    }

    /** Sends what is wanted to one owner, or to all of them. */
    private sendAsks(onlyOwnerId?: string): void {
        const now = this.options.getNow();
        for (const ownerId of onlyOwnerId === undefined ? this.directory.listOwners() : [onlyOwnerId]) {
            const wants = this.takeWants(ownerId, now);
            if (wants.length > 0) {
                this.sendAsk(ownerId, wants);
            }
        }
    }

    private takeWants(ownerId: string, now: number): readonly quotaMessages.Want[] {
        const wants: quotaMessages.Want[] = [];
        for (const [key, demand] of this.demands) {
            const limit = demand.getLimit();
            if (this.directory.getOwner(limit.shard) !== ownerId || wants.length >= quotaMessages.maximumWants) {
                continue;
            }
            const tokens = Math.min(quotaMessages.maximumTokens, demand.countWanted(now, ownerId !== this.options.selfId));
            if (tokens > 0) {
                wants.push({ key, tokens, returned: Math.min(quotaMessages.maximumTokens, demand.stock.takeUnused(now)) });
                demand.recordAsk(tokens);
            }
        }
        return wants;
    }

    private sendAsk(ownerId: string, wants: readonly quotaMessages.Want[]): void {
        const { selfId, incarnation, getNow, loop: timers } = this.options;
        const sentAt = getNow();
        if (ownerId === selfId) {
            this.recordAskEnd(wants);
            this.applyReply(wants, wants.flatMap(({ key, tokens, returned }) => this.owner.takeTokens(key, tokens, returned, sentAt) ?? []), sentAt);
            return;
        }
        this.sequence += 1;
        const { sequence } = this;
        const { shards, stamp } = this.directory.createDelegation(ownerId, sequence, sentAt);
        let isPending = true;
        const finish = () => {
            if (isPending) {
                isPending = false;
                cancelTimer();
                this.recordAskEnd(wants);
            }
        };
        const fail = () => {
            finish();
            if (this.directory.recordFailure(ownerId)) {
                this.handleOwnerChange();
            }
            wants.forEach(({ key }) => this.scheduleNextAsk(this.demands.get(key), getNow()));
        };
        const cancelTimer = timers.scheduleOnce(replyTimeoutMs, fail);
        this.options.sendAsk({ ownerId, instanceId: selfId, incarnation, sequence, memberCount: this.ownCount, shards, stamp, wants }, reply => {
            if (reply === undefined) {
                if (isPending) {
                    fail();
                }
                return;
            }
            // A reply that comes after its time still brings a stamp, and tokens if they have not expired.
            finish();
            const now = getNow();
            this.heard.addCount(reply.memberCount, now);
            if (this.directory.recordReply(ownerId, sequence, reply.stamp, now)) {
                this.handleOwnerChange();
            }
            this.applyReply(wants, reply.grants, sentAt);
        });
    }

    private applyReply(wants: readonly quotaMessages.Want[], grants: readonly quotaMessages.WorkspaceGrant[], sentAt: number): void {
        const now = this.options.getNow();
        const byKey = new Map(grants.map(grant => [grant.key, grant]));
        for (const { key, tokens: wanted } of wants) {
            const demand = this.demands.get(key);
            if (demand === undefined) {
                continue;
            }
            const { tokens = 0, retryAfterMs = unknownLimitRetryMs, requestsPerSecond = Infinity } = byKey.get(key) ?? {};
            // The owner may know an older, higher limit.
            const usable = Math.floor(Math.min(tokens, wanted) * Math.min(1, demand.getLimit().requestsPerSecond / requestsPerSecond));
            this.options.onTokens(usable, wanted);
            demand.applyGrant(usable, retryAfterMs, sentAt + quotaLimits.tokenLifetimeMs, now);
            this.scheduleNextAsk(demand, now);
        }
    }

    private recordAskEnd(wants: readonly quotaMessages.Want[]): void {
        wants.forEach(({ key, tokens }) => this.demands.get(key)?.recordAskEnd(tokens));
    }

    private scheduleNextAsk(demand: workspaceDemand.WorkspaceDemand | undefined, now: number): void {
        if (demand?.hasWaiters() === true) {
            this.options.loop.scheduleOnce(Math.max(1, demand.getAskAt() - now), () => this.sendAsks(this.directory.getOwner(demand.getLimit().shard)));
        }
    }

    private handleOwnerChange(): void {
        this.demands.forEach(demand => demand.removeForecast());
        this.applyOwnDelegation(this.options.getNow());
        this.sendAsks();
        this.notifyOwners();
    }

    private notifyOwners(): void {
        const owners = [...this.directory.listOwners()].sort();
        if (owners.join(" ") !== this.reportedOwners) {
            this.reportedOwners = owners.join(" ");
            this.options.onOwnerChange(owners);
        }
    }
}
