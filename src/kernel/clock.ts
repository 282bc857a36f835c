/** Sources of time; policy code receives one instead of reading the system's clock. */

/** A source of monotonic and wall-clock time. */
export interface Clock {
    /** Returns monotonic milliseconds; they go on while the process is stopped by a signal. */
    readonly getNow: () => number;
    /** Returns milliseconds since the Unix epoch; they may jump. */
    readonly getWallTime: () => number;
}

/** Creates the clock of the running process. */
export function createSystemClock(): Clock {
    return {
        getNow: () => performance.now(),
        getWallTime: () => Date.now(),
    };
}

/** A clock that moves only when it is told to. */
export interface VirtualClock extends Clock {
    /**
     * Moves the clock forward.
     * @param durationMs - Milliseconds to add, not negative.
     */
    readonly addTime: (durationMs: number) => void;
}

/**
 * Creates a virtual clock for policy tests.
 * @param startMs - The first reading, in milliseconds.
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
