/** The weight of an instance among the entry points: its capacity, reduced while it is slow or full. Needs no clock, timers or network. */

/** A timer that is late by more than this, on average, shows that the process lacks processor time. */
const usualDelayMs = 20;
/** An instance of weight 1 with more requests in flight than this gets fewer. */
const inFlightPerCapacity = 100;
/** An instance gets fewer requests once bodies occupy more than this part of the memory that they may occupy. */
const usualHeldFraction = 0.5;
/** A slow instance keeps this part of its weight, so that its load remains an observation. */
const minimumFactor = 0.1;
/** Weights change in steps of this ratio, because each change is sent to the whole fleet. */
const stepRatio = Math.SQRT2;
const weightDigits = 1_000;

/** The load that an instance observes of itself. */
export interface OwnLoad {
    /** The average delay of the event loop, in milliseconds. */
    readonly delayMs: number;
    /** Callers' requests in flight. */
    readonly inFlight: number;
    /** The part of the memory for bodies that is occupied, from 0 to 1. */
    readonly heldFraction: number;
}

/**
 * Computes the weight of an instance. It differs from the previous one only if the load has changed by more than a step, so
 * that a load between two steps does not change it again and again.
 * @param capacity - The capacity, in cores.
 * @param previous - The weight that the fleet knows; undefined if it knows none.
 */
export function computeWeight(capacity: number, { delayMs, inFlight, heldFraction }: OwnLoad, previous: number | undefined): number {
    const factor = Math.max(
        minimumFactor,
        Math.min(1, usualDelayMs / Math.max(delayMs, usualDelayMs), inFlightPerCapacity * capacity / Math.max(inFlight, 1), (1 - heldFraction) / (1 - usualHeldFraction)),
    );
    const step = stepRatio ** Math.round(Math.log(factor) / Math.log(stepRatio));
    const weight = Math.round(capacity * step * weightDigits) / weightDigits;
    const isNear = previous !== undefined && factor < 1 && Math.abs(Math.log(capacity * factor / previous)) < Math.log(stepRatio);
    return isNear ? previous : weight;
}
