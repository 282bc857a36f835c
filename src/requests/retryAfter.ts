/** Parses the header `Retry-After` (RFC 9110, section 10.2.3) in its form of seconds. */

/** A longer pause is not believed: an upstream that is away for that long leaves the pool instead. */
const maximumPauseMs = 300_000;
const secondsPattern = /^\d{1,9}(\.\d{1,9})?$/;
const millisecondsPerSecond = 1_000;

/**
 * Parses the value of the header; fractions of a second are allowed.
 * @param value - The value; undefined if the header is absent.
 * @returns The pause in milliseconds; undefined if the value is absent, zero, malformed or longer than five minutes.
 */
export function parseRetryAfter(value: string | undefined): number | undefined {
    if (value === undefined || !secondsPattern.test(value)) {
        return undefined;
    }
    const pauseMs = Number(value) * millisecondsPerSecond;
    return pauseMs > 0 && pauseMs <= maximumPauseMs ? pauseMs : undefined;
}
