/** Instances with quotas in virtual time: messages with delays, cuts, freezes, kills and lost messages, without network and processes. */

import * as randomness from "../../src/kernel/randomness.js";
import * as topology from "../../src/peers/topology.js";
import type * as knownMembers from "../../src/quotas/knownMembers.js";
import * as quotaLimits from "../../src/quotas/quotaLimits.js";
import * as quotaMessages from "../../src/quotas/quotaMessages.js";
import * as quotaNode from "../../src/quotas/quotaNode.js";
import * as executionLog from "./executionLog.js";
import * as timeline from "./timeline.js";
import * as wire from "../../src/peers/wire.js";

const heartbeatMs = 250;
const suspectAfterMs = 2_000;
const deadAfterMs = 10_000;
const gossipDelayMs = 60;
const domains = ["north", "middle", "south"];

interface VirtualInstance {
    readonly id: string;
    readonly failureDomain: string;
    node: quotaNode.QuotaNode;
    incarnation: number;
    frozenUntil: number;
    isKilled: boolean;
    isDraining: boolean;
    /** When each instance was last heard of. */
    readonly heard: Map<string, number>;
    /** Instances that it knows to drain. */
    readonly drains: Set<string>;
    limits: readonly quotaLimits.QuotaLimit[];
    pausedRelay: string;
    /** Members that the instance expects by the addresses that it knew at its start. */
    expectedCount: number;
    view: topology.Topology;
}

/** Options of a virtual fleet. */
export interface CreateVirtualFleetOptions {
    readonly seed: number;
    readonly count: number;
    /** Whether the instances are linked in cells. */
    readonly hasCells: boolean;
    /** The part of messages that are lost, from 0 to 1. */
    readonly lossRate?: number;
}

/** Drives the nodes of a fleet. */
export class VirtualFleet {
    readonly time = new timeline.Timeline();
    readonly random: randomness.Randomness;
    readonly instances: VirtualInstance[] = [];
    readonly log = new executionLog.ExecutionLog();
    messages = 0;
    bytes = 0;
    /** Bytes between failure domains. */
    domainBytes = 0;
    ownerChanges = 0;
    readonly waits: number[] = [];
    /** Two instances whose group differs can't reach each other. */
    private readonly groups = new Map<string, number>();
    private readonly topologies = new Map<string, topology.Topology>();
    private limits: readonly quotaLimits.QuotaLimit[] = [];

    constructor(private readonly options: CreateVirtualFleetOptions) {
        this.random = randomness.createSeededRandomness(options.seed);
        for (let index = 0; index < options.count; index += 1) {
            this.addInstance(true);
        }
        this.instances.forEach(instance => this.instances.forEach(other => instance.heard.set(other.id, this.time.now)));
        // The first instances have run for longer than addresses count, and know each other.
        this.instances.forEach(instance => instance.expectedCount = 1);
        this.instances.forEach(instance => this.applyView(instance));
    }

    /** Adds an instance, which knows only itself at first. */
    addInstance(isFirst = false): void {
        const index = this.instances.length;
        const instance = {
            id: `i${index}`,
            failureDomain: domains[index % domains.length]!,
            incarnation: 0,
            frozenUntil: 0,
            isKilled: false,
            isDraining: false,
            heard: new Map<string, number>(),
            drains: new Set<string>(),
            limits: this.limits,
            pausedRelay: "",
        } as unknown as VirtualInstance;
        this.instances.push(instance);
        this.startNode(instance, isFirst);
        this.scheduleTick(instance);
        this.scheduleHeartbeat(instance);
    }

    /** Sets limits, on each instance after a delay of its own. */
    setQuotas(quotas: Readonly<Record<string, quotaLimits.Quota>>, maximumDelayMs = 0): void {
        this.limits = Object.entries(quotas).map(([name, quota]) => quotaLimits.createQuotaLimit(name, quota));
        const { limits } = this;
        for (const instance of this.instances) {
            const apply = () => {
                instance.limits = limits;
                instance.node.setLimits(limits);
            };
            if (maximumDelayMs === 0) {
                apply();
                continue;
            }
            this.schedule(instance, this.random.getFraction() * maximumDelayMs, apply);
        }
    }

