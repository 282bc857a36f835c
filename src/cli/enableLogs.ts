/** Turns logging on; it must be imported before roarr, which reads the variable when it loads. */

process.env.ROARR_LOG ??= "true";
