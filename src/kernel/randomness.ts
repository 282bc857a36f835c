/** Sources of randomness. Code that needs random values receives one as an argument, so that tests can repeat a run from its seed. */

import * as crypto from "node:crypto";

/** A source of random values. */
export interface Randomness {
    /** Returns a number in the range [0, 1). */
    readonly getFraction: () => number;
    /**
     * Returns a random identifier in lower-case hexadecimal.
     * @param bytes - Length in bytes; the text has twice as many characters.
     */
    readonly getIdentifier: (bytes: number) => string;
}

/** Creates a non-repeatable source for the running process. */
export function createSystemRandomness(): Randomness {
    return {
        getFraction: () => Math.random(),
        getIdentifier: bytes => crypto.randomBytes(bytes).toString("hex"),
    };
}

/**
 * Creates a repeatable source, based on the mulberry32 generator.
 * @param seed - A 32-bit integer.
 */
export function createSeededRandomness(seed: number): Randomness {
    let state = seed >>> 0;
    const getFraction = () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
    return {
        getFraction,
        getIdentifier: bytes => Array.from({ length: bytes }, () => Math.floor(getFraction() * 256).toString(16).padStart(2, "0")).join(""),
    };
}

/**
 * Computes a candidate's score for rendezvous hashing; the candidate with the highest score is chosen.
 * @param key - Identifies the item to assign.
 * @param candidate - Identifies the member that the item may be assigned to.
 */
export function computeRendezvousScore(key: string, candidate: string): number {
    return crypto.createHash("sha1").update(key).update("\0").update(candidate).digest().readUInt32BE(0);
}