    /** Sends a request to an instance; the listener learns whether it was executed. */
    sendRequest(index: number, workspace: string, listener: (isExecuted: boolean) => void = () => {}): void {
        const instance = this.instances[index]!;
        if (instance.isKilled) {
            return;
        }
        const limit = instance.limits.find(({ name }) => name === workspace);
        this.schedule(instance, 0, () =>
            limit && instance.node.addRequest(limit, decision => {
                this.waits.push(decision.waitedMs);
                if (decision.kind === "granted") {
                    this.log.addExecution(workspace, this.time.now);
                }
                listener(decision.kind === "granted");
            }));
    }

    /** Freezes an instance: what it would do and receive happens afterwards. */
    setFrozen(index: number, durationMs: number): void {
        this.instances[index]!.frozenUntil = this.time.now + durationMs;
    }

    /** Kills an instance; it restarts after a time, knowing nobody. */
    stopInstance(index: number, restartAfterMs: number): void {
        const instance = this.instances[index]!;
        if (instance.isKilled) {
            return;
        }
        instance.isKilled = true;
        this.time.scheduleOnce(restartAfterMs, () => {
            instance.isKilled = false;
            instance.heard.clear();
            this.startNode(instance);
        });
    }

    /** Cuts the instances with the given indexes off from the others for a time. */
    setCut(indexes: readonly number[], durationMs: number): void {
        const group = this.groups.size + 1 + this.random.getFraction();
        indexes.forEach(index => this.groups.set(this.instances[index % this.instances.length]!.id, group));
        this.time.scheduleOnce(durationMs, () => this.groups.clear());
    }

    /** Returns the index of an instance that owns limits, as an instance sees it. */
    findOwner(index: number): number {
        const { owners } = this.instances[index]!.node.getDump() as { readonly owners: readonly string[]; };
        return this.instances.findIndex(({ id }) => id === owners[index % owners.length]);
    }

    /** Returns the index of the instance that owns the limit of a workspace, as most see it. */
    findOwnerOf(workspace: string): number {
        const { shard } = this.limits.find(({ name }) => name === workspace)!;
        const shares = this.instances.map(({ node }) => (node.getDump() as { readonly shares: readonly number[]; }).shares[shard]!);
        return shares.indexOf(Math.max(...shares));
    }

    private startNode(instance: VirtualInstance, isFirst = false): void {
        instance.incarnation += 1;
        instance.heard.set(instance.id, this.time.now);
        instance.expectedCount = Math.max(this.options.count, this.instances.length);
        instance.node = new quotaNode.QuotaNode({
            selfId: instance.id,
            incarnation: instance.incarnation,
            getNow: () => this.time.now,
            // The first instances have run for some minutes.
            startedAt: this.time.now - (isFirst ? 300_000 : 0),
            loop: { scheduleOnce: (delayMs, task) => this.schedule(instance, delayMs, task) },
            sendAsk: (ask, listener) => this.sendAsk(instance, ask, listener),
            onOwnerChange: () => {
                this.ownerChanges += 1;
            },
            onTokens: () => {},
        });
        instance.node.setLimits(instance.limits);
        this.applyView(instance);
    }

    /** Schedules what one process of an instance does: not at all after it was killed, and later while it is frozen. */
    private schedule(instance: VirtualInstance, delayMs: number, task: () => void): () => void {
        const { incarnation } = instance;
        const run = () => {
            if (instance.frozenUntil > this.time.now) {
                this.time.scheduleOnce(instance.frozenUntil - this.time.now, run);
            }
            else if (instance.incarnation === incarnation && !instance.isKilled) {
                task();
            }
        };
        return this.time.scheduleOnce(delayMs, run);
    }

    private scheduleTick(instance: VirtualInstance): void {
        this.time.scheduleOnce(quotaNode.tickIntervalMs * (0.8 + 0.4 * this.random.getFraction()), () => {
            if (!instance.isKilled && instance.frozenUntil <= this.time.now) {
                this.applyView(instance);
            }
            this.scheduleTick(instance);
        });
    }

