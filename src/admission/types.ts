/** Plain data of admission. */

import type * as errors from "../kernel/errors.js";
import type * as pool from "../pool/index.js";

/** A request for a slot at an upstream. */
export interface SlotRequest {
    readonly service: string;
    readonly route: string;
    readonly rankIndex: number;
    readonly feature: string | undefined;
    readonly isRepeatable: boolean;
    /** Whether the request may be sent once more if this attempt fails. */
    readonly canRepeat: boolean;
    /** Whether an earlier attempt of the same request held a slot; it goes before its rank's others. */
    readonly isRetry: boolean;
    /** Monotonic milliseconds. */
    readonly deadlineAt: number;
    /** The time within which its answer is worth most, in milliseconds. */
    readonly targetMs: number;
    /** Identifiers of upstreams to leave out. */
    readonly excluded: ReadonlySet<string>;
    readonly signal: AbortSignal;
    /** Returns the error to answer with after the signal. */
    readonly getAbortError: () => errors.FleetError;
    /** Returns the route's usual latency in milliseconds. */
    readonly getUsualLatencyMs: () => number | undefined;
}

/** A slot at an upstream; it must be released. */
export interface Slot {
    readonly upstream: pool.Upstream;
    readonly attempt: pool.AttemptRecord;
    /** How long the request waited for it, in milliseconds. */
    readonly queuedMs: number;
    /** What decided the choice of the upstream, for logs. */
    readonly grounds: string;
    /** Frees the slot; repeats change nothing. */
    readonly release: (outcome: pool.AttemptOutcome) => void;
}

/** What one rank asks of a service at one instance. */
export interface RankDemand {
    readonly rank: string;
    readonly queued: number;
    readonly inFlight: number;
}

/** Chooses the upstream of a waiting request; undefined where none has room for it. */
export type ChooseUpstream = (request: SlotRequest, upstreams: readonly pool.Upstream[], now: number, waitedMs: number) => pool.Upstream | undefined;

/** Formats what decided the choice of an upstream, for logs. */
export type FormatGrounds = (target: pool.Upstream, now: number) => string;

/** What the fleet leaves to this instance while a service is overloaded. */
export interface SlotQuota {
    /** Returns whether a rank may take another slot of a service. */
    readonly isWithinQuota: (service: string, rankIndex: number, inFlight: number, now: number) => boolean;
    /** Returns the identifiers of the upstreams whose slots are lent to this instance. */
    readonly getAllocatedUpstreamIds: (service: string) => ReadonlySet<string>;
}
