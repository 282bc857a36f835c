/** Sources of randomness; policy code receives one, so that a seed repeats a run. */

import * as crypto from "node:crypto";

/** A source of random values. */
export interface Randomness {
    /** Returns a number from 0 up to, but not including, 1. */
    readonly getFraction: () => number;
    /**
     * Returns a random identifier in lower-case hexadecimal.
     * @param bytes - Its length in bytes; the text is twice as long.
     */
    readonly getIdentifier: (bytes: number) => string;
}

/** Creates the randomness of the running process. */
export function createSystemRandomness(): Randomness {
    return {
        getFraction: () => Math.random(),
        getIdentifier: bytes => crypto.randomBytes(bytes).toString("hex"),
    };
}

/**
 * Creates a repeatable source (the mulberry32 generator).
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
 * Scores a candidate for rendezvous hashing; the highest score wins.
 * @param key - What is being placed.
 * @param candidate - Where it may be placed.
 */
export function computeRendezvousScore(key: string, candidate: string): number {
    return crypto.createHash("sha1").update(key).update("\0").update(candidate).digest().readUInt32BE(0);
}
