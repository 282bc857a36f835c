/** Sends one attempt of a request to one upstream and waits for the response headers. */

import * as http from "node:http";
import type * as net from "node:net";
import type * as admission from "../admission/index.js";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";
import * as drainBody from "./drainBody.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as headers from "./headers.js";
import * as responseHead from "./responseHead.js";
import * as retryAfter from "./retryAfter.js";
import type * as types from "./types.js";
import type * as upstreamAgent from "./upstreamAgent.js";

/** Connection timeout. Upstreams are a few milliseconds away, and a host without power never answers a connection attempt. */
const connectTimeoutMs = 400;

/** The maximum size of all that an upstream sends up to the end of a response's headers, interim responses and blank lines included. */
const maximumHeadBytes = 65_536;

const misdirectedReason = "another upstream now has its address";

/** The result of an attempt, up to the response headers. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly response: http.IncomingMessage; }
    /** The upstream rejected the request and states that it did not run it. */
    | { readonly kind: "shed"; readonly reason: string; }
    /** No connection was established, so nothing was sent. */
    | { readonly kind: "unreachable"; readonly reason: string; }
    /** The request was sent, and no valid response arrived. */
    | { readonly kind: "lost"; readonly reason: string; }
    /** `getWaitMs` ended the wait before the response headers arrived. */
    | { readonly kind: "timedOut"; }
    /** The signal was aborted. */
    | { readonly kind: "cancelled"; readonly wasSent: boolean; };

/** What a response says about the upstream itself. */
export type UpstreamNotice =
    /** The upstream is draining. */
    | { readonly kind: "draining"; }
    /** Its address now belongs to another upstream. */
    | { readonly kind: "misdirected"; }
    /** It is to be sent nothing for a time. */
    | { readonly kind: "pause"; readonly durationMs: number; };

/** Options of an attempt. */
export interface SendAttemptOptions {
    readonly context: context.Context;
    readonly slot: admission.Slot;
    readonly service: configuration.ServiceDefinition;
    readonly request: types.RoutedRequest;
    /** The pool of keep-alive connections; undefined opens a connection for this attempt alone. */
    readonly agent: upstreamAgent.UpstreamAgent | undefined;
    /** Creates the agent of a connection for this attempt alone; by default Node's. */
    readonly createSeparateAgent?: () => http.Agent;
    /** Returns whether the upstream's connections may be reused now. */
    readonly isReusable?: () => boolean;
    readonly signal: AbortSignal;
    /** Called with the request before it is sent. */
    readonly onCreated?: (sent: http.ClientRequest) => void;
    /** Called when the upstream may have received any of the request. */
    readonly onSent?: () => void;
    /** Headers that this attempt adds; names and values alternate. */
    readonly extraHeaders?: readonly string[];
    /** Called if the response says what the upstream wants of this instance, whatever the response's outcome is. */
    readonly onNotice: (notice: UpstreamNotice) => void;
    /** Called repeatedly until the response headers arrive. Returns the milliseconds until the next call, or that the attempt has timed out. */
    readonly getWaitMs: (ageMs: number) => number | "timedOut";
}

interface Progress {
    /** Whether the upstream may have received any of the request. */
    wasSent: boolean;
    /** Called instead of sending if the connection is established after the deadline. */
    readonly onConnectedAfterDeadline: () => void;
}

/**
 * Sends a request and waits for the response headers.
 * @param options - The request and its destination.
 * @remarks The connection of an abandoned attempt is destroyed, so that a late response cannot be taken for that of
 * another request.
 */
