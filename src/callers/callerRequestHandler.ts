/** Handles callers' requests: passes those for the fleet's entry points on, and proxies all others to upstreams. */

import type * as http from "node:http";
import * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as kernel from "../kernel/kernel.js";
import type * as orders from "../orders/index.js";
import type * as quotas from "../quotas/index.js";
import * as requests from "../requests/index.js";
import * as workspaces from "../workspaces/index.js";
import * as responses from "./responses.js";
import * as callerMetrics from "./callerMetrics.js";
import type * as entriesHandler from "./entriesHandler.js";
import type * as inFlightRequests from "./inFlightRequests.js";
import * as parseRequest from "./parseRequest.js";
import * as readBody from "./readBody.js";
import * as requestLog from "./requestLog.js";
import * as retiredFeatureCalls from "./retiredFeatureCalls.js";

/** How long after a caller's deadline the handler still waits for the result of the order, in milliseconds. */
const orderResultGraceMs = 100;

/** Options of the request handler. */
export interface CreateCallerRequestHandlerOptions {
    readonly context: context.Context;
    readonly configuration: configuration.ConfigurationService;
    readonly entries: entriesHandler.EntriesHandler;
    readonly executor: requests.ExecutorContext;
    readonly orders: orders.OrderService;
    readonly quotas: quotas.QuotaService;
    readonly lifecycle: kernel.Lifecycle;
    readonly inFlight: inFlightRequests.InFlightRequests;
}

/** Handles the requests that arrive at the caller port. */
export class CallerRequestHandler {
    private readonly metrics: callerMetrics.CallerMetrics;
    private readonly retiredFeatureCallCounter = new retiredFeatureCalls.RetiredFeatureCallCounter();
    private readonly routeSplitter: configuration.RouteSplitter;
    private readonly requestLog: requestLog.RequestLog;

    constructor(private readonly options: CreateCallerRequestHandlerOptions) {
        this.metrics = new callerMetrics.CallerMetrics(options.context);
        this.requestLog = new requestLog.RequestLog(options.context);
        this.routeSplitter = new configuration.RouteSplitter(options.context.randomness);
    }

    /** Lists the rejected calls of retired features, most frequent first. */
    listRetiredFeatureCalls(): readonly retiredFeatureCalls.RetiredFeatureCalls[] {
        return this.retiredFeatureCallCounter.listCalls();
    }

    /**
     * Handles a request. An unexpected exception is logged and answered with the error `internal`.
     * @param request - The request.
     * @param response - The response to the caller.
     */
    async handleRequest(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const inFlight = this.options.inFlight.addRequest(request, response);
        try {
            const { entries } = this.options;
            if (entries.isPathReserved() && entries.handleRequest(request, response)) {
                return;
            }
            await this.handleProxyRequest(inFlight);
        }
        catch (thrown) {
            this.options.context.logger.writeError("request-failed", "unexpected exception while handling a request", { error: errors.getErrorMessage(thrown) });
            responses.writeFinalError(response, errors.createError("internal"), this.options.context);
        }
        finally {
            await inFlight.written;
            void this.options.inFlight.removeRequest(inFlight);
        }
    }

    /** Returns whether the instance is running with a configuration that is not stale, so that callers may use it. */
    isReady(): boolean {
        const { lifecycle, configuration: configurationService } = this.options;
        return lifecycle.getState() === "running" && configurationService.getCurrent() !== undefined && !configurationService.isStale();
    }

