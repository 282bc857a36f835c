/** Tells callers which addresses of the fleet to use. */

import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";

/** One address of the fleet. */
export interface EntryPoint {
    readonly address: string;
    readonly instanceId: string;
    readonly failureDomain: string;
}

/** A failure domain with fewer instances than this does not serve its callers alone. */
const minimumNear = 2;
/** The most addresses of an answer. */
const maximumAddresses = 64;

/** The order in which a caller should try the fleet. */
export interface ListEntryPointsOptions {
    readonly members: readonly peers.Member[];
    /** The caller's workspace, which spreads callers over the instances. */
    readonly workspace: string;
    /** The caller's failure domain; empty where it is not known. */
    readonly failureDomain: string;
}

/**
 * Lists the running instances that have a configuration: those of the caller's failure domain first, then by the
 * workspace's rendezvous scores.
 * @param options - The members and the caller.
 */
export function listEntryPoints(options: ListEntryPointsOptions): readonly EntryPoint[] {
    return options.members
        .filter(member => member.state === "running" && member.configurationVersion > 0)
        .map(member => ({
            member,
            isNear: member.failureDomain === options.failureDomain,
            score: randomness.computeRendezvousScore(options.workspace, member.instanceId),
        }))
        .sort((a, b) => Number(b.isNear) - Number(a.isNear) || b.score - a.score)
        .map(({ member }) => ({ address: member.callerAddress, instanceId: member.instanceId, failureDomain: member.failureDomain }));
}

/**
 * Lists the addresses among which a caller may choose at random: those of its own failure domain, where they suffice.
 * @param entries - The entries in the caller's order.
 * @param failureDomain - The caller's failure domain.
 */
export function listPreferredAddresses(entries: readonly EntryPoint[], failureDomain: string): readonly string[] {
    const near = entries.filter(entry => entry.failureDomain === failureDomain);
    return (near.length >= minimumNear ? near : entries).slice(0, maximumAddresses).map(entry => entry.address);
}