export function sendAttempt(options: SendAttemptOptions): Promise<AttemptResult> {
    const { slot, service, signal, request } = options;
    return new Promise(resolve => {
        const progress: Progress = {
            wasSent: false,
            onConnectedAfterDeadline: () => finish({ kind: "unreachable", reason: "the deadline passed before the connection was established" }, true),
        };
        const sent = createRequest(options, progress);
        const finish = (result: AttemptResult, destroys: boolean) => {
            stopTimeoutChecks();
            cancelConnect();
            signal.removeEventListener("abort", onAbort);
            if (destroys) {
                sent.destroy();
            }
            resolve(result);
        };
        const onAbort = () => finish({ kind: "cancelled", wasSent: progress.wasSent }, true);
        const stopTimeoutChecks = startTimeoutChecks(options, () => finish({ kind: "timedOut" }, true));
        const cancelConnect = options.context.loop.scheduleOnce(connectTimeoutMs, () => {
            if (!progress.wasSent) {
                finish({ kind: "unreachable", reason: `no connection within ${connectTimeoutMs} ms` }, true);
            }
        }, { readsInputFirst: true });
        signal.addEventListener("abort", onAbort, { once: true });
        sent.on("error", error => {
            const reason = errors.getErrorMessage(error);
            finish(progress.wasSent ? { kind: "lost", reason } : { kind: "unreachable", reason }, true);
        });
        sent.on("close", () => finish({ kind: "lost", reason: "the connection closed" }, false));
        watchHeadBytes(sent, () => finish({ kind: "lost", reason: `no response within the first ${maximumHeadBytes} bytes` }, true));
        sent.on("information", ({ httpVersion }) => {
            const reason = responseHead.getVersionFault(httpVersion);
            if (reason !== undefined) {
                finish({ kind: "lost", reason }, true);
            }
        });
        sent.on("response", response => {
            responseIntegrity.watchResponse(sent, response);
            options.agent?.watchResponse(response, slot.upstream);
            if (sent.reusedSocket && options.isReusable?.() === false) {
                response.on("error", () => {});
                finish({ kind: "lost", reason: "the upstream has sent stray bytes, so this response on a reused connection may belong to another request" }, true);
                return;
            }
            // Without a status line of HTTP/1, the headers say nothing either, such as that the request was not executed.
            const mismatchReason = responseHead.getStatusLineFault(response) ?? getEchoMismatchReason(response, service, request);
            if (mismatchReason !== undefined) {
                response.on("error", () => {});
                finish({ kind: "lost", reason: mismatchReason }, true);
                return;
            }
            const rejectionReason = getRejectionReason(response, service);
            listNotices(response, service, rejectionReason).forEach(options.onNotice);
            if (rejectionReason !== undefined) {
                drainBody.drainBody(response, options.context.loop);
                finish({ kind: "shed", reason: rejectionReason }, false);
                return;
            }
            const unsealedReason = getUnsealedReason(response, service) ?? responseHead.getHeaderFault(response);
            if (unsealedReason !== undefined) {
                response.on("error", () => {});
                finish({ kind: "lost", reason: unsealedReason }, true);
                return;
            }
            slot.attempt.respondedAt = options.context.clock.getNow();
            const length = Number(response.headers["content-length"] ?? NaN);
            if (response.statusCode === 200 && Number.isFinite(length)) {
                slot.attempt.responseBytes = length;
            }
            finish({ kind: "answered", response }, false);
        });
        sent.end(request.body.length > 0 ? request.body : undefined);
    });
}

/** Returns why a response proves that the upstream did not run the request; undefined if it does not prove that. */
function getRejectionReason(response: http.IncomingMessage, service: configuration.ServiceDefinition): string | undefined {
    const { shed, identityHeader } = service;
    if (identityHeader !== undefined && response.statusCode === 421) {
        return misdirectedReason;
    }
    const hasShedStatus = shed.status === "any" || response.statusCode === shed.status;
    return hasShedStatus && response.headers[shed.header] !== undefined ? `status ${response.statusCode} with ${shed.header}` : undefined;
}

function listNotices(response: http.IncomingMessage, service: configuration.ServiceDefinition, rejectionReason: string | undefined): readonly UpstreamNotice[] {
    const pauseMs = response.statusCode === 503 ? retryAfter.parseRetryAfter(response.headers["retry-after"]) : undefined;
    return [
        ...(response.headers[service.drainingHeader] === undefined ? [] : [{ kind: "draining" as const }]),
        ...(rejectionReason === misdirectedReason ? [{ kind: "misdirected" as const }] : []),
        ...(pauseMs === undefined ? [] : [{ kind: "pause" as const, durationMs: pauseMs }]),
    ];
}

/** Returns why a response belongs to another request; undefined if it may belong to this one. */
function getEchoMismatchReason(response: http.IncomingMessage, { echoHeader }: configuration.ServiceDefinition, request: types.RoutedRequest): string | undefined {
    if (echoHeader === undefined) {
        return undefined;
    }
    const expected = headers.getHeaderValues(request.rawHeaders, echoHeader)[0];
    const echoed = response.headers[echoHeader];
    return expected === undefined || echoed === expected ? undefined : `the response header ${echoHeader} is ${JSON.stringify(echoed)}, expected ${JSON.stringify(expected)}`;
}

