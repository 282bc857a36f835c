/** Types shared by the admission modules. */

import type * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";

/** A request for a slot at an upstream. */
export interface SlotRequest {
    readonly service: string;
    readonly route: string;
    readonly rankIndex: number;
    readonly feature: string | undefined;
    readonly isRepeatable: boolean;
    /** Whether another attempt may follow if this one fails. */
    readonly canRepeat: boolean;
    /** Whether this is a later attempt of the request. Retries are queued at the head of their rank. */
    readonly isRetry: boolean;
    /** Monotonic time in milliseconds. */
    readonly deadlineAt: number;
    /** The route's target latency in milliseconds. */
    readonly targetMs: number;
    /** Identifiers of upstreams that must not be chosen. */
    readonly excluded: ReadonlySet<string>;
    readonly signal: AbortSignal;
    /** Returns the error to reject the request with when `signal` aborts. */
    readonly getAbortError: () => errors.FleetError;
    /** Returns the route's median latency in milliseconds; undefined before the first sample. */
    readonly getUsualLatencyMs: () => number | undefined;
}

/** A slot acquired at an upstream. The holder must release it. */
export interface Slot {
    readonly upstream: pool.Upstream;
    readonly attempt: pool.AttemptRecord;
    /** Time that the request spent in the queue, in milliseconds. */
    readonly queuedMs: number;
    /** Why this upstream was chosen, for the request's log line. */
    readonly grounds: string;
    /** Releases the slot and records the attempt's outcome. Idempotent. */
    readonly release: (outcome: pool.AttemptOutcome) => void;
}

/** Requests of one rank for one service at one instance. */
export interface RankDemand {
    readonly rank: string;
    readonly queued: number;
    readonly inFlight: number;
}

/** Chooses the upstream for a queued request; returns undefined if the request must keep waiting. */
export type ChooseUpstream = (request: SlotRequest, upstreams: readonly pool.Upstream[], now: number, waitedMs: number) => pool.Upstream | undefined;

/** Formats why an upstream was chosen, for the request's log line. */
export type FormatGrounds = (target: pool.Upstream, now: number) => string;

/** Limits this instance's use of a service while the fleet's demand exceeds the service's capacity. */
export interface SlotQuota {
    /** Returns whether a rank with this many in-flight requests may acquire another slot of the service. */
    readonly isWithinQuota: (service: string, rankIndex: number, inFlight: number, now: number) => boolean;
    /** Returns the identifiers of the upstreams whose slots are allocated to this instance. */
    readonly getAllocatedUpstreamIds: (service: string) => ReadonlySet<string>;
}
