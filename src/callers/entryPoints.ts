/** Chooses the instances that callers are told to connect to. */

import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as settings from "../settings/index.js";

/** An instance that callers may connect to. */
export interface EntryPoint {
    readonly address: string;
    readonly instanceId: string;
    readonly failureDomain: string;
}

/** If a failure domain has fewer instances than this, its callers also use the instances of other domains. */
const minimumLocalInstances = 2;
/** The maximum number of addresses in a response. */
const maximumPreferredAddresses = 64;
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
        .map(({ member }) => ({ address: member.callerAddress, instanceId: member.instanceId, failureDomain: member.failureDomain }));
}

/**
 * Lists the addresses among which a caller may choose at random. These are the instances of its own failure domain, or
 * all instances if its domain has too few.
 * @param entryPoints - The entry points in the caller's order.
 * @param failureDomain - The caller's failure domain.
 */
export function listPreferredAddresses(entryPoints: readonly EntryPoint[], failureDomain: string): readonly string[] {
    const localEntryPoints = entryPoints.filter(entryPoint => entryPoint.failureDomain === failureDomain);
    return (localEntryPoints.length >= minimumLocalInstances ? localEntryPoints : entryPoints).slice(0, maximumPreferredAddresses).map(entryPoint => entryPoint.address);
}
