/** Shares a service's slots between instances: publishes this instance's demand by gossip and enforces its slot allocation. */

import * as z from "zod";
import type * as configuration from "../configuration/index.js";
import * as cachedParser from "../kernel/cachedParser.js";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";
import * as allocation from "./allocation.js";
import type * as types from "./types.js";

/** Interval between two updates of demand and allocations, in milliseconds. */
const updateIntervalMs = 250;
/** Limit on the slot time that a rank can save up or overdraw, in milliseconds. */
const maximumCreditMs = 500;
/** Demand is published if it changed by more than this fraction of the published value. */
const publishThreshold = 0.2;
const topic = "pressure";

/** Parses a peer's demand: requests by service and rank. */
const parseDemand = cachedParser.createCachedParser(z.record(z.string(), z.array(z.number().min(0)).max(16)));

interface AllocationState {
    allocation: allocation.Allocation;
    /** Allocated but unused slot time by rank, in milliseconds; negative if overdrawn. */
    readonly creditMs: number[];
    updatedAt: number;
    upstreamIds: ReadonlySet<string>;
}

/** Options of `SlotSharing`. */
export interface CreateSlotSharingOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly pool: pool.Pool;
    readonly configuration: configuration.ConfigurationService;
    /** Returns this instance's demand by service and rank. */
    readonly getDemand: () => ReadonlyMap<string, readonly types.RankDemand[]>;
}

const noUpstreamIds: ReadonlySet<string> = new Set();

/** Computes and enforces this instance's slot allocation from the demand of all instances. */
export class SlotSharing implements types.SlotAllocator {
    private readonly allocations = new Map<string, AllocationState>();
    private publishedDemand: Readonly<Record<string, readonly number[]>> = {};

    constructor(private readonly options: CreateSlotSharingOptions) {}

    /** Starts the periodic update. Does nothing unless the setting `slot-sharing` is `credits`. */
    start(): void {
        if (this.options.context.settings.slotSharing !== "credits") {
            return;
        }
        this.options.context.loop.scheduleRepeatedly(updateIntervalMs, () => this.runUpdate());
    }

    /** Returns whether a rank may acquire another slot. A fractional slot is available while the rank has saved slot time. */
    readonly isWithinAllocation = (service: string, rankIndex: number, inFlight: number, now: number): boolean => {
        const state = this.allocations.get(service);
        if (state === undefined) {
            return true;
        }
        const allocatedSlots = state.allocation.byRank[rankIndex] ?? 0;
        const elapsedMs = Math.max(0, now - state.updatedAt);
        const currentCreditMs = Math.min(maximumCreditMs, (state.creditMs[rankIndex] ?? 0) + elapsedMs * (allocatedSlots - inFlight));
        return inFlight < Math.floor(allocatedSlots) || (inFlight < Math.ceil(allocatedSlots) && currentCreditMs > 0);
    };

    /** Returns the identifiers of the upstreams whose slots are allocated to this instance; empty while the service is not overloaded. */
    readonly getAllocatedUpstreamIds = (service: string): ReadonlySet<string> => this.allocations.get(service)?.upstreamIds ?? noUpstreamIds;

    /** Returns the current allocations for the operators' dump. */
    getDump(): unknown {
        return Object.fromEntries([...this.allocations].map(([service, { allocation: allocated, upstreamIds }]) => [service, { ...allocated, home: [...upstreamIds] }]));
    }

    private runUpdate(): void {
        const { configuration: configurations } = this.options;
        const demand = this.options.getDemand();
        this.publishDemand(demand);
        const document = configurations.getCurrent()?.document;
        if (document === undefined) {
            return;
        }
        const peerDemand = this.listPeerDemand();
        const shares = document.ranks.map(rank => rank.guaranteedShare);
        for (const servicePool of this.options.pool.listServicePools()) {
            this.setAllocation(servicePool, shares, demand.get(servicePool.name) ?? [], peerDemand);
        }
    }

