/** All error kinds, with the HTTP response that callers and the RPC code that operators receive for each. */

/** Whether an upstream has executed the request, as reported to the caller. */
export type Outcome = "executed" | "not-executed" | "unknown";

/** RPC codes that operators receive, as Connect names them. */
export type RpcCode = "InvalidArgument" | "NotFound" | "FailedPrecondition" | "Unavailable" | "ResourceExhausted" | "DeadlineExceeded" | "Canceled" | "Unknown" | "Aborted" | "Unauthenticated" | "Internal";

/** How a caller or operator may retry after an error: not at all, later, at another instance, or with the same key. */
export type RetryAdvice = "no" | "later" | "otherInstance" | "sameKey";

/** The properties of one error kind. */
export interface ErrorDefinition {
    /** HTTP status that callers receive. */
    readonly status: number;
    /** RPC code that operators receive. */
    readonly code: RpcCode;
    /** Whether an upstream executed the request, as reported to callers. */
    readonly outcome: Outcome;
    /** Retry advice for callers. */
    readonly retry: RetryAdvice;
    /** When the error occurs, in one sentence; also the default message. */
    readonly meaning: string;
}

function createDefinition(status: number, code: RpcCode, outcome: Outcome, retry: RetryAdvice, meaning: string): ErrorDefinition {
    return { status, code, outcome, retry, meaning };
}

/** The definition of every error kind. */
export const errorDefinitions = {
    badRequest: createDefinition(400, "InvalidArgument", "not-executed", "no", "A header, parameter or field of the request is invalid."),
    routeNotFound: createDefinition(404, "NotFound", "not-executed", "no", "No route matches the method and path."),
    keyUnknown: createDefinition(401, "Unauthenticated", "not-executed", "no", "The route needs the key of a workspace, and the request has none that is known."),
    keyUnknownRepeat: createDefinition(401, "Unauthenticated", "unknown", "no", "As keyUnknown, for a request with an order key. An earlier request with that order key may have been executed."),
    quotaExceeded: createDefinition(429, "ResourceExhausted", "not-executed", "later", "The workspace's quota of requests is used up."),
    featureRetired: createDefinition(410, "FailedPrecondition", "not-executed", "no", "The request's feature is retired."),
    bodyTooLarge: createDefinition(413, "InvalidArgument", "not-executed", "no", "The request body is larger than the limit."),
    notConfigured: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance has no configuration yet."),
    configurationStale: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance can reach neither the store nor half of its peers, so a newer configuration may be active."),
    draining: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance is shutting down and accepts no new requests."),
    stoppedBeforeSend: createDefinition(503, "Unavailable", "unknown", "sameKey", "The instance shut down before the request was sent; an earlier one with the same order key may have been executed."),
    stoppedAfterSend: createDefinition(504, "Unavailable", "unknown", "sameKey", "The instance shut down before it knew the outcome of the order, which may have been executed."),
    overloaded: createDefinition(503, "ResourceExhausted", "not-executed", "later", "The queue of the request's rank is full."),
    deadlineBeforeSend: createDefinition(503, "DeadlineExceeded", "not-executed", "later", "The deadline passed, or could not be met, before the request was sent."),
    upstreamUnavailable: createDefinition(503, "Unavailable", "not-executed", "later", "No upstream could be reached, so the request was not sent."),
    deadlineAfterSend: createDefinition(504, "DeadlineExceeded", "unknown", "sameKey", "The deadline passed after the request was sent to an upstream."),
    answerLost: createDefinition(502, "Unavailable", "unknown", "sameKey", "The request was sent to an upstream, but the response was lost, incomplete or a gateway error."),
    callerGone: createDefinition(499, "Canceled", "not-executed", "no", "The caller disconnected before the request was sent."),
    callerGoneAfterSend: createDefinition(499, "Canceled", "unknown", "no", "The caller disconnected after the request was sent to an upstream."),
    orderKeyMissing: createDefinition(400, "InvalidArgument", "not-executed", "no", "The route needs an order key and the request has none."),
    orderKeyInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "The order key is malformed, or its prefix was not issued by the instance it names."),
    orderKeyReused: createDefinition(422, "InvalidArgument", "unknown", "no", "The order key was already used for a different request."),
    orderKeyExpired: createDefinition(409, "FailedPrecondition", "unknown", "no", "The order key has expired, and its outcome is no longer stored."),
    refusedRepeat: createDefinition(409, "FailedPrecondition", "unknown", "no", "The request was rejected, but an earlier request with the same order key may have been executed."),
    orderOwnerUnreachable: createDefinition(503, "Unavailable", "unknown", "sameKey", "The instance that owns the order key cannot be reached from this instance."),
    orderAnswerNotKept: createDefinition(409, "FailedPrecondition", "executed", "no", "The order was executed, but its response was too large to store for a retry."),
    orderLedgerFull: createDefinition(503, "ResourceExhausted", "unknown", "sameKey", "The instance stores the maximum number of order keys; this request was not sent, but a retry of it may be executed later."),
    storeUnavailable: createDefinition(503, "Unavailable", "unknown", "later", "The platform's store did not respond; this request was not sent, but an earlier one with the same key may have been executed."),
    changeUnresolved: createDefinition(504, "Unknown", "unknown", "sameKey", "The store may or may not have applied the change; retrying it with the same change identifier is safe."),
    configurationInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "The configuration document is invalid."),
    configurationElsewhere: createDefinition(409, "FailedPrecondition", "not-executed", "no", "Another program writes the configuration to the store, so it cannot be changed by operator calls."),
    configurationConflict: createDefinition(409, "Aborted", "not-executed", "no", "Another change was accepted first."),
    instanceUnknown: createDefinition(404, "NotFound", "not-executed", "no", "No such instance is known."),
    upstreamUnknown: createDefinition(404, "NotFound", "not-executed", "no", "No such upstream is configured."),
    unauthorized: createDefinition(401, "Unauthenticated", "not-executed", "no", "The shared secret is missing or wrong."),
    settingInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "A setting is invalid; the process exits with status 2."),
    peerUnreachable: createDefinition(503, "Unavailable", "unknown", "later", "A peer did not respond in time, or no connection to it is open."),
    inputMalformed: createDefinition(400, "InvalidArgument", "not-executed", "no", "A value that another program wrote is not JSON, or is too long or too deeply nested."),
    frameInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "A peer sent a malformed, oversized or unexpected frame; the connection is closed."),
    internal: createDefinition(500, "Internal", "unknown", "no", "An internal error of the program."),
} as const satisfies Record<string, ErrorDefinition>;