    private async handleProxyRequest(inFlight: inFlightRequests.InFlightRequest): Promise<void> {
        const { context } = this.options;
        const { request, response, receivedAt: startedAt } = inFlight;
        const orderKeyText = parseRequest.parseSingleHeader(request, requests.fleetHeaders.orderKey);
        if (orderKeyText.isErr()) {
            request.resume();
            // The request names several order keys. An earlier request may have used any of them, so the outcome is unknown.
            responses.writeErrorResponse(response, errors.createError("refusedRepeat", orderKeyText.error.message), context);
            return;
        }
        const compiled = this.options.configuration.getCurrent();
        const rejection = checkTransferEncoding(request) ?? this.checkConfiguration(request, compiled);
        if (compiled === undefined || rejection !== undefined) {
            await this.rejectRequest(request, response, orderKeyText.value, rejection ?? errors.createError("notConfigured"));
            return;
        }
        const parsed = parseRequest.parseRequest(request, compiled);
        if (parsed.isErr()) {
            await this.rejectRequest(request, response, orderKeyText.value, parsed.error);
            return;
        }
        const caller = workspaces.resolveCaller(compiled, parsed.value.route, requests.getHeaderValues(request.rawHeaders, "authorization"));
        if (caller.isErr()) {
            await this.rejectRequest(request, response, orderKeyText.value, caller.error);
            return;
        }
        const { feature, requestId } = parsed.value;
        const workspace = compiled.needsKeys ? caller.value.workspace?.name ?? "" : parsed.value.workspace;
        const route = applyWorkspaceRank(compiled, this.routeSplitter.chooseRoute(parsed.value.route), caller.value.workspace);
        if (this.isFeatureRetired(feature)) {
            await this.rejectRetiredFeature(request, response, orderKeyText.value, { feature, workspace });
            return;
        }
        if (!context.heldBytes.isAdmitted(route.rankIndex, compiled.document.ranks.length)) {
            await this.rejectRequest(request, response, orderKeyText.value, readBody.createMemoryFullError());
            return;
        }
        const deadlineAt = startedAt + Math.min(parsed.value.deadlineMs, route.timeoutMs ?? Infinity);
        inFlight.setDetails({ requestId, route, deadlineAt });
        const reservation = context.heldBytes.createReservation();
        reservation.releaseAfter(inFlight.written);
        const body = await readBody.readBody({ context, request, limitBytes: compiled.document.limits.bodyBytes, reservation });
        if (body.isErr()) {
            await this.rejectRequest(request, response, orderKeyText.value, body.error);
            return;
        }
        const routedRequest: requests.RoutedRequest = {
            method: request.method ?? "",
            path: request.url ?? "",
            rawHeaders: request.rawHeaders,
            body: body.value,
            route,
            workspace,
            keyDigest: caller.value.keyDigest,
            hasKeys: compiled.needsKeys,
            feature,
            deadlineAt,
            timeLimit: parsed.value.deadlineMs <= (route.timeoutMs ?? Infinity) ? "deadline" : "routeTimeout",
            requestId,
            deadlineHeader: compiled.document.callerHeaders.deadline,
            isOutcomeKept: false,
            trail: [],
            progress: inFlight.progress,
            reservation,
            signal: responses.createDisconnectSignal(request.socket, response),
        };
        inFlight.setRouted(routedRequest);
        await this.runRequest(inFlight, routedRequest, orderKeyText.value);
    }

    private async runRequest(inFlight: inFlightRequests.InFlightRequest, routedRequest: requests.RoutedRequest, orderKeyText: string | undefined): Promise<void> {
        const { context, executor, orders: orderService } = this.options;
        const { request, response, receivedAt: startedAt } = inFlight;
        const { route } = routedRequest;
        // The configuration may have changed while the body was being read, so the feature is checked again.
        if (this.isFeatureRetired(routedRequest.feature)) {
            await this.rejectRetiredFeature(request, response, orderKeyText, routedRequest);
            return;
        }
        const refusal = workspaces.getWithdrawnKeyError(this.options.configuration.getCurrent(), routedRequest) ?? executor.getDrainError(routedRequest);
        if (refusal !== undefined) {
            await this.rejectRequest(request, response, orderKeyText, refusal, routedRequest);
            return;
        }
        const permit = await this.options.quotas.acquire(routedRequest.workspace);
        if (permit.isErr()) {
            await this.rejectRequest(request, response, orderKeyText, permit.error, routedRequest);
            return;
        }
        if (route.repeatable) {
            const summary = await requests.runWithRetries(executor, routedRequest, response);
            if (summary.outcome === "not-executed") {
                permit.value.restoreCredit();
            }
            if (summary.error !== undefined) {
                responses.writeErrorResponse(response, summary.error, context, summary.attempts);
            }
            this.recordCompletion(routedRequest, startedAt, summary);
            return;
        }
        const forwardedBy = requests.getHeaderValues(request.rawHeaders, requests.fleetHeaders.forwardedBy)[0];
        const run = orderService.runOrder(routedRequest, orderKeyText, forwardedBy);
        // An order may continue after its caller was answered.
        routedRequest.reservation.releaseAfter(run);
        inFlight.setRun(run);
        const orderResult = await this.waitForOrderResult(run, routedRequest.deadlineAt);
        responses.writeOrderResult(response, orderResult, context);
        const outcome = orderResult.kind === "answer" ? orderResult.outcome : errors.getErrorDefinition(orderResult.error).outcome;
        if (outcome === "not-executed" || this.isFromOtherInstance(orderResult)) {
            permit.value.restoreCredit();
        }
        this.recordCompletion(routedRequest, startedAt, { outcome, status: response.statusCode, attempts: orderResult.attempts, error: orderResult.kind === "error" ? orderResult.error : undefined, body: "none" });
    }

    /** Returns whether another instance, which owns the order key, has run the order and charged it to the quota. */
    private isFromOtherInstance(orderResult: orders.OrderResult): boolean {
        const [instanceId] = orderResult.kind === "answer" ? requests.getHeaderValues(orderResult.response.rawHeaders, requests.fleetHeaders.instance) : [];
        return instanceId !== undefined && instanceId !== this.options.context.identity.instanceId;
    }

