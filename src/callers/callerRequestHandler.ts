/** Handles callers' requests: entries answers, and requests on their way to upstreams. */

import type * as http from "node:http";
import * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as kernel from "../kernel/kernel.js";
import type * as orders from "../orders/index.js";
import type * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as responses from "./responses.js";
import * as callerMetrics from "./callerMetrics.js";
import * as entryPoints from "./entryPoints.js";
import * as parseRequest from "./parseRequest.js";
import * as readBody from "./readBody.js";
import * as requestLog from "./requestLog.js";
import * as retiredFeatureCalls from "./retiredFeatureCalls.js";

/** How long beyond the deadline an order's own answer is waited for, in milliseconds. */
const orderGraceMs = 100;
const entriesPath = "/v1/entries";

/** Options of the handler. */
export interface CreateCallerRequestHandlerOptions {
    readonly context: context.Context;
    readonly configuration: configuration.ConfigurationService;
    readonly mesh: peers.Mesh;
    readonly executor: requests.ExecutorContext;
    readonly orders: orders.OrderService;
    readonly lifecycle: kernel.Lifecycle;
}

/** Handles the requests of the callers' port. */
export class CallerRequestHandler {
    private readonly metrics: callerMetrics.CallerMetrics;
    private readonly bodies: readBody.BodyReader;
    private readonly retired = new retiredFeatureCalls.RetiredFeatureCallCounter();
    private readonly splitter: configuration.RouteSplitter;
    private readonly log: requestLog.RequestLog;
    private inFlight = 0;

    constructor(private readonly options: CreateCallerRequestHandlerOptions) {
        this.metrics = new callerMetrics.CallerMetrics(options.context);
        this.bodies = new readBody.BodyReader(options.context);
        this.log = new requestLog.RequestLog(options.context);
        this.splitter = new configuration.RouteSplitter(options.context.randomness);
    }

    /** Returns the requests under way. */
    countInFlightRequests(): number {
        return this.inFlight;
    }

    /** Returns the refused calls of retired features. */
    listRetiredFeatureCalls(): readonly retiredFeatureCalls.RetiredFeatureCalls[] {
        return this.retired.listCalls();
    }