/** An error kind: a key of `errorDefinitions`. */
export type ErrorKind = keyof typeof errorDefinitions;

/** An error as returned by any part of the program. */
export interface FleetError {
    readonly kind: ErrorKind;
    /** What went wrong, with the relevant values, for a human reader. */
    readonly message: string;
    /** For a configuration conflict: the version that was accepted first. */
    readonly version?: number;
    /** Delay after which a retry may succeed, in milliseconds; a default applies if it is omitted. */
    readonly retryAfterMs?: number;
}

/**
 * Creates an error.
 * @param message - What went wrong, with the relevant values; defaults to the meaning of the error kind.
 */
export function createError(kind: ErrorKind, message?: string): FleetError {
    return { kind, message: message ?? errorDefinitions[kind].meaning };
}

/**
 * Creates the error for a configuration change that conflicts with one accepted earlier.
 * @param version - The version that was accepted first.
 */
export function createConflictError(version: number): FleetError {
    return { kind: "configurationConflict", message: `another change was accepted first, as version ${version}; fetch that version, merge your change into it and apply it again`, version };
}

/** Returns the definition of an error's kind. */
export function getErrorDefinition(error: FleetError): ErrorDefinition {
    return errorDefinitions[error.kind];
}

/** Returns the message of a thrown value of any type, or the error code if the message is empty. */
export function getErrorMessage(thrown: unknown): string {
    if (!(thrown instanceof Error)) {
        return String(thrown);
    }
    return "code" in thrown && thrown.message === "" ? String(thrown.code) : thrown.message;
}