    private recordCompletion(request: requests.RoutedRequest, startedAt: number, result: Pick<requests.ExecutionSummary, "outcome" | "status" | "attempts" | "error" | "body">): void {
        const { route: { name: route, service, rank }, requestId, trail, workspace } = request;
        const latencyMs = this.options.context.clock.getNow() - startedAt;
        const { outcome, status, attempts, error, body } = result;
        this.metrics.recordRequest({ service, rank, outcome, status, latencyMs });
        this.requestLog.writeCompletedRequest({
            requestId,
            route,
            service,
            rank,
            workspace: workspace === "" ? undefined : workspace,
            status,
            outcome,
            attempts,
            trail,
            latencyMs,
            deadlineMs: request.deadlineAt - startedAt,
            timeLimit: request.timeLimit,
            configurationVersion: this.options.configuration.getCurrent()?.head.version ?? 0,
            error,
            body,
        });
    }

    /** Waits for an order's result until shortly after the caller's deadline; the order itself continues after a timeout. */
    private waitForOrderResult(orderResult: Promise<orders.OrderResult>, deadlineAt: number): Promise<orders.OrderResult> {
        const { loop, clock } = this.options.context;
        return new Promise((resolve, reject) => {
            const delayMs = Math.max(0, deadlineAt - clock.getNow()) + orderResultGraceMs;
            const cancel = loop.scheduleOnce(delayMs, () => resolve({ kind: "error", error: errors.createError("deadlineAfterSend", "the deadline passed; retry with the same order key to get the outcome"), attempts: 0 }));
            orderResult.then(resolve, reject).finally(cancel);
        });
    }

    /** Rejects a request. If it has an order key, the response reports what is known about the order with that key. */
    private async rejectRequest(request: http.IncomingMessage, response: http.ServerResponse, orderKeyText: string | undefined, error: errors.FleetError, routedRequest?: requests.RoutedRequest): Promise<void> {
        request.resume();
        this.metrics.recordRejection(error.kind);
        const current = this.options.configuration.getCurrent();
        this.requestLog.writeRejectedRequest(parseRequest.parseRequestId(request, current), error, current?.head.version ?? 0);
        if (orderKeyText !== undefined && error.kind === "keyUnknown") {
            // A caller without a valid key gets no stored response, and does not cause its order key to be refused later.
            responses.writeErrorResponse(response, errors.createError("keyUnknownRepeat", error.message), this.options.context);
            return;
        }
        const orderResult = orderKeyText === undefined ? undefined : await this.options.orders.resolveRefusal(orderKeyText, error, routedRequest);
        if (error.kind === "bodyTooLarge" || error.kind === "badRequest") {
            response.setHeader("connection", "close");
        }
        if (orderResult !== undefined) {
            responses.writeOrderResult(response, orderResult, this.options.context);
            return;
        }
        responses.writeErrorResponse(response, error, this.options.context);
    }

    /** Returns an error if there is no configuration or it is stale. */
    private checkConfiguration(request: http.IncomingMessage, compiled: configuration.CompiledConfiguration | undefined): errors.FleetError | undefined {
        if (compiled === undefined) {
            return errors.createError("notConfigured");
        }
        if (this.options.configuration.isStale()) {
            return errors.createError("configurationStale");
        }
        return undefined;
    }

    private isFeatureRetired(feature: string | undefined): boolean {
        return feature !== undefined && this.options.configuration.getCurrent()?.retiredFeatures.has(feature) === true;
    }

    private async rejectRetiredFeature(request: http.IncomingMessage, response: http.ServerResponse, orderKeyText: string | undefined, { feature, workspace }: Pick<requests.RoutedRequest, "feature" | "workspace">): Promise<void> {
        const userAgent = (request.headers["user-agent"] ?? "").slice(0, 80);
        this.retiredFeatureCallCounter.recordCall({
            feature: feature ?? "",
            workspace,
            caller: `${request.socket.remoteAddress ?? ""} ${userAgent}`.trim(),
            lastWallTimeMs: this.options.context.clock.getWallTime(),
        });
        await this.rejectRequest(request, response, orderKeyText, errors.createError("featureRetired", `the feature ${feature} is retired`));
    }
}

/** Returns the route with the rank of the request's workspace, which goes before the route's own. */
function applyWorkspaceRank(compiled: configuration.CompiledConfiguration, route: configuration.CompiledRoute, workspace: configuration.CompiledWorkspace | undefined): configuration.CompiledRoute {
    const rankIndex = workspace?.rankIndex ?? route.rankIndex;
    return rankIndex === route.rankIndex ? route : { ...route, rankIndex, rank: compiled.document.ranks[rankIndex]!.name };
}

/** Rejects transfer encodings other than chunked, because two servers may disagree on where such a body ends. */
function checkTransferEncoding(request: http.IncomingMessage): errors.FleetError | undefined {
    const encoding = request.headers["transfer-encoding"];
    const isSupported = encoding === undefined || encoding.toLowerCase() === "chunked";
    return isSupported ? undefined : errors.createError("badRequest", `the header transfer-encoding must be chunked or absent, not ${JSON.stringify(encoding.slice(0, 40))}`);
}
