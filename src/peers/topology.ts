/**
 * Which instances are linked. Up to a size, all with one another; in larger fleets in cells, so that the links of an
 * instance do not grow with the fleet. Needs no clock, timers or network: every instance computes it from its own list
 * of members, and a difference between two lists costs links, not messages.
 */

import * as randomness from "../kernel/randomness.js";

/** The most instances of a cell. A relay sends to each of them, so this bounds what a relay sends. */
const maximumCellSize = 32;
/** The relays of a cell: one, and a standby that has all links already. */
const relaysPerCell = 2;
/** The most relays out of reach that are still dialed, besides those that replace them. */
const maximumUnreachableTargets = 4;
/** Scores are computed from hashes and asked for often; the cache is cleared when it holds this many. */
const maximumCachedScores = 20_000;

/** An instance as the topology needs it. */
export interface TopologyMember {
    readonly instanceId: string;
    readonly failureDomain: string;
    /** Whether it is neither draining nor suspect; such an instance is not chosen as relay. */
    readonly isSteady: boolean;
    /** Its capacity in cores; undefined if it is not known. */
    readonly capacity?: number | undefined;
}

/** Options of a topology. */
export interface CreateTopologyOptions {
    /** All known members, this instance included. */
    readonly members: readonly TopologyMember[];
    /** The largest fleet in which all instances are linked. */
    readonly maximumCompleteSize: number;
    /** The number of instances that the store lists, which are more than the known members while the fleet starts. */
    readonly listedCount: number;
    /** Instances that this one could not link to for a while. Others are its relays instead. */
    readonly unreachable: ReadonlySet<string>;
}

/** Hash scores are below this. */
const scoreRange = 2 ** 32;

const cachedScores = new Map<string, number>();

/**
 * Computes the rank of an instance among the candidates for the relay of a cell; the highest is the relay. An instance of at
 * least twice the capacity ranks above all smaller ones, since a relay handles the messages of its whole cell.
 * @param cell - The name of the cell.
 * @param instanceId - The candidate.
 * @param capacity - Its capacity in cores; undefined if it is not known.
 */
export function computeRelayScore(cell: string, instanceId: string, capacity?: number): number {
    return (capacity === undefined ? 0 : Math.floor(Math.log2(capacity)) * scoreRange) + computeHashScore(cell, instanceId);
}

function computeHashScore(cell: string, instanceId: string): number {
    const key = `${cell}\0${instanceId}`;
    const cached = cachedScores.get(key);
    if (cached !== undefined) {
        return cached;
    }
    if (cachedScores.size >= maximumCachedScores) {
        cachedScores.clear();
    }
    const score = randomness.computeRendezvousScore(`news:${cell}`, instanceId);
    cachedScores.set(key, score);
    return score;
}

/** The links that the members of a fleet have by one list of members. */
export class Topology {
    /** Whether all instances are linked with one another, or in cells. */
    readonly kind: "complete" | "cells";
    private readonly cellByMember = new Map<string, string>();
    private readonly membersByCell = new Map<string, TopologyMember[]>();
    private readonly relaysByCell = new Map<string, readonly string[]>();
    /** The candidates of each cell that rank above its last relay, the relays themselves included. */
    private readonly candidatesByCell = new Map<string, readonly string[]>();

    constructor(private readonly options: CreateTopologyOptions) {
        const { members, maximumCompleteSize, listedCount } = options;
        this.kind = Math.max(members.length, listedCount) <= maximumCompleteSize ? "complete" : "cells";
        this.addCells();
        for (const [cell, cellMembers] of this.membersByCell) {
            this.addRelays(cell, cellMembers);
        }
    }

    /** Returns the cell of an instance: its failure domain, or a part of a large one; undefined if the instance is not known. */
    getCell(instanceId: string): string | undefined {
        return this.cellByMember.get(instanceId);
    }

    /** Returns whether an instance relays for its cell. In a complete topology none does. */
    isRelay(instanceId: string): boolean {
        const cell = this.cellByMember.get(instanceId);
        return this.kind === "cells" && cell !== undefined && this.relaysByCell.get(cell)?.includes(instanceId) === true;
    }

    /** Lists the instances that an instance is to be linked to: all others, or in cells the relays of its own, and for a relay its cell and all other relays. */
    listTargets(instanceId: string): readonly string[] {
        if (this.kind === "complete") {
            return this.options.members.map(member => member.instanceId).filter(id => id !== instanceId);
        }
        const cell = this.cellByMember.get(instanceId);
        const ownCandidates = this.candidatesByCell.get(cell ?? "") ?? [];
        if (!this.isRelay(instanceId)) {
            return ownCandidates;
        }
        const cellMembers = (this.membersByCell.get(cell ?? "") ?? []).map(member => member.instanceId);
        const otherRelays = [...this.candidatesByCell].filter(([other]) => other !== cell).flatMap(([, candidates]) => candidates);
        return [...cellMembers, ...otherRelays].filter(id => id !== instanceId);
    }

    private addCells(): void {
        const { members } = this.options;
        const sizes = new Map<string, number>();
        members.forEach(({ failureDomain }) => sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + 1));
        for (const member of members) {
            const { instanceId, failureDomain } = member;
            const cellCount = this.kind === "complete" ? 1 : Math.ceil(sizes.get(failureDomain)! / maximumCellSize);
            const cell = chooseCell(failureDomain, instanceId, cellCount);
            this.cellByMember.set(instanceId, cell);
            const cellMembers = this.membersByCell.get(cell) ?? [];
            cellMembers.push(member);
            this.membersByCell.set(cell, cellMembers);
        }
    }

    private addRelays(cell: string, members: readonly TopologyMember[]): void {
        const { unreachable } = this.options;
        const steady = members.filter(({ isSteady }) => isSteady);
        const ranked = (steady.length > 0 ? steady : members)
            .map(({ instanceId, capacity }) => ({ instanceId, score: computeRelayScore(cell, instanceId, capacity) }))
            .sort((a, b) => b.score - a.score)
            .map(({ instanceId }) => instanceId);
        const relays = ranked.filter(id => !unreachable.has(id)).slice(0, relaysPerCell);
        const lastRank = relays.length === 0 ? ranked.length : ranked.indexOf(relays.at(-1)!);
        const skipped = ranked.slice(0, lastRank).filter(id => unreachable.has(id)).slice(0, maximumUnreachableTargets);
        this.relaysByCell.set(cell, relays);
        this.candidatesByCell.set(cell, [...skipped, ...relays]);
    }
}

/** Chooses the part of a failure domain that an instance belongs to. A change of the count moves only the instances of the part that is added or removed. */
function chooseCell(failureDomain: string, instanceId: string, cellCount: number): string {
    if (cellCount === 1) {
        return failureDomain;
    }
    const cells = Array.from({ length: cellCount }, (_, index) => `${failureDomain}/${index}`);
    return cells.reduce((best, cell) => computeHashScore(cell, instanceId) > computeHashScore(best, instanceId) ? cell : best);
}
