/** Chooses the instances that callers are told to connect to. */

import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as settings from "../settings/index.js";

/** An instance that callers may connect to. */
export interface EntryPoint {
    readonly address: string;
    readonly instanceId: string;
    readonly failureDomain: string;
    /** Its share of the callers next to the others; undefined if the instance gives none. */
    readonly weight?: number;
}

/** If a failure domain has fewer instances than this, its callers also use the instances of other domains. */
const minimumLocalInstances = 2;
/** The maximum number of addresses in a response. */
const maximumPreferredAddresses = 64;
/** The expected number of addresses in a response with weights, so that more are hardly ever chosen than it may contain. */
const expectedAddresses = 48;
/** The minimum number of addresses in a response with weights. */
const minimumAddresses = 2;
/** The choice by weight changes this often while a caller keeps its answer, so that callers that asked at different times use different addresses. */
const slicesPerAnswer = 4;
/** The clocks of instances agree well within this time. */
const minimumSliceMs = 200;
/** The weight of an instance of an earlier release, or without a known capacity. */
const unknownWeight = 1;
/** Rendezvous scores are below this. */
const scoreRange = 2 ** 32;
const maximumCachedPhases = 10_000;
const cachedPhases = new Map<string, number>();
/** A member is quiet after this fraction of the silence that makes it suspect, but not before it has missed two heartbeats. */
const quietFraction = 0.5;
const quietGossipRounds = 2.5;

/** The members to choose from, and the caller to choose for. */
export interface ListEntryPointsOptions {
    readonly members: readonly peers.Member[];
    /** The caller's workspace; different workspaces prefer different instances, which spreads the load. */
    readonly workspace: string;
    /** The caller's failure domain; empty if unknown. */
    readonly failureDomain: string;
    /** The silence after which a member is quiet, in milliseconds. */
    readonly quietAfterMs: number;
}

/**
 * Returns the silence, in milliseconds, after which a member is quiet: callers are not sent there, although it is too early to suspect it.
 * @param settings - The settings on heartbeats.
 */
export function computeQuietAfterMs({ suspectAfterMs, gossipIntervalMs }: Pick<settings.ServeSettings, "suspectAfterMs" | "gossipIntervalMs">): number {
    return Math.max(suspectAfterMs * quietFraction, gossipIntervalMs * quietGossipRounds);
}

/**
 * Lists the running instances that have a configuration, in the order in which the caller should try them: instances of
 * its own failure domain first, then by rendezvous hash of its workspace. Quiet instances are left out, unless most are
 * quiet: then it is more likely that this instance does not hear the others.
 * @param options - The members and the caller.
 */
export function listEntryPoints(options: ListEntryPointsOptions): readonly EntryPoint[] {
    const running = options.members.filter(member => member.state === "running" && member.configurationVersion > 0);
    const responsive = running.filter(member => member.silenceMs <= options.quietAfterMs);
    return (responsive.length * 2 >= running.length ? responsive : running)
        .map(member => ({
            member,
            isLocal: member.failureDomain === options.failureDomain,
            score: randomness.computeRendezvousScore(options.workspace, member.instanceId),
        }))
        .sort((a, b) => Number(b.isLocal) - Number(a.isLocal) || b.score - a.score)
        .map(({ member: { callerAddress, instanceId, failureDomain, weight } }) => ({ address: callerAddress, instanceId, failureDomain, ...weight === undefined ? {} : { weight } }));
}

/** The entry points to choose from, and the caller and the time to choose for. */
export interface ListPreferredAddressesOptions {
    /** The entry points in the caller's order. */
    readonly entryPoints: readonly EntryPoint[];
    readonly workspace: string;
    readonly failureDomain: string;
    /** The current time, in milliseconds since the epoch. */
    readonly wallTimeMs: number;
    /** How long callers keep the answer, in milliseconds. */
    readonly keepForMs: number;
}

/**
 * Lists the addresses among which a caller may choose at random. These are the instances of its own failure domain, or
 * all instances if its domain has too few. If instances give weights, each is listed with a probability in proportion to its
 * weight, so that callers reach them in that proportion.
 */
export function listPreferredAddresses(options: ListPreferredAddressesOptions): readonly string[] {
    const { entryPoints } = options;
    const localEntryPoints = entryPoints.filter(entryPoint => entryPoint.failureDomain === options.failureDomain);
    const preferred = localEntryPoints.length >= minimumLocalInstances ? localEntryPoints : entryPoints;
    const listed = preferred.some(({ weight }) => weight !== undefined) ? listByWeight(preferred, options) : preferred;
    return listed.slice(0, maximumPreferredAddresses).map(entryPoint => entryPoint.address);
}

/** Returns by which part of a slice those of an instance are earlier than those of others. */
function getPhase(instanceId: string): number {
    const cached = cachedPhases.get(instanceId);
    if (cached !== undefined) {
        return cached;
    }
    if (cachedPhases.size >= maximumCachedPhases) {
        cachedPhases.clear();
    }
    const phase = randomness.computeRendezvousScore("entries-phase", instanceId) / scoreRange;
    cachedPhases.set(instanceId, phase);
    return phase;
}

/**
 * Lists the entry points whose hash for the current time slice is below their probability. All instances of the fleet give the
 * same answer, and as each entry point has slices of its own, an answer changes in a few addresses at a time. No address is
 * repeated, since some callers drop repeated ones. If too few are chosen, those that come next are added.
 */
function listByWeight(entryPoints: readonly EntryPoint[], { workspace, wallTimeMs, keepForMs }: ListPreferredAddressesOptions): readonly EntryPoint[] {
    const sliceMs = Math.max(minimumSliceMs, keepForMs / slicesPerAnswer);
    const getWeight = ({ weight }: EntryPoint) => weight ?? unknownWeight;
    const maximumWeight = Math.max(...entryPoints.map(getWeight));
    const expectedCount = entryPoints.reduce((sum, entryPoint) => sum + getWeight(entryPoint) / maximumWeight, 0);
    const scale = Math.min(1, expectedAddresses / expectedCount) / maximumWeight;
    const ranked = entryPoints.map(entryPoint => {
        const slice = Math.floor(wallTimeMs / sliceMs + getPhase(entryPoint.instanceId));
        const hash = randomness.computeRendezvousScore(`entries:${workspace}:${slice}`, entryPoint.instanceId) / scoreRange;
        return { entryPoint, rank: getWeight(entryPoint) * scale / Math.max(hash, 1 / scoreRange) };
    });
    const sorted = ranked.map(({ rank }) => rank).sort((a, b) => b - a);
    const lowestRank = Math.min(1, sorted[Math.min(minimumAddresses, sorted.length) - 1]!);
    return ranked.filter(({ rank }) => rank >= lowestRank).map(({ entryPoint }) => entryPoint);
}
