/** Plain data of the upstream pool. */

/** How an attempt at an upstream ended. */
export type AttemptOutcome =
    /** The upstream answered, whatever the status below 500. */
    | "answered"
    /** A server error, a reset or a broken body: the request may have run. */
    | "failed"
    /** The upstream refused for load before running the request. */
    | "shed"
    /** No connection could be made, so the upstream has not seen the request. */
    | "unreachable"
    /** No answer came within the time given. */
    | "timedOut"
    /** The caller left, or another attempt answered first. */
    | "cancelled";

/** Whether an upstream may be chosen, as the fleet's decider has said. */
export type Routability =
    | { readonly kind: "routable"; }
    /** Gets nothing. */
    | { readonly kind: "ejected"; }
    /** Gets one repeatable request at a time, from one instance. */
    | { readonly kind: "trial"; readonly isAssignedHere: boolean; }
    /** Gets a part of its requests that grows linearly from the start to the end of the ramp. */
    | { readonly kind: "recovering"; readonly startedAt: number; readonly durationMs: number; };

/** Identifies an upstream. */
export interface UpstreamKey {
    readonly service: string;
    readonly upstream: string;
}

/** An attempt that is under way or has ended. */
export interface AttemptRecord {
    readonly route: string;
    readonly rankIndex: number;
    readonly startedAt: number;
    /** When the answer's header came. */
    answeredAt?: number;
    /** The size of the answer's body in bytes, where its header says it. */
    answerBytes?: number;
}
