/** Types shared by the upstream pool modules. */

/** How an attempt at an upstream ended. */
export type AttemptOutcome =
    /** The upstream answered with a status below 500. */
    | "answered"
    /** A server error, a connection reset or a truncated body. The upstream may have executed the request. */
    | "failed"
    /** The upstream rejected the request because of overload, without executing it. */
    | "shed"
    /** No connection was established, so the upstream did not receive the request. */
    | "unreachable"
    /** The upstream did not answer within the timeout. */
    | "timedOut"
    /** The caller disconnected, or the request was not sent. */
    | "cancelled"
    /** Another attempt of the request was answered before. */
    | "superseded";

/** Whether an upstream may receive requests. One instance per service decides ejections and trials for the fleet. */
export type Routability =
    | { readonly kind: "routable"; }
    /** Receives no requests. */
    | { readonly kind: "ejected"; }
    /** Receives one repeatable request at a time, from one instance only. */
    | { readonly kind: "trial"; readonly isAssignedHere: boolean; }
    /** Receives a fraction of its requests that grows linearly from 0 to 1 over the ramp. */
    | { readonly kind: "recovering"; readonly startedAt: number; readonly durationMs: number; };

/** Identifies an upstream within the fleet. */
export interface UpstreamKey {
    readonly service: string;
    readonly upstream: string;
}

/** One attempt to send a request to an upstream, in flight or finished. Times are monotonic milliseconds. */
export interface AttemptRecord {
    readonly route: string;
    readonly rankIndex: number;
    readonly startedAt: number;
    /** Time at which the response headers arrived. */
    respondedAt?: number;
    /** Request body size in bytes. */
    requestBytes?: number;
    /** Response body size in bytes, if the response declared it. */
    responseBytes?: number;
}
