/** The statuses that the program exits with. */

/** Exit statuses. */
export const exitStatus = {
    success: 0,
    /** The command was understood and failed. */
    failure: 1,
    /** A flag, setting or file is invalid. */
    invalid: 2,
} as const;
