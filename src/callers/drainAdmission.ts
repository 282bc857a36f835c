/** Which requests a stopping instance still takes. Needs no clock, timers or network. */

/** A request is expected to take at most this multiple of what 99 in 100 attempts of its route took, since it may also wait or be sent again. */
const expectedMultiple = 2;

/** A request that arrives at a stopping instance. Times are in monotonic milliseconds. */
export interface ArrivedRequest {
    readonly now: number;
    readonly deadlineAt: number;
    /** The 99th percentile of the route's recent latencies; undefined without samples. */
    readonly usualLatencyMs: number | undefined;
    /** When the shutdown ends and what is in flight is cut. */
    readonly drainEndsAt: number;
}

/** Returns whether a request can be expected to end before the shutdown does. Without samples, only its deadline counts. */
export function isFinishedBeforeEnd({ now, deadlineAt, usualLatencyMs, drainEndsAt }: ArrivedRequest): boolean {
    const expectedEnd = usualLatencyMs === undefined ? deadlineAt : Math.min(deadlineAt, now + usualLatencyMs * expectedMultiple);
    return expectedEnd <= drainEndsAt;
}
