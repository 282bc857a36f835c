/** One attempt of a request at one upstream. */

import * as http from "node:http";
import type * as net from "node:net";
import type * as admission from "../admission/index.js";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as headers from "./headers.js";
import type * as types from "./types.js";

/** The longest wait for a connection, in milliseconds; upstreams are milliseconds away, and one without power never answers. */
const connectTimeoutMs = 400;

const misdirected = "another upstream has its address";

/** The result of an attempt, up to the answer's header. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly response: http.IncomingMessage; }
    /** The upstream says that it has not run the request. */
    | { readonly kind: "shed"; readonly reason: string; }
    /** No connection was made, so nothing was sent. */
    | { readonly kind: "unreachable"; readonly reason: string; }
    /** Something was sent, and no answer came. */
    | { readonly kind: "lost"; readonly reason: string; }
    | { readonly kind: "timedOut"; }
    | { readonly kind: "cancelled"; readonly wasSent: boolean; };

/** Options of an attempt. */
export interface SendAttemptOptions {
    readonly context: context.Context;
    readonly slot: admission.Slot;
    readonly service: configuration.ServiceDefinition;
    readonly request: types.RoutedRequest;
    /** Keeps connections for later attempts; undefined opens one for this attempt alone. */
    readonly agent: http.Agent | undefined;
    readonly signal: AbortSignal;
    /** Headers that this attempt adds, as name and value in turn. */
    readonly extraHeaders?: readonly string[];
    /** Called when the answer shows that the upstream leaves, or that another one has its address. */
    readonly onLeaving: (reason: string) => void;
    /** Called repeatedly while there is no answer; returns the milliseconds until the next call, or that the attempt is over. */
    readonly getPatience: (ageMs: number) => number | "over";
}

interface Progress {
    wasSent: boolean;
    /** Called in place of sending when the connection comes after the deadline. */
    readonly onLate: () => void;
}

/**
 * Sends a request and waits for the answer's header.
 * @param options - The request and where it goes.
 * @remarks The connection of an attempt that is given up is destroyed, so that a late answer reaches nobody.
 */
export function sendAttempt(options: SendAttemptOptions): Promise<AttemptResult> {
    const { slot, service, signal, request } = options;
    return new Promise(resolve => {
        const progress: Progress = {
            wasSent: false,
            onLate: () => finish({ kind: "unreachable", reason: "the deadline passed before there was a connection" }, true),
        };
        const sent = createRequest(options, progress);
        const finish = (result: AttemptResult, destroys: boolean) => {
            stopWaiting();
            cancelConnect();
            signal.removeEventListener("abort", onAbort);
            if (destroys) {
                sent.destroy();
            }
            resolve(result);
        };
        const onAbort = () => finish({ kind: "cancelled", wasSent: progress.wasSent }, true);
        const stopWaiting = startWaiting(options, () => finish({ kind: "timedOut" }, true));
        const cancelConnect = options.context.loop.scheduleOnce(connectTimeoutMs, () => {
            if (!progress.wasSent) {
                finish({ kind: "unreachable", reason: `no connection within ${connectTimeoutMs} ms` }, true);
            }
        });
        signal.addEventListener("abort", onAbort, { once: true });
        sent.on("error", error => {
            const reason = errors.getThrownMessage(error);
            finish(progress.wasSent ? { kind: "lost", reason } : { kind: "unreachable", reason }, true);
        });
        sent.on("close", () => finish({ kind: "lost", reason: "the connection closed" }, false));
        sent.on("response", response => {
            responseIntegrity.watchResponse(sent, response);
            if (response.headers[service.drainingHeader] !== undefined) {
                options.onLeaving("it announced that it leaves");
            }
            const refusal = getRefusal(response, service);
            if (refusal === misdirected) {
                options.onLeaving(misdirected);
            }
            if (refusal !== undefined) {
                response.on("error", () => {});
                response.resume();
                finish({ kind: "shed", reason: refusal }, false);
                return;
            }
            const mismatch = getMismatch(response, service, request);
            if (mismatch !== undefined) {
                response.on("error", () => {});
                finish({ kind: "lost", reason: mismatch }, true);
                return;
            }
            slot.attempt.answeredAt = options.context.clock.getNow();
            const length = Number(response.headers["content-length"] ?? NaN);
            if (response.statusCode === 200 && Number.isFinite(length)) {
                slot.attempt.answerBytes = length;
            }
            finish({ kind: "answered", response }, false);
        });
        sent.end(request.body.length > 0 ? request.body : undefined);
    });
}

