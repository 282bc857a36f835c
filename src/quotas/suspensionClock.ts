/** A monotonic clock that also counts time for which the machine was suspended. */

import type * as clock from "../kernel/clock.js";

/** A difference below this between the two clocks is an adjustment of the wall clock, in milliseconds. */
const minimumSuspensionMs = 100;

/**
 * Creates a function that returns monotonic milliseconds. The monotonic clock of a machine may stand still while the machine
 * is suspended, so a jump of the wall clock ahead of it counts as time, too. If somebody set the wall clock instead, tokens
 * and delegations expire early, which does no harm.
 */
export function createSuspensionClock(source: clock.Clock): () => number {
    let suspendedMs = 0;
    let lastMonotonic = source.getNow();
    let lastWall = source.getWallTime();
    return () => {
        const monotonic = source.getNow();
        const wall = source.getWallTime();
        const jumpMs = wall - lastWall - (monotonic - lastMonotonic);
        suspendedMs += jumpMs > minimumSuspensionMs ? jumpMs : 0;
        lastMonotonic = monotonic;
        lastWall = wall;
        return monotonic + suspendedMs;
    };
}
