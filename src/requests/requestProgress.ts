/** What a request waits for while it is handled, for the log of requests that a shutdown cuts. */

/** An attempt in progress. */
export interface CurrentAttempt {
    readonly upstream: string;
    /** The upstream's load and health estimate when it was chosen. */
    readonly upstreamSummary: string;
    readonly queuedMs: number;
    /** When the attempt got its slot, in monotonic milliseconds. */
    readonly startedAt: number;
}

/** What a request waits for. */
export type RequestWait =
    /** The rest of its body. */
    | { readonly kind: "callerBody"; }
    /** The store's answer to the claim of its order key. */
    | { readonly kind: "orderKeyClaim"; }
    /** The response of the instance that owns its order key. */
    | { readonly kind: "orderKeyOwner"; }
    /** The result of an earlier request with its order key. */
    | { readonly kind: "earlierRequest"; }
    | { readonly kind: "slot"; }
    /** The connection to an upstream, which has received nothing of the request. */
    | { readonly kind: "upstreamConnection"; readonly attempt: CurrentAttempt; }
    /** The response headers; the upstream may have received the request. */
    | { readonly kind: "upstreamHead"; readonly attempt: CurrentAttempt; }
    | { readonly kind: "upstreamBody"; readonly attempt: CurrentAttempt; }
    /** The next attempt after one that failed. */
    | { readonly kind: "retry"; }
    /** The caller, which has not taken the response so far. */
    | { readonly kind: "callerReading"; };

/** Records how far the handling of a request has come. */
export class RequestProgress {
    private wait: RequestWait = { kind: "slot" };
    private attempts = 0;

    /** Returns what the request waits for. */
    getWait(): RequestWait {
        return this.wait;
    }

    /** Records what the request waits for from now on. */
    setWait(wait: RequestWait): void {
        this.wait = wait;
    }

    /** Records that an attempt has got its slot. */
    recordAttempt(attempt: CurrentAttempt): void {
        this.attempts += 1;
        this.wait = { kind: "upstreamConnection", attempt };
    }

    /** Returns the number of attempts that have got a slot, the current one included. */
    countAttempts(): number {
        return this.attempts;
    }
}