    private scheduleHeartbeat(instance: VirtualInstance): void {
        this.time.scheduleOnce(heartbeatMs, () => {
            if (!instance.isKilled && instance.frozenUntil <= this.time.now) {
                const { isDraining } = instance;
                const receive = (other: VirtualInstance) => {
                    other.heard.set(instance.id, this.time.now);
                    other.drains[isDraining ? "add" : "delete"](instance.id);
                };
                this.instances.filter(other => this.isReachable(instance, other)).forEach(other => this.schedule(other, gossipDelayMs, () => receive(other)));
            }
            this.scheduleHeartbeat(instance);
        });
    }

    private isReachable(a: VirtualInstance, b: VirtualInstance): boolean {
        return !a.isKilled && !b.isKilled && this.groups.get(a.id) === this.groups.get(b.id);
    }

    private applyView(instance: VirtualInstance): void {
        const { now } = this.time;
        instance.heard.set(instance.id, now);
        const members = this.instances.filter(({ id }) => now - (instance.heard.get(id) ?? -Infinity) < deadAfterMs).map(other => ({
            instanceId: other.id,
            failureDomain: other.failureDomain,
            state: now - instance.heard.get(other.id)! > suspectAfterMs ? "suspect" as const : instance.drains.has(other.id) ? "draining" as const : "running" as const,
        }));
        instance.view = this.getTopology(members);
        const candidates = members.filter(({ instanceId, state }) => state === "running" && (!this.options.hasCells || instance.view.isRelay(instanceId))).map(({ instanceId }) => instanceId);
        // Instances know the addresses of those that run when they start; the first of a fleet of one knows none.
        const isUnlinked = members.length === 1 && instance.expectedCount > 1;
        instance.node.runTick({ members: members satisfies readonly knownMembers.ListedMember[], candidates, expectedCount: isUnlinked ? 50 : instance.expectedCount });
    }

    private getTopology(members: readonly (knownMembers.ListedMember & { readonly failureDomain: string; })[]): topology.Topology {
        const key = members.map(({ instanceId, state }) => `${instanceId} ${state}`).join();
        const cached = this.topologies.get(key) ?? new topology.Topology({
            members: members.map(member => ({ ...member, isSteady: member.state === "running" })),
            maximumCompleteSize: this.options.hasCells ? 1 : 1_000,
            listedCount: members.length,
            unreachable: new Set(),
        });
        this.topologies.set(key, cached);
        return cached;
    }

    private sendAsk(from: VirtualInstance, ask: quotaMessages.Ask, listener: quotaNode.ReplyListener): void {
        const owner = this.instances.find(({ id }) => id === ask.ownerId)!;
        const relays = this.instances.filter(({ id }) => from.view.isRelay(id) && from.view.getCell(id) === from.view.getCell(from.id) && id !== from.id);
        const isLinked = !this.options.hasCells || from.view.isRelay(from.id) || relays.includes(owner);
        const relay = isLinked ? undefined : relays.find(({ id }) => id !== from.pausedRelay) ?? relays[0];
        const path = relay === undefined ? [owner] : [relay, owner];
        let isAnswered = false;
        const timeout = this.schedule(from, 1_000, () => {
            from.pausedRelay = relay?.id ?? "";
            if (!isAnswered) {
                listener(undefined);
            }
        });
        const answer = (reply: quotaMessages.Reply) => {
            isAnswered = true;
            timeout();
            listener(reply);
        };
        this.relayMessage([from, ...path], wire.encodeFrame({ type: "request", id: 1_000, topic: "quota", body: quotaMessages.encodeAsk(ask) }).length, () => {
            const reply = owner.node.receiveAsk(ask);
            this.relayMessage([owner, ...[...path].reverse().slice(1), from], wire.encodeFrame({ type: "reply", id: 1_000, body: quotaMessages.encodeReply(reply) }).length, () => answer(reply));
        });
    }

    /** Passes a message from the first instance to the last, unless it is lost on the way. */
    private relayMessage([from, to, ...rest]: readonly VirtualInstance[], bytes: number, task: () => void): void {
        if (to === undefined) {
            task();
            return;
        }
        this.messages += 1;
        this.bytes += bytes;
        this.domainBytes += from!.failureDomain === to.failureDomain ? 0 : bytes;
        if (!this.isReachable(from!, to) || this.random.getFraction() < (this.options.lossRate ?? 0)) {
            return;
        }
        this.schedule(to, 1 + 2 * this.random.getFraction(), () => this.relayMessage([to, ...rest], bytes, task));
    }
}
