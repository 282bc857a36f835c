/** The exit statuses of the program. */

/** The exit statuses by name. */
export const exitStatus = {
    success: 0,
    /** The command line was valid, but the command failed. */
    failure: 1,
    /** A flag, setting or file is invalid. */
    invalid: 2,
} as const;
