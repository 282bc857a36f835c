/** Clocks. Code that depends on time receives one as an argument, so that tests can control the time. */

/** A source of monotonic and wall-clock time. */
export interface Clock {
    /** Returns monotonic time in milliseconds, which keeps advancing while the process is stopped by a signal. */
    readonly getNow: () => number;
    /** Returns milliseconds since the Unix epoch; the value may jump in either direction. */
    readonly getWallTime: () => number;
}

/** Creates a clock that reads the system's time. */
export function createSystemClock(): Clock {
    return {
        getNow: () => performance.now(),
        getWallTime: () => Date.now(),
    };
}

/** A clock that advances only through `addTime`. */
export interface VirtualClock extends Clock {
    /**
     * Advances the clock.
     * @param durationMs - Milliseconds to add; not negative.
     */
    readonly addTime: (durationMs: number) => void;
}

/**
 * Creates a virtual clock for tests.
 * @param startMs - The initial time, in milliseconds.
 */
export function createVirtualClock(startMs = 0): VirtualClock {
    let nowMs = startMs;
    return {
        getNow: () => nowMs,
        getWallTime: () => nowMs,
        addTime: durationMs => {
            nowMs += durationMs;
        },
    };
}
