/** Forwards an order to the instance that owns its key. */

import * as http from "node:http";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as requests from "../requests/index.js";
import * as settings from "../settings/index.js";
import type * as orderLedger from "./orderLedger.js";

/** Timeout of the connection to the owner. */
const connectTimeoutMs = 1_000;
/** How long past the deadline the owner's response is awaited. */
const responseGraceMs = 500;

const errorBodySchema = z.object({ message: z.string() });

/** Options of forwarding an order. */
export interface ForwardOrderOptions {
    readonly context: context.Context;
    readonly request: requests.RoutedRequest;
    readonly key: string;
    /** The address at which the owner accepts requests from callers. */
    readonly address: string;
}

/**
 * Forwards an order and returns the owner's result.
 * @param options - The order and its owner.
 * @remarks If forwarding fails, the outcome is unknown, because the owner may already have run an order with this key. Once
 * the owner may have received this request, the status of the error must not say either that it has not run.
 */
export function forwardOrder(options: ForwardOrderOptions): Promise<orderLedger.OrderResult> {
    const { context, request, address } = options;
    const { loop, clock, settings: currentSettings } = context;
    const remainingMs = request.deadlineAt - clock.getNow();
    return new Promise(resolve => {
        let wasSent = false;
        const reject = (reason: string) => resolve({ kind: "error", attempts: 0, error: errors.createError(wasSent ? "answerLost" : "orderOwnerUnreachable", `the order key's owner at ${address}: ${reason}`) });
        const sent = http.request({ ...settings.parseAddress(address), method: request.method, path: request.path, agent: false, headers: createHeaders(options, remainingMs) });
        const cancelDeadline = loop.scheduleOnce(remainingMs + responseGraceMs, () => sent.destroy(new Error("no response within the deadline")), { readsInputFirst: true });
        const cancelConnect = loop.scheduleOnce(connectTimeoutMs, () => sent.destroy(new Error(`no connection within ${connectTimeoutMs} ms`)), { readsInputFirst: true });
        sent.on("socket", socket =>
            socket.once("connect", () => {
                wasSent = true;
                cancelConnect();
            }));
        sent.on("error", error => reject(errors.getErrorMessage(error)));
        sent.on("close", () => {
            cancelDeadline();
            cancelConnect();
        });
        sent.on("response", response => {
            const fault = requests.getStatusLineFault(response) ?? requests.getHeaderFault(response);
            if (fault !== undefined) {
                response.on("error", () => {});
                sent.destroy();
                reject(fault);
                return;
            }
            void requests.readResponse({ context, response, maximumBytes: currentSettings.requestBodyBytes, reservation: request.reservation, readUntil: request.deadlineAt + responseGraceMs }).then(read => {
                if (read.isErr()) {
                    reject(`its response could not be read: ${read.error}`);
                    return;
                }
                resolve(parseResult(read.value));
            });
        });
        sent.end(request.body);
    });
}

function createHeaders({ context, request, key }: ForwardOrderOptions, remainingMs: number): string[] {
    const { fleetHeaders } = requests;
    const replacedHeaders = [fleetHeaders.workspace, fleetHeaders.feature, request.deadlineHeader, fleetHeaders.orderKey, fleetHeaders.forwardedBy] as string[];
    return [
        ...requests.listEndToEndHeaders(request.rawHeaders, ["content-length", ...replacedHeaders]),
        "Content-Length",
        String(request.body.length),
        "Connection",
        "close",
        ...(request.workspace === "" ? [] : [fleetHeaders.workspace, request.workspace]),
        ...(request.feature === undefined ? [] : [fleetHeaders.feature, request.feature]),
        request.deadlineHeader,
        String(Math.max(1, Math.floor(remainingMs))),
        fleetHeaders.orderKey,
        key,
        fleetHeaders.forwardedBy,
        context.identity.instanceId,
    ];
}

/** Parses the owner's response. The outcome is unknown if the response does not state it. */
function parseResult(response: requests.BufferedResponse): orderLedger.OrderResult {
    const [errorKind] = requests.getHeaderValues(response.rawHeaders, requests.fleetHeaders.error);
    if (errorKind !== undefined && Object.hasOwn(errors.errorDefinitions, errorKind)) {
        return { kind: "error", error: errors.createError(errorKind as errors.ErrorKind, parseErrorMessage(response.body)), attempts: 0 };
    }
    const [outcomeText] = requests.getHeaderValues(response.rawHeaders, requests.fleetHeaders.outcome);
    const outcome = outcomeText === "executed" || outcomeText === "not-executed" ? outcomeText : "unknown";
    return { kind: "answer", outcome, response, attempts: 0 };
}

function parseErrorMessage(body: Buffer): string | undefined {
    return boundedJson.parseJson(body.toString()).map(value => errorBodySchema.safeParse(value).data?.message).unwrapOr(undefined);
}