/** Returns why a success did not come from the service; undefined if it did, or if the response is no success. */
function getUnsealedReason(response: http.IncomingMessage, { sealHeader }: configuration.ServiceDefinition): string | undefined {
    const isSuccess = (response.statusCode ?? 0) < 300;
    return sealHeader !== undefined && isSuccess && response.headers[sealHeader] === undefined ? `a successful response lacks the header ${sealHeader}` : undefined;
}

function createRequest(options: SendAttemptOptions, progress: Progress): http.ClientRequest {
    const { slot, request, service, context } = options;
    const { host, port } = settings.parseAddress(slot.upstream.getAddress());
    const remainingMs = Math.max(1, Math.floor(request.deadlineAt - context.clock.getNow()));
    const { workspaceHeader } = service;
    const identity = service.identityHeader === undefined ? [] : [service.identityHeader, slot.upstream.getId()];
    const requestOptions: upstreamAgent.UpstreamRequestOptions = {
        upstream: slot.upstream,
        connectionId: options.isReusable?.() === false ? options.agent?.createConnectionId() : undefined,
        host,
        port,
        method: request.method,
        path: request.path,
        agent: options.agent ?? options.createSeparateAgent?.() ?? false,
        headers: [
            ...headers.listEndToEndHeaders(request.rawHeaders, [
                "content-length",
                service.deadlineHeader,
                ...identity.slice(0, 1),
                ...(request.hasKeys ? ["authorization"] : []),
                ...(workspaceHeader === undefined ? [] : [workspaceHeader]),
            ]),
            ...createBodyHeaders(request),
            service.deadlineHeader,
            String(remainingMs),
            ...identity,
            ...(workspaceHeader === undefined || !request.hasKeys || request.workspace === "" ? [] : [workspaceHeader, request.workspace]),
            ...options.extraHeaders ?? [],
            "Via",
            `1.1 ${context.identity.instanceId}`,
            "Connection",
            options.agent === undefined ? "close" : "keep-alive",
        ],
    };
    const sent = http.request(requestOptions);
    options.onCreated?.(sent);
    const setSent = () => {
        progress.wasSent = true;
        options.onSent?.();
    };
    sent.on("socket", (socket: net.Socket) => {
        if (!socket.connecting) {
            setSent();
            return;
        }
        // This listener runs before Node writes the buffered request, so a process that was suspended while connecting
        // sends nothing after the deadline.
        socket.once("connect", () => {
            if (context.clock.getNow() >= request.deadlineAt) {
                progress.onConnectedAfterDeadline();
                return;
            }
            setSent();
        });
    });
    return sent;
}

/** Node limits the headers of each response, but neither the number of interim responses nor the blank lines before a response. */
function watchHeadBytes(sent: http.ClientRequest, onExceeded: () => void): void {
    sent.once("socket", (socket: net.Socket) => {
        let bytes = 0;
        const onData = (data: Buffer) => {
            bytes += data.length;
            if (bytes > maximumHeadBytes) {
                onExceeded();
            }
        };
        // Node's own listener comes first, so the data that completes the headers is not counted.
        const stop = () => socket.off("data", onData);
        socket.on("data", onData);
        sent.once("response", stop);
        sent.once("close", stop);
    });
}

function createBodyHeaders(request: types.RoutedRequest): readonly string[] {
    const mayHaveBody = request.body.length > 0 || !["GET", "HEAD", "DELETE"].includes(request.method);
    return mayHaveBody ? ["Content-Length", String(request.body.length)] : [];
}

/** Calls `getWaitMs` repeatedly until the attempt times out, first after the current task. Returns a function that stops the checks. */
function startTimeoutChecks(options: SendAttemptOptions, onTimeout: () => void): () => void {
    const { loop, clock } = options.context;
    let cancel = () => {};
    const checkTimeout = () => {
        const waitMs = options.getWaitMs(clock.getNow() - options.slot.attempt.startedAt);
        if (waitMs === "timedOut") {
            onTimeout();
            return;
        }
        cancel = loop.scheduleOnce(Math.max(1, waitMs), checkTimeout, { readsInputFirst: true });
    };
    queueMicrotask(checkTimeout);
    return () => cancel();
}
