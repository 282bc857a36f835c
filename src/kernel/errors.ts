/** The closed list of error kinds, and the one table from a kind to the answers that callers and operators see. */

/** Whether a request has run at an upstream, as told to its caller. */
export type Outcome = "executed" | "not-executed" | "unknown";

/** The RPC codes that operators see, as Connect names them. */
export type RpcCode = "InvalidArgument" | "NotFound" | "FailedPrecondition" | "Unavailable" | "ResourceExhausted" | "DeadlineExceeded" | "Canceled" | "Unknown" | "Aborted" | "Unauthenticated" | "Internal";

/** What a caller or operator may do after an error. */
export type RetryAdvice = "no" | "later" | "otherInstance" | "sameKey";

/** The answer to one kind of error. */
export interface ErrorDefinition {
    /** The HTTP status that a caller sees. */
    readonly status: number;
    /** The RPC code that an operator sees. */
    readonly code: RpcCode;
    /** What a caller is told about the request's execution. */
    readonly outcome: Outcome;
    /** What helps. */
    readonly retry: RetryAdvice;
    /** When the kind arises, in one sentence. */
    readonly meaning: string;
}

function createDefinition(status: number, code: RpcCode, outcome: Outcome, retry: RetryAdvice, meaning: string): ErrorDefinition {
    return { status, code, outcome, retry, meaning };
}

/** The table from error kind to answer. */
export const errorDefinitions = {
    badRequest: createDefinition(400, "InvalidArgument", "not-executed", "no", "A header, parameter or field of the request is invalid."),
    routeNotFound: createDefinition(404, "NotFound", "not-executed", "no", "No route matches the method and path."),
    featureRetired: createDefinition(410, "FailedPrecondition", "not-executed", "no", "The request's feature is retired."),
    bodyTooLarge: createDefinition(413, "InvalidArgument", "not-executed", "no", "The request body is larger than the limit."),
    notConfigured: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance has no configuration yet."),
    configurationStale: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance hears neither the store nor half of its peers, so a newer configuration may be in force."),
    draining: createDefinition(503, "Unavailable", "not-executed", "otherInstance", "The instance is stopping and takes no new requests."),
    overloaded: createDefinition(503, "ResourceExhausted", "not-executed", "later", "The queue of the request's rank is full."),
    deadlineBeforeSend: createDefinition(503, "DeadlineExceeded", "not-executed", "later", "The deadline passed, or could not be met, before the request was sent."),
    upstreamUnavailable: createDefinition(503, "Unavailable", "not-executed", "later", "No upstream could be reached, and none was sent the request."),
    deadlineAfterSend: createDefinition(504, "DeadlineExceeded", "unknown", "sameKey", "The deadline passed after the request was sent to an upstream."),
    answerLost: createDefinition(502, "Unavailable", "unknown", "sameKey", "The request was sent to an upstream, and its answer was lost, broken or a gateway error."),
    callerGone: createDefinition(499, "Canceled", "not-executed", "no", "The caller left before the request was sent."),
    orderKeyMissing: createDefinition(400, "InvalidArgument", "not-executed", "no", "The route needs an order key and the request has none."),
    orderKeyInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "The order key is malformed, or its prefix was not issued by the instance it names."),
    orderKeyReused: createDefinition(422, "InvalidArgument", "unknown", "no", "The order key was used before for a different request."),
    orderKeyExpired: createDefinition(409, "FailedPrecondition", "unknown", "no", "The order key has expired and its outcome is no longer kept."),
    refusedRepeat: createDefinition(409, "FailedPrecondition", "unknown", "no", "The request was refused, and an earlier one with the same order key may have run."),
    orderOwnerUnreachable: createDefinition(503, "Unavailable", "unknown", "sameKey", "The instance that owns the order key cannot be reached from here."),
    orderAnswerNotKept: createDefinition(409, "FailedPrecondition", "executed", "no", "The order ran, and its answer was too large to keep for a repeat."),
    orderLedgerFull: createDefinition(503, "ResourceExhausted", "unknown", "sameKey", "The instance holds as many order keys as it may; this request was not sent, but a repeat of it may run later."),
    storeUnavailable: createDefinition(503, "Unavailable", "unknown", "later", "The platform's store did not answer; this request was not sent, but an earlier one with the same key may have run."),
    changeUnresolved: createDefinition(504, "Unknown", "unknown", "sameKey", "The store may or may not have taken the change; repeating it with the same change identifier is safe."),
    configurationInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "The configuration document is invalid."),
    configurationElsewhere: createDefinition(409, "FailedPrecondition", "not-executed", "no", "The configuration is written by another program in the store, not by the operators' calls."),
    configurationConflict: createDefinition(409, "Aborted", "not-executed", "no", "Another change was accepted first."),
    instanceUnknown: createDefinition(404, "NotFound", "not-executed", "no", "No such instance is known."),
    upstreamUnknown: createDefinition(404, "NotFound", "not-executed", "no", "No such upstream is configured."),
    unauthorized: createDefinition(401, "Unauthenticated", "not-executed", "no", "The shared secret is missing or wrong."),
    settingInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "A setting is invalid; the process exits with status 2."),
    peerUnreachable: createDefinition(503, "Unavailable", "unknown", "later", "A peer did not answer in time, or no link to it is open."),
    frameInvalid: createDefinition(400, "InvalidArgument", "not-executed", "no", "A peer sent a malformed, oversized or unexpected frame; the link is closed."),
    internal: createDefinition(500, "Internal", "unknown", "no", "A fault of the program."),
} as const satisfies Record<string, ErrorDefinition>;

/** The closed list of error kinds. */
export type ErrorKind = keyof typeof errorDefinitions;

/** An error of any part of the program. */
export interface FleetError {
    /** The kind, a key of `answers`. */
    readonly kind: ErrorKind;
    /** The fact and its values, for a person. */
    readonly message: string;
    /** The configuration version that a conflicting change lost to. */
    readonly version?: number;
    /** When a repeat may be of use, in milliseconds from now; the answer's default where it is missing. */
    readonly retryAfterMs?: number;
}

/**
 * Creates an error.
 * @param kind - The kind.
 * @param message - The fact and its values; the table's meaning where omitted.
 */
export function createError(kind: ErrorKind, message?: string): FleetError {
    return { kind, message: message ?? errorDefinitions[kind].meaning };
}

/**
 * Creates the error of a change that lost to another.
 * @param version - The version it lost to.
 */
export function createConflictError(version: number): FleetError {
    return { kind: "configurationConflict", message: `another change was accepted first, as version ${version}; get it, merge and apply again`, version };
}

/**
 * Returns the answer to an error.
 * @param error - The error.
 */
export function getErrorDefinition(error: FleetError): ErrorDefinition {
    return errorDefinitions[error.kind];
}

/**
 * Reads the text of whatever was thrown.
 * @param thrown - The thrown value.
 */
export function getErrorMessage(thrown: unknown): string {
    if (!(thrown instanceof Error)) {
        return String(thrown);
    }
    return "code" in thrown && thrown.message === "" ? String(thrown.code) : thrown.message;
}
