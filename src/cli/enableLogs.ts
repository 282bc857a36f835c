/** Enables logging. Import this file before roarr, which reads the environment variable when it is loaded. */

process.env.ROARR_LOG ??= "true";