    private setAllocation(servicePool: pool.ServicePool, shares: readonly number[], own: readonly types.RankDemand[], others: ReadonlyMap<string, Readonly<Record<string, readonly number[]>>>): void {
        const { context: { clock, identity } } = this.options;
        const now = clock.getNow();
        const usable = servicePool.upstreams.filter(upstream => !upstream.isLeaving(now) && upstream.routability.kind !== "ejected");
        const slots = usable.length * servicePool.definition.slots;
        const instances = [
            { instanceId: identity.instanceId, demand: own.map(({ queued, inFlight }) => Math.min(queued + inFlight, slots)) },
            ...[...others].map(([instanceId, byService]) => ({ instanceId, demand: (byService[servicePool.name] ?? []).map(requested => Math.min(requested, slots)) })),
        ];
        const allocated = allocation.computeAllocations({ slots, shares, instances })?.get(identity.instanceId);
        if (allocated === undefined) {
            this.allocations.delete(servicePool.name);
            return;
        }
        const before = this.allocations.get(servicePool.name);
        const elapsedMs = before === undefined ? 0 : now - before.updatedAt;
        const creditMs = shares.map((_, rank) => {
            const change = elapsedMs * ((before?.allocation.byRank[rank] ?? 0) - (own[rank]?.inFlight ?? 0));
            return Math.max(-maximumCreditMs, Math.min(maximumCreditMs, (before?.creditMs[rank] ?? 0) + change));
        });
        this.allocations.set(servicePool.name, { allocation: allocated, creditMs, updatedAt: now, upstreamIds: computeAllocatedUpstreamIds(allocated, usable) });
    }

    private publishDemand(demand: ReadonlyMap<string, readonly types.RankDemand[]>): void {
        const active = [...demand].filter(([, ranks]) => ranks.some(({ queued, inFlight }) => queued + inFlight > 0));
        const current = Object.fromEntries(active.map(([service, ranks]) => [service, ranks.map(({ queued, inFlight }) => queued + inFlight)]));
        if (hasDemandChanged(this.publishedDemand, current)) {
            this.publishedDemand = current;
            this.options.mesh.setRegister(topic, current);
        }
    }

    private listPeerDemand(): ReadonlyMap<string, Readonly<Record<string, readonly number[]>>> {
        const { mesh, context: { identity } } = this.options;
        const alive = new Set(mesh.listMembers().filter(member => member.state !== "suspect" && member.instanceId !== identity.instanceId).map(member => member.instanceId));
        const pairs = [...mesh.getRegisters(topic)].filter(([origin]) => alive.has(origin)).map(([origin, body]) => [origin, parseDemand(body) ?? {}] as const);
        return new Map(pairs);
    }
}

/** Returns the upstreams that an allocation's slots map to: slot n belongs to upstream n modulo the number of upstreams. */
function computeAllocatedUpstreamIds(allocated: allocation.Allocation, usable: readonly pool.Upstream[]): ReadonlySet<string> {
    const slotCount = allocated.byRank.reduce((sum, count) => sum + count, 0);
    const first = Math.floor(allocated.firstSlot);
    const last = Math.ceil(allocated.firstSlot + slotCount);
    const slots = Array.from({ length: Math.max(0, last - first) }, (_, index) => first + index);
    return new Set(slots.map(slot => usable[slot % usable.length]!.getId()));
}

function hasDemandChanged(before: Readonly<Record<string, readonly number[]>>, current: Readonly<Record<string, readonly number[]>>): boolean {
    const services = new Set([...Object.keys(before), ...Object.keys(current)]);
    return [...services].some(service => {
        const previous = before[service] ?? [];
        const next = current[service] ?? [];
        const ranks = Math.max(previous.length, next.length);
        return Array.from({ length: ranks }, (_, rank) => Math.abs((next[rank] ?? 0) - (previous[rank] ?? 0)) > publishThreshold * (previous[rank] ?? 0)).some(Boolean);
    });
}
