/** Tells callers which addresses of the fleet to use. */

import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";

/** One address of the fleet. */
export interface Entry {
    readonly address: string;
    readonly instanceId: string;
    readonly failureDomain: string;
}

/** The order in which a caller should try the fleet. */
export interface ListEntriesOptions {
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
export function listEntries(options: ListEntriesOptions): readonly Entry[] {
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
