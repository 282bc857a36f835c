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
/** Messages to one owner are at least this far apart, in milliseconds; about as long as a reply takes. */
const minimumIntervalMs = 5;
/** A workspace without requests for this long is forgotten, in milliseconds. */
const idleMs = 10_000;
/** An instance that has run for less does not judge whether others have a part of the limits, since it may not know all members, in milliseconds. */
const judgesAfterMs = 60_000;
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
    /** When the process started, in the same milliseconds. */
    readonly startedAt: number;
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
    /** Members that are expected although they are not known, such as those whose addresses a starting instance knows. */
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
    /** Whether others that know last said that this instance has a part of the limits. */
    private isMember = true;
    private sequence = 0;
    /** Owners for which a message is scheduled. */
    private readonly scheduledOwners = new Set<string>();
    private reportedOwners = "";

    constructor(private readonly options: CreateQuotaNodeOptions) {
        const now = options.getNow();
        this.owner = new quotaOwner.QuotaOwner({ incarnation: options.incarnation, now });
        this.directory = new ownerDirectory.OwnerDirectory({ selfId: options.selfId, now: options.startedAt });
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
        const waitMs = demand.addRequest(now, this.directory.isDelegated(limit.shard, now), resolve);
        if (waitMs !== undefined) {
            this.options.loop.scheduleOnce(waitMs, () => demand.resolveWaiters(this.options.getNow()));
            this.dispatchAsk(limit.shard, now);
            return;
        }
        if (demand.isLow(now) && this.directory.getOwner(limit.shard) !== this.options.selfId) {
            this.dispatchAsk(limit.shard, now);
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
        const { selfId } = this.options;
        const isDraining = view.members.some(({ instanceId, state }) => instanceId === selfId && state === "draining");
        this.directory.setHasPart(this.isMember && !isDraining);
        // Others are told of known members only: addresses may be old ones, or several of one instance.
        this.ownCount = Math.max(1, this.known.countMembers());
        this.owner.setMemberCount(Math.max(this.ownCount, view.expectedCount, this.heard.getHighest(now)), now);
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
        this.recordPeer(ask, now);
        const shards = this.known.hasMember(ask.instanceId) ? ask.shards : 0;
        return { ...this.owner.receiveAsk({ ...ask, shards }, now), memberCount: this.ownCount, isMember: this.checkMembership(ask.instanceId, now) };
    }

    /** Returns the state for the dump: owners, and the part of the limits of each shard that this instance grants. */
    getDump(): object {
        const now = this.options.getNow();
        const shares = Array.from({ length: quotaLimits.shardCount }, (_, shard) => this.owner.getShare(shard, now));
        return { owners: this.directory.listOwners(), memberCount: this.ownCount, shares, workspaces: this.demands.size };
    }

    private applyOwnDelegation(now: number): void {
        const { selfId, incarnation } = this.options;
        this.sequence += 1;
        const { shards } = this.directory.createDelegation(selfId, this.sequence, now);
        this.owner.setOwnDelegation({ instanceId: selfId, incarnation, sequence: this.sequence, shards, until: now + quotaLimits.delegationLifetimeMs }, now);
        this.directory.recordReply(selfId, this.sequence, undefined, now);
    }

    /** Asks the owner of a shard for what is needed, at once or some milliseconds after the last message to it. */
    private dispatchAsk(shard: number, now: number): void {
        const ownerId = this.directory.getOwner(shard);
        const delayMs = ownerId === this.options.selfId ? 0 : this.directory.getLastAskAt(ownerId) + minimumIntervalMs - now;
        if (delayMs <= 0) {
            this.sendNeeded(ownerId);
            return;
        }
        if (!this.scheduledOwners.has(ownerId)) {
            this.scheduledOwners.add(ownerId);
            this.options.loop.scheduleOnce(delayMs, () => {
                this.scheduledOwners.delete(ownerId);
                this.sendNeeded(ownerId);
            });
        }
    }

    /** Sends what is wanted to an owner if anything is needed of it. */
    private sendNeeded(ownerId: string): void {
        const now = this.options.getNow();
        const isRemote = ownerId !== this.options.selfId;
        const isNeeded = [...this.demands.values()].some(demand => this.directory.getOwner(demand.getLimit().shard) === ownerId && demand.computeWanted(now, isRemote).needed > 0);
        if (isNeeded) {
            this.sendAsk(ownerId, this.takeWants(ownerId, now));
        }
    }

    private takeWants(ownerId: string, now: number): readonly quotaMessages.Want[] {
        const wants: quotaMessages.Want[] = [];
        for (const [key, demand] of this.demands) {
            const limit = demand.getLimit();
            if (this.directory.getOwner(limit.shard) !== ownerId || wants.length >= quotaMessages.maximumWants) {
                continue;
            }
            const wanted = demand.computeWanted(now, ownerId !== this.options.selfId);
            const [needed, ahead] = [Math.min(quotaMessages.maximumTokens, wanted.needed), Math.min(quotaMessages.maximumTokens, wanted.ahead)];
            if (needed + ahead > 0) {
                wants.push({ key, needed, ahead, returned: Math.min(quotaMessages.maximumTokens, demand.stock.takeUnused(now)) });
                demand.recordAsk(needed + ahead);
            }
        }
        return wants;
    }

    private sendAsk(ownerId: string, wants: readonly quotaMessages.Want[]): void {
        const { selfId, incarnation, getNow, loop: timers } = this.options;
        const sentAt = getNow();
        if (ownerId === selfId) {
            this.recordAskEnd(wants);
            this.applyReply(wants, wants.flatMap(want => this.owner.takeTokens(want, sentAt) ?? []), sentAt);
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
        this.options.sendAsk({ ownerId, instanceId: selfId, incarnation, sequence, memberCount: this.ownCount, isMember: this.checkMembership(ownerId, sentAt), shards, stamp, wants }, reply => {
            if (reply === undefined) {
                if (isPending) {
                    fail();
                }
                return;
            }
            // A reply that comes after its time still brings a stamp, and tokens if they have not expired.
            finish();
            const now = getNow();
            this.recordPeer(reply, now);
            if (this.directory.recordReply(ownerId, sequence, reply.stamp, now)) {
                this.handleOwnerChange();
            }
            this.applyReply(wants, reply.grants, sentAt);
        });
    }

    private applyReply(wants: readonly quotaMessages.Want[], grants: readonly quotaMessages.WorkspaceGrant[], sentAt: number): void {
        const now = this.options.getNow();
        const byKey = new Map(grants.map(grant => [grant.key, grant]));
        for (const { key, needed, ahead } of wants) {
            const demand = this.demands.get(key);
            if (demand === undefined) {
                continue;
            }
            const { tokens = 0, retryAfterMs = unknownLimitRetryMs, requestsPerSecond = Infinity } = byKey.get(key) ?? {};
            // The owner may know an older, higher limit.
            const usable = Math.floor(Math.min(tokens, needed + ahead) * Math.min(1, demand.getLimit().requestsPerSecond / requestsPerSecond));
            this.options.onTokens(usable, needed + ahead);
            demand.applyGrant(usable, retryAfterMs, sentAt + quotaLimits.tokenLifetimeMs, now);
            this.scheduleNextAsk(demand, now);
        }
    }

    private recordPeer({ memberCount, isMember }: Pick<quotaMessages.Ask, "memberCount" | "isMember">, now: number): void {
        this.heard.addCount(memberCount, now);
        this.isMember = isMember ?? this.isMember;
    }

    private checkMembership(instanceId: string, now: number): boolean | undefined {
        return now - this.options.startedAt < judgesAfterMs ? undefined : this.known.hasMember(instanceId);
    }

    private recordAskEnd(wants: readonly quotaMessages.Want[]): void {
        wants.forEach(({ key, needed, ahead }) => this.demands.get(key)?.recordAskEnd(needed + ahead));
    }

    private scheduleNextAsk(demand: workspaceDemand.WorkspaceDemand | undefined, now: number): void {
        if (demand?.hasWaiters() === true) {
            this.options.loop.scheduleOnce(Math.max(1, demand.getAskAt() - now), () => this.dispatchAsk(demand.getLimit().shard, this.options.getNow()));
        }
    }

    private handleOwnerChange(): void {
        this.demands.forEach(demand => demand.removeForecast());
        this.applyOwnDelegation(this.options.getNow());
        this.directory.listOwners().forEach(ownerId => this.sendNeeded(ownerId));
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
