/** Creates the fault plan of a soak from its seed. */

/** The kinds of fault and their variants. */
export const faultKinds = {
    workerFails: ["error", "reset", "hang", "mute"],
    workerSpoils: ["cut", "extra", "extraLate", "unframed", "unframedReset", "stall", "garbage", "wrongId", "unsealed"],
    workerSlow: [""],
    workSlows: [""],
    workerLeaves: ["draining", "gone"],
    workerRestarts: [""],
    addressReused: [""],
    storeFails: ["busy", "many", "reset", "silent"],
    storeSlow: [""],
    storeLosesReplies: [""],
    storeForgets: [""],
    storeRevokes: ["reset", "silent"],
    storeReturns: ["reset", "silent"],
    storeCut: ["forward", "backward", "both", "reset"],
    peersCut: ["forward", "backward", "both", "reset", "slow"],
    instanceFreezes: ["one", "some"],
    instanceKilled: ["one", "some", "all"],
    instanceStops: ["one", "some"],
    instancesRoll: ["some", "someSlow"],
    instancesOverlap: ["some"],
    clockSteps: ["forward", "back"],
    configurationStorm: [""],
    configurationSpoiled: ["older", "malformed"],
    settingsReread: [""],
} as const;

/** The kind of a fault. */
export type FaultKind = keyof typeof faultKinds;

/** How many times as often as the others a kind is drawn, so that planned stops overlap slow work in most plans. */
const kindWeights: { readonly [kind in FaultKind]?: number; } = { instanceStops: 4, instancesRoll: 4, workSlows: 2 };

/** A planned fault. */
export interface Fault {
    readonly kind: FaultKind;
    readonly variant: string;
    /** The start of the fault, relative to the start of the load. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Selects the worker or instance, modulo their number. */
    readonly target: number;
}

/** The seed, length and kinds of faults of a plan. */
export interface CreatePlanOptions {
    readonly seed: number;
    /** The period in which faults begin. */
    readonly lengthMs: number;
    /** The kinds of fault to choose from; all by default. */
    readonly kinds?: readonly FaultKind[];
}

/** The mean time between the starts of two faults. It is shorter than a fault, so that faults overlap. */
const meanIntervalMs = 2_000;
/** The range of fault durations. Some faults last longer than the timeouts of peers and of the store. */
const minimumDurationMs = 500;
const maximumDurationMs = 5_000;
/** The time at the start during which the load runs without faults. */
const faultFreeMs = 2_000;
/** The exclusive upper bound of `Fault.target`. */
const targetCount = 1_000;

/** Creates a deterministic generator of numbers between 0 and 1 (mulberry32). */
export function createRandomGenerator(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

/** Creates the fault plan of a seed. The same options give the same plan. */
export function createPlan({ seed, lengthMs, kinds = Object.keys(faultKinds) as FaultKind[] }: CreatePlanOptions): readonly Fault[] {
    const getRandom = createRandomGenerator(seed);
    const weightedKinds = kinds.flatMap(kind => Array.from({ length: kindWeights[kind] ?? 1 }, () => kind));
    const choose = <T>(items: readonly T[]): T => items[Math.floor(getRandom() * items.length)]!;
    const faults: Fault[] = [];
    for (let atMs = faultFreeMs; atMs < lengthMs; atMs += -Math.log(1 - getRandom()) * meanIntervalMs) {
        const kind = choose(weightedKinds);
        faults.push({
            kind,
            variant: choose<string>(faultKinds[kind]),
            atMs: Math.round(atMs),
            durationMs: Math.round(minimumDurationMs + getRandom() * (maximumDurationMs - minimumDurationMs)),
            target: Math.floor(getRandom() * targetCount),
        });
    }
    return faults;
}

/** Formats a fault for the soak's output. */
export function formatFault({ kind, variant, atMs, durationMs, target }: Fault): string {
    return `${(atMs / 1_000).toFixed(1)} s: ${kind}${variant === "" ? "" : ` (${variant})`} at ${target} for ${(durationMs / 1_000).toFixed(1)} s`;
}
