/** Types shared by the admission modules. */

import type * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";

/** A request for a slot at an upstream. */
export interface SlotRequest {
    readonly service: string;
    readonly route: string;
    readonly rankIndex: number;
    readonly feature: string | undefined;
    /** The name of the request's workspace; empty if it has none. */
    readonly workspace: string;
    /** The digest of the key that the request was admitted by; undefined if it needed none. */
    readonly keyDigest: string | undefined;
    /** The size of the request's body, in bytes. */
    readonly bodyBytes: number;
    /** Whether the request may safely run twice, as configured for its route. */
    readonly isRepeatable: boolean;
    /** Whether the request can be retried if this attempt fails. */
    readonly canRetry: boolean;
    /** Whether this is a later attempt of the request. Retries are queued at the head of their rank. */
    readonly isRetry: boolean;
    /** Whether an upstream may have run an earlier attempt. A request that none has run can be refused as not executed. */
    readonly mayHaveRun: boolean;
    /** Monotonic time in milliseconds. */
    readonly deadlineAt: number;
    /** The route's target latency, or its deadline if it has none, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Identifiers of upstreams that must not be chosen. */
    readonly excludedUpstreamIds: ReadonlySet<string>;
    readonly signal: AbortSignal;
    /** Returns the error to reject the request with when `signal` aborts. */
    readonly getAbortError: () => errors.FleetError;
    /** Returns the route's median latency in milliseconds; undefined before the first sample. */
    readonly getMedianLatencyMs: () => number | undefined;
}

/** A slot acquired at an upstream. The holder must release it. */
export interface Slot {
    readonly upstream: pool.Upstream;
    readonly attempt: pool.AttemptRecord;
    /** Time that the request spent in the queue, in milliseconds. */
    readonly queuedMs: number;
    /** The upstream's load when it was chosen, with its health estimate if there is one; for the request's log line. */
    readonly upstreamSummary: string;
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
export type ChooseUpstream = (request: SlotRequest, upstreams: readonly pool.Upstream[], now: number, queuedMs: number) => pool.Upstream | undefined;

/** The requests that an upstream executes, as far as this instance knows, and how many it can execute at once. */
export interface UpstreamLoad {
    readonly inFlight: number;
    readonly limit: number;
}

/** Returns the load of an upstream. */
export type GetUpstreamLoad = (upstream: pool.Upstream) => UpstreamLoad;

/** Formats the load of an upstream, with its health estimate if there is one, for the log line of a request that is sent there. */
export type FormatUpstreamSummary = (upstream: pool.Upstream, now: number) => string;

/** Limits this instance to the slots allocated to it while the fleet's demand for a service exceeds its capacity. */
export interface SlotAllocator {
    /** Returns whether a rank with this many in-flight requests may acquire another slot of the service. */
    readonly isWithinAllocation: (service: string, rankIndex: number, inFlight: number, now: number) => boolean;
    /** Returns the identifiers of the upstreams whose slots are allocated to this instance. */
    readonly getAllocatedUpstreamIds: (service: string) => ReadonlySet<string>;
}

/** Why a request was refused before an attempt, or before a further one. */
export type RefusalReason =
    /** The queue of its rank was full. */
    | "queueFull"
    /** It could not be in time any more, or was not expected to be. */
    | "late"
    /** All upstreams had asked for a pause. */
    | "pause"
    /** Its service sheds, and requests to it are limited. */
    | "shedLimit"
    /** An upstream shed it, and it could not be sent again. */
    | "shed";
