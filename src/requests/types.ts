/** Plain data of a request on its way to an upstream. */

import type * as configuration from "../configuration/index.js";

/** A caller's request, checked and matched to its route. */
export interface RoutedRequest {
    readonly method: string;
    /** The path with its query. */
    readonly path: string;
    /** End-to-end headers as name and value in turn. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly route: configuration.CompiledRoute;
    readonly workspace: string;
    readonly feature: string | undefined;
    /** Monotonic milliseconds. */
    readonly deadlineAt: number;
    /** The request's identifier for logs; empty where the caller sent none. */
    readonly requestId: string;
    /** The header in which callers name their deadline, for forwarding. */
    readonly deadlineHeader: string;
    /** Whether its outcome is kept for repeats, beyond its deadline and its caller. */
    readonly isOutcomeKept: boolean;
    /** What became of each attempt, for logs; it grows with each. */
    readonly trail: string[];
    /** Aborted when the caller leaves. */
    readonly signal: AbortSignal;
}

/** An upstream's or the fleet's answer, held in memory. */
export interface BufferedResponse {
    readonly status: number;
    /** End-to-end headers as name and value in turn. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}
