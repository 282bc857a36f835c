/** Which requests a stopping instance still takes and sends. Needs no clock, timers or network. */

/** A request is expected to take at most this multiple of what 99 in 100 attempts of its route took, since it may also wait or be sent again. */
const expectedMultiple = 2;

/** The times of a graceful shutdown, in monotonic milliseconds. */
export interface ShutdownTimes {
    /** When the requests that are taken must end. */
    readonly endsAt: number;
    /**
     * Until when a request is admitted because its route is usually quick enough. An estimate is wrong at times. Callers that
     * come later have other entry points by then, so that only requests are admitted whose own deadline is in time.
     */
    readonly estimatesEndAt: number;
}

/** What the decision depends on. Times are in monotonic milliseconds. */
export interface RequestTimes {
    readonly now: number;
    readonly deadlineAt: number;
    /** The 99th percentile of the route's recent latencies; undefined without samples. */
    readonly usualLatencyMs: number | undefined;
    /** Whether an upstream may have run the request, so that it can no longer be refused as not executed. */
    readonly mayHaveRun: boolean;
}

/** Returns by when a request can be expected to end, in monotonic milliseconds. Without samples, only its deadline counts. */
export function computeExpectedEnd({ now, deadlineAt, usualLatencyMs, mayHaveRun }: RequestTimes, { estimatesEndAt }: ShutdownTimes): number {
    const isEstimated = mayHaveRun || now < estimatesEndAt;
    const usualEnd = usualLatencyMs === undefined || !isEstimated ? deadlineAt : now + usualLatencyMs * expectedMultiple;
    return Math.min(deadlineAt, usualEnd);
}

/** Returns whether a stopping instance may take a request, or send one that has waited. */
export function isAdmitted(request: RequestTimes, shutdown: ShutdownTimes): boolean {
    return computeExpectedEnd(request, shutdown) <= shutdown.endsAt;
}

/** Describes why a request is not admitted. */
export function formatRejection(request: RequestTimes, shutdown: ShutdownTimes): string {
    const { now, deadlineAt, usualLatencyMs } = request;
    const expectedMs = Math.ceil(computeExpectedEnd(request, shutdown) - now);
    const leftMs = Math.floor(shutdown.endsAt - now);
    const usual = usualLatencyMs === undefined ? "no attempt of its route is known" : `99 in 100 attempts of its route took at most ${Math.round(usualLatencyMs)} ms`;
    return `the request can be expected to end in ${expectedMs} ms, but the instance stops in ${leftMs} ms (${usual}, and its deadline is in ${Math.round(deadlineAt - now)} ms)`;
}
