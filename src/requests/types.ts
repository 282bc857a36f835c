/** The request and response types that the executors and the order service share. */

import type * as configuration from "../configuration/index.js";
import type * as heldBytes from "../kernel/heldBytes.js";
import type * as requestProgress from "./requestProgress.js";

/** A caller's request after validation and route matching, with its body in memory. */
export interface RoutedRequest {
    readonly method: string;
    /** The path, including the query string. */
    readonly path: string;
    /** The headers as received, hop-by-hop headers included; names and values alternate. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
    readonly route: configuration.CompiledRoute;
    /** The workspace that the caller's key names, or that the caller names where no workspaces are configured; empty if there is none. */
    readonly workspace: string;
    /** The digest of the key that the request was admitted by; undefined if it needed none. */
    readonly keyDigest: string | undefined;
    /** Whether callers show keys, which are not passed on to upstreams. */
    readonly hasKeys: boolean;
    readonly feature: string | undefined;
    /** When the request's deadline expires, in monotonic milliseconds. */
    readonly deadlineAt: number;
    /** What determines `deadlineAt`: the deadline of the caller or route, or the route's time-out. */
    readonly timeLimit: "deadline" | "routeTimeout";
    /** The request's identifier in the logs; empty if the caller sent none. */
    readonly requestId: string;
    /** The name of the header that carries the caller's deadline, for forwarding to the instance that owns an order key. */
    readonly deadlineHeader: string;
    /** Whether the outcome is stored for requests that repeat the order key; it is then awaited beyond the deadline and after the caller has disconnected. */
    readonly isOutcomeKept: boolean;
    /** The result of each attempt, for the request log; every attempt appends an entry. */
    readonly trail: string[];
    /** What the request waits for, for the log of a shutdown. */
    readonly progress: requestProgress.RequestProgress;
    /** Accounts for the memory of the request's and the response's body. */
    readonly reservation: heldBytes.Reservation;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** A complete response held in memory, from an upstream or from another instance. */
export interface BufferedResponse {
    readonly status: number;
    /** End-to-end headers; names and values alternate. */
    readonly rawHeaders: readonly string[];
    readonly body: Buffer;
}