    /**
     * Handles a request.
     * @param request - The request.
     * @param response - Its answer.
     */
    async handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.inFlight += 1;
        try {
            if (!this.handleEntriesRequest(request, response)) {
                await this.handleProxied(request, response);
            }
        }
        catch (thrown) {
            this.options.context.logger.writeError("request-failed", "handling a request threw", { error: errors.getErrorMessage(thrown) });
            responses.writeErrorResponse(response, errors.createError("internal"), this.options.context);
            response.destroy();
        }
        finally {
            this.inFlight -= 1;
        }
    }

    /**
     * Answers where callers should connect; returns whether the request asks for that.
     * @param request - The request.
     * @param response - Its answer.
     */
    handleEntriesRequest(request: http.IncomingMessage, response: http.ServerResponse): boolean {
        const isEntries = request.method === "GET" && (request.url === entriesPath || request.url?.startsWith(`${entriesPath}?`) === true);
        if (isEntries) {
            this.answerEntries(request, response);
        }
        return isEntries;
    }

    /** Returns whether callers may be sent here. */
    isReady(): boolean {
        const { lifecycle, configuration: configurations } = this.options;
        return lifecycle.getState() === "running" && configurations.getCurrent() !== undefined && !configurations.isStale();
    }

    private answerEntries(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { mesh, orders: orderService, configuration: configurations, lifecycle, context: { settings } } = this.options;
        const query = new URL(request.url ?? "", "http://fleet").searchParams;
        const isRunning = lifecycle.getState() === "running" && !configurations.isStale();
        const prefix = isRunning ? orderService.createPrefix() : undefined;
        const listed = entryPoints.listEntryPoints({ members: mesh.listMembers(), workspace: query.get("workspace") ?? "", failureDomain: query.get("failureDomain") ?? "" });
        responses.writeJsonResponse(response, {
            entries: listed,
            addresses: entryPoints.listPreferredAddresses(listed, query.get("failureDomain") ?? ""),
            keepForMs: settings.entriesTtlMs,
            keepForS: settings.entriesTtlMs / 1_000,
            orderKeyPrefix: prefix?.prefix,
            orderKeyPrefixValidMs: prefix?.validMs,
            configurationVersion: configurations.getCurrent()?.head.version ?? 0,
        });
    }

    private async handleProxied(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const { context: shared } = this.options;
        const startedAt = shared.clock.getNow();
        const keyText = parseRequest.parseSingleHeader(request, requests.fleetHeaders.orderKey);
        if (keyText.isErr()) {
            request.resume();
            // Either of two keys may have been used before, so nothing is said of them.
            responses.writeErrorResponse(response, errors.createError("refusedRepeat", keyText.error.message), shared);
            return;
        }
        const compiled = this.options.configuration.getCurrent();
        const refusal = checkEncoding(request) ?? this.getRefusal(request, compiled);
        if (compiled === undefined || refusal !== undefined) {
            await this.rejectRequest(request, response, keyText.value, refusal ?? errors.createError("notConfigured"));
            return;
        }
        const parsed = parseRequest.parseRequest(request, compiled);
        if (parsed.isErr()) {
            await this.rejectRequest(request, response, keyText.value, parsed.error);
            return;
        }
        const { feature, workspace, requestId } = parsed.value;
        const route = this.splitter.chooseRoute(parsed.value.route);
        if (this.isRetired(feature)) {
            await this.rejectRetired(request, response, keyText.value, parsed.value);
            return;
        }
        const body = await this.bodies.readBody(request, compiled.document.limits.bodyBytes);
        if (body.isErr()) {
            await this.rejectRequest(request, response, keyText.value, body.error);
            return;
        }
        const fleetRequest: requests.RoutedRequest = {
            method: request.method ?? "",
            path: request.url ?? "",
            rawHeaders: request.rawHeaders,
            body: body.value.body,
            route,
            workspace,
            feature,
            deadlineAt: startedAt + Math.min(parsed.value.deadlineMs, route.timeoutMs ?? Infinity),
            requestId,
            deadlineHeader: compiled.document.callerHeaders.deadline,
            isOutcomeKept: false,
            trail: [],
            signal: createCallerSignal(response),
        };
        try {
            await this.runRequest(request, response, fleetRequest, keyText.value, startedAt);
        }
        finally {
            body.value.release();
        }
    }

    private async runRequest(request: http.IncomingMessage, response: http.ServerResponse, fleetRequest: requests.RoutedRequest, keyText: string | undefined, startedAt: number): Promise<void> {
        const { context: shared, executor, orders: orderService } = this.options;
        const { route } = fleetRequest;
        // The configuration may have changed while the body came, so the feature is looked at again.
        if (this.isRetired(fleetRequest.feature)) {
            await this.rejectRetired(request, response, keyText, fleetRequest);
            return;
        }
        if (route.repeatable) {
            const summary = await requests.runWithRetries(executor, fleetRequest, response);
            if (summary.error !== undefined) {
                responses.writeErrorResponse(response, summary.error, shared, summary.attempts);
            }
            this.recordEnd(fleetRequest, startedAt, summary);
            return;
        }
        const forwardedBy = requests.getHeaderValues(request.rawHeaders, requests.fleetHeaders.forwardedBy)[0];
        const kept = await this.waitForOutcome(orderService.runOrder(fleetRequest, keyText, forwardedBy), fleetRequest.deadlineAt);
        responses.writeOrderResult(response, kept, shared);
        const outcome = kept.kind === "answer" ? kept.outcome : errors.getErrorDefinition(kept.error).outcome;
        this.recordEnd(fleetRequest, startedAt, { outcome, status: response.statusCode, attempts: kept.attempts, error: kept.kind === "error" ? kept.error : undefined, body: "none" });
    }

    private recordEnd(request: requests.RoutedRequest, startedAt: number, end: Pick<requests.ExecutionSummary, "outcome" | "status" | "attempts" | "error" | "body">): void {
        const { route: { name: route, service, rank }, requestId, trail } = request;
        const latencyMs = this.options.context.clock.getNow() - startedAt;
        const { outcome, status, attempts, error, body } = end;
        this.metrics.recordRequest({ service, rank, outcome, status, latencyMs });
        this.log.writeCompletedRequest({
            requestId,
            route,
            service,
            rank,
            status,
            outcome,
            attempts,
            trail,
            latencyMs,
            deadlineMs: request.deadlineAt - startedAt,
            configurationVersion: this.options.configuration.getCurrent()?.head.version ?? 0,
            error,
            body,
        });
    }

    /** Waits for an order's outcome until the caller's deadline; the order itself goes on. */
    private waitForOutcome(outcome: Promise<orders.OrderResult>, deadlineAt: number): Promise<orders.OrderResult> {
        const { loop, clock } = this.options.context;
        return new Promise((resolve, reject) => {
            const delayMs = Math.max(0, deadlineAt - clock.getNow()) + orderGraceMs;
            const cancel = loop.scheduleOnce(delayMs, () => resolve({ kind: "error", error: errors.createError("deadlineAfterSend", "the deadline passed; a repeat with the same order key is told the outcome"), attempts: 0 }));
            outcome.then(resolve, reject).finally(cancel);
        });
    }

    /** Refuses a request; one with an order key is told the truth about its key. */
    private async rejectRequest(request: http.IncomingMessage, response: http.ServerResponse, keyText: string | undefined, error: errors.FleetError): Promise<void> {
        request.resume();
        this.metrics.recordRefusal(error.kind);
        const current = this.options.configuration.getCurrent();
        this.log.writeRefusedRequest(parseRequest.parseRequestId(request, current), error, current?.head.version ?? 0);
        if (error.kind === "bodyTooLarge" || error.kind === "badRequest") {
            response.setHeader("connection", "close");
        }
        const kept = keyText === undefined ? undefined : await this.options.orders.resolveRefusal(keyText, error);
        if (kept !== undefined) {
            responses.writeOrderResult(response, kept, this.options.context);
            return;
        }
        responses.writeErrorResponse(response, error, this.options.context);
    }

    private getRefusal(request: http.IncomingMessage, compiled: configuration.CompiledConfiguration | undefined): errors.FleetError | undefined {
        if (compiled === undefined) {
            return errors.createError("notConfigured");
        }
        if (this.options.configuration.isStale()) {
            return errors.createError("configurationStale");
        }
        return undefined;
    }

    private isRetired(feature: string | undefined): boolean {
        return feature !== undefined && this.options.configuration.getCurrent()?.retiredFeatures.has(feature) === true;
    }

    private async rejectRetired(request: http.IncomingMessage, response: http.ServerResponse, keyText: string | undefined, { feature, workspace }: Pick<requests.RoutedRequest, "feature" | "workspace">): Promise<void> {
        const agent = (request.headers["user-agent"] ?? "").slice(0, 80);
        this.retired.recordCall({
            feature: feature ?? "",
            workspace,
            caller: `${request.socket.remoteAddress ?? ""} ${agent}`.trim(),
            lastWallTimeMs: this.options.context.clock.getWallTime(),
        });
        await this.rejectRequest(request, response, keyText, errors.createError("featureRetired", `the feature ${feature} is retired`));
    }
}

/** Refuses an encoding whose end two servers might see in different places. */
function checkEncoding(request: http.IncomingMessage): errors.FleetError | undefined {
    const encoding = request.headers["transfer-encoding"];
    const isGood = encoding === undefined || encoding.toLowerCase() === "chunked";
    return isGood ? undefined : errors.createError("badRequest", `the header transfer-encoding must be chunked or absent, not ${JSON.stringify(encoding.slice(0, 40))}`);
}

/** Creates a signal that is aborted when the caller's connection closes before the answer is complete. */
function createCallerSignal(response: http.ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