/** Returns why an answer proves that the request was not run; undefined where it does not. */
function getRefusal(response: http.IncomingMessage, service: configuration.ServiceDefinition): string | undefined {
    const { shed, identityHeader } = service;
    if (identityHeader !== undefined && response.statusCode === 421) {
        return misdirected;
    }
    const isStatus = shed.status === "any" || response.statusCode === shed.status;
    return isStatus && response.headers[shed.header] !== undefined ? `status ${response.statusCode} with ${shed.header}` : undefined;
}

/** Returns why an answer is not one to this request; undefined where it may be. */
function getMismatch(response: http.IncomingMessage, { echoHeader, sealHeader }: configuration.ServiceDefinition, request: types.RoutedRequest): string | undefined {
    if (echoHeader !== undefined) {
        const asked = headers.getHeaderValues(request.rawHeaders, echoHeader)[0];
        const echoed = response.headers[echoHeader];
        if (asked !== undefined && echoed !== asked) {
            return `the answer's ${echoHeader} is ${JSON.stringify(echoed)}, the request's ${JSON.stringify(asked)}`;
        }
    }
    const isSuccess = (response.statusCode ?? 0) < 300;
    if (sealHeader !== undefined && isSuccess && response.headers[sealHeader] === undefined) {
        return `a successful answer lacks ${sealHeader}`;
    }
    return undefined;
}

function createRequest(options: SendAttemptOptions, progress: Progress): http.ClientRequest {
    const { slot, request, service, context: shared } = options;
    const { host, port } = settings.parseAddress(slot.upstream.getAddress());
    const remainingMs = Math.max(1, Math.floor(request.deadlineAt - shared.clock.getNow()));
    const identity = service.identityHeader === undefined ? [] : [service.identityHeader, slot.upstream.getId()];
    const sent = http.request({
        host,
        port,
        method: request.method,
        path: request.path,
        agent: options.agent ?? false,
        headers: [
            ...headers.listEndToEndHeaders(request.rawHeaders, ["content-length", service.deadlineHeader, ...identity.slice(0, 1)]),
            ...createBodyHeaders(request),
            service.deadlineHeader,
            String(remainingMs),
            ...identity,
            ...options.extraHeaders ?? [],
            "Via",
            `1.1 ${shared.identity.instanceId}`,
            "Connection",
            options.agent === undefined ? "close" : "keep-alive",
        ],
    });
    sent.on("socket", (socket: net.Socket) => {
        if (!socket.connecting) {
            progress.wasSent = true;
            return;
        }
        // Runs before Node writes what waits for the connection, so that a process which stood still sends nothing late.
        socket.once("connect", () => {
            if (shared.clock.getNow() >= request.deadlineAt) {
                progress.onLate();
                return;
            }
            progress.wasSent = true;
        });
    });
    return sent;
}

function createBodyHeaders(request: types.RoutedRequest): readonly string[] {
    const mayHaveBody = request.body.length > 0 || !["GET", "HEAD", "DELETE"].includes(request.method);
    return mayHaveBody ? ["Content-Length", String(request.body.length)] : [];
}

/** Asks for patience again and again until the attempt is over; returns the function that stops it. */
function startWaiting(options: SendAttemptOptions, onOver: () => void): () => void {
    const { loop, clock } = options.context;
    let cancel = () => {};
    const checkPatience = () => {
        const patience = options.getPatience(clock.getNow() - options.slot.attempt.startedAt);
        if (patience === "over") {
            onOver();
            return;
        }
        cancel = loop.scheduleOnce(Math.max(1, patience), checkPatience);
    };
    checkPatience();
    return () => cancel();
}
