/** Draws the faults of a soak from its seed. */

/** What a fault may be done to, and how. */
export const faultKinds = {
    workerFails: ["error", "reset", "hang", "mute"],
    workerSpoils: ["cut", "extra", "extraLate", "unframed", "unframedReset", "stall", "garbage", "wrongId", "unsealed"],
    workerSlow: [""],
    workerLeaves: ["draining", "gone"],
    workerRestarts: [""],
    addressReused: [""],
    storeFails: ["busy", "many", "reset", "silent"],
    storeSlow: [""],
    storeLosesReplies: [""],
    storeForgets: [""],
    storeRevokes: ["reset", "silent"],
    storeCut: ["forward", "backward", "both", "reset"],
    peersCut: ["forward", "backward", "both", "reset", "slow"],
    instanceFreezes: ["one", "some"],
    instanceKilled: ["one", "some", "all"],
    instanceStops: ["one", "some"],
    clockSteps: ["forward", "back"],
    configurationStorm: [""],
    configurationSpoiled: ["older", "malformed"],
    settingsReread: [""],
} as const;

/** The name of a fault. */
export type FaultKind = keyof typeof faultKinds;

/** One fault. */
export interface Fault {
    readonly kind: FaultKind;
    readonly variant: string;
    /** When it begins, in milliseconds from the start of the load. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Selects the target among those that the kind can be done to. */
    readonly target: number;
}

/** Options of a plan. */
export interface CreatePlanOptions {
    readonly seed: number;
    /** How long faults begin, in milliseconds. */
    readonly lengthMs: number;
    /** The kinds to draw from. */
    readonly kinds?: readonly FaultKind[];
}

/** The mean time between the beginnings of two faults, in milliseconds: shorter than a fault, so that some overlap. */
const meanGapMs = 2_000;
/** How long a fault lasts, in milliseconds; some outlast the time-outs of peers and of the store. */
const shortestMs = 500;
const longestMs = 5_000;
/** The load runs without faults for so long, in milliseconds. */
const quietMs = 2_000;
/** Targets are numbers below this one, of which each fault takes the remainder that it needs. */
const largestTarget = 1_000;

/** Creates a generator of numbers from 0 to 1 (mulberry32). */
export function createRandomGenerator(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

/** Draws the faults of a seed. */
export function createPlan({ seed, lengthMs, kinds = Object.keys(faultKinds) as FaultKind[] }: CreatePlanOptions): readonly Fault[] {
    const getFraction = createRandomGenerator(seed);
    const choose = <T>(items: readonly T[]): T => items[Math.floor(getFraction() * items.length)]!;
    const faults: Fault[] = [];
    for (let atMs = quietMs; atMs < lengthMs; atMs += -Math.log(1 - getFraction()) * meanGapMs) {
        const kind = choose(kinds);
        faults.push({
            kind,
            variant: choose<string>(faultKinds[kind]),
            atMs: Math.round(atMs),
            durationMs: Math.round(shortestMs + getFraction() * (longestMs - shortestMs)),
            target: Math.floor(getFraction() * largestTarget),
        });
    }
    return faults;
}

/** Formats a fault for the report. */
export function formatFault({ kind, variant: how, atMs, durationMs, target }: Fault): string {
    return `${(atMs / 1_000).toFixed(1)} s: ${kind}${how === "" ? "" : ` (${how})`} at ${target} for ${(durationMs / 1_000).toFixed(1)} s`;
}
