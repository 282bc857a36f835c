/** Logs what a graceful shutdown does to the requests and connections of callers. */

import type * as net from "node:net";
import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import type * as httpConnections from "../kernel/httpConnections.js";
import type * as plugins from "../kernel/plugins.js";
import type * as requests from "../requests/index.js";
import type * as inFlightRequests from "./inFlightRequests.js";

/** The most requests that have a line of their own, of those cut at the end and of those whose connection closed before. Their lines fit into what the log takes in a second. */
const maximumRequestLines = 100;
/** Longer trails are truncated to this many characters. */
const maximumTrailLength = 400;
/** How often the identifiers of answered requests are logged. */
const answeredIntervalMs = 250;
/** The most characters of identifiers in one line. */
const maximumIdentifiersLength = 8_192;

/** Who ended a request without a whole response. */
type EndedBy =
    /** The shutdown, whose time was over. */
    | "shutdownEnd"
    /** The caller, by closing its connection in the regular way. */
    | "caller"
    /** An error of the connection, such as a reset. */
    | "connectionError"
    /** The instance, such as after the upstream's response broke off. */
    | "instance";

type RequestKind = "repeatable" | "order" | "unrouted";

/** Options of `DrainLog`. */
export interface CreateDrainLogOptions {
    readonly context: context.Context;
    readonly inFlight: inFlightRequests.InFlightRequests;
}

/** Logs the requests that end while the instance drains, each with who ended it and what it waited for. */
export class DrainLog {
    private readonly cutRequests: promClient.Counter<"kind" | "waiting_for">;
    private shutdown: plugins.Shutdown | undefined;
    private endedAt: number | undefined;
    private answeredIds: string[] = [];
    private readonly counts = { answered: 0, answeredBeforeRead: 0, closedByCaller: 0, closedByError: 0, closedByInstance: 0, closedUnlisted: 0 };

    constructor(private readonly options: CreateDrainLogOptions) {
        this.cutRequests = new promClient.Counter({
            name: "agatebend_drain_cut_requests_total",
            help: "Requests in flight at the end of a graceful shutdown, which were cut, by whether they may be repeated and what they waited for.",
            labelNames: ["kind", "waiting_for"],
            registers: [options.context.metrics],
        });
        options.inFlight.setWrittenListener(request => this.recordWritten(request));
    }

    /** Logs requests from now on. */
    start(shutdown: plugins.Shutdown): void {
        this.shutdown = shutdown;
        this.options.context.loop.scheduleRepeatedly(answeredIntervalMs, () => this.writeAnswered());
    }

    /**
     * Logs the closing of the callers' port.
     * @param closedIdle - The number of connections that were closed as idle.
     * @param counts - The connections that stay open.
     */
    writePortClosed(closedIdle: number, counts: httpConnections.ConnectionCounts): void {
        const { clock, logger } = this.options.context;
        logger.writeInfo("callers-port-closed", `the port for callers is closed; ${closedIdle} idle connections were closed with it`, { sinceDrainMs: this.computeSinceDrainMs(clock.getNow()), closedIdle, ...counts });
    }

    /** Logs the requests in flight, which are about to be cut. Further calls do nothing. */
    writeEnd(): void {
        if (this.shutdown === undefined || this.endedAt !== undefined) {
            return;
        }
        const cut = this.options.inFlight.listRequests().filter(request => request.isRunning() || (request.hasCaller() && !request.isAnswered()));
        this.writeAnswered();
        this.writeCut(cut);
        this.endedAt = this.options.context.clock.getNow();
    }

    /** Logs how many requests ended during the shutdown, and how. */
    writeSummary(): void {
        const { shutdown, endedAt } = this;
        if (shutdown !== undefined && endedAt !== undefined) {
            this.options.context.logger.writeInfo("callers-drained", "no request of a caller is served any more", {
                sinceDrainMs: this.computeSinceDrainMs(endedAt),
                overrunMs: Math.max(0, Math.round(endedAt - shutdown.endsAt)),
                ...this.counts,
            });
        }
    }

    private writeCut(cut: readonly inFlightRequests.InFlightRequest[]): void {
        if (cut.length === 0) {
            return;
        }
        cut.forEach(request => this.cutRequests.inc({ kind: getKind(request), waiting_for: request.getWait().kind }));
        const count = (filter: (request: inFlightRequests.InFlightRequest) => boolean) => cut.filter(filter).length;
        const isWhole = (request: inFlightRequests.InFlightRequest) => request.hasCaller() && request.getWholeAt() !== undefined;
        const repeatable = count(request => isWhole(request) && getKind(request) === "repeatable");
        const orders = count(request => isWhole(request) && getKind(request) === "order");
        this.options.context.logger.writeWarning("drain-cut", `the time for the graceful shutdown is over; cutting ${repeatable} repeatable requests and ${orders} orders in flight`, {
            requests: cut.length,
            repeatable,
            orders,
            incomplete: count(request => request.hasCaller() && request.getWholeAt() === undefined),
            ordersWithoutCaller: count(request => !request.hasCaller()),
            unlisted: Math.max(0, cut.length - maximumRequestLines),
        });
        cut.slice(0, maximumRequestLines).forEach(request => this.writeRequest(request, "shutdownEnd"));
    }

    private recordWritten(request: inFlightRequests.InFlightRequest): void {
        if (this.shutdown === undefined || this.endedAt !== undefined) {
            return;
        }
        if (request.isAnswered()) {
            this.recordAnswered(request);
            return;
        }
        const endedBy = getEndedBy(request.request.socket);
        const count = match(endedBy).with("caller", () => "closedByCaller" as const).with("connectionError", () => "closedByError" as const).with("instance", () => "closedByInstance" as const).exhaustive();
        this.counts[count] += 1;
        if (this.counts.closedByCaller + this.counts.closedByError + this.counts.closedByInstance > maximumRequestLines) {
            this.counts.closedUnlisted += 1;
            return;
        }
        this.writeRequest(request, endedBy);
    }

    private recordAnswered(request: inFlightRequests.InFlightRequest): void {
        this.counts.answered += 1;
        this.counts.answeredBeforeRead += request.isAnsweredBeforeRead() ? 1 : 0;
        const requestId = request.getDetails()?.requestId ?? "";
        if (requestId !== "") {
            this.answeredIds.push(requestId);
        }
    }

    private writeAnswered(): void {
        const { answeredIds } = this;
        if (answeredIds.length === 0) {
            return;
        }
        const listed = chooseListedIds(answeredIds);
        this.options.context.logger.writeInfo("drain-requests-answered", `${answeredIds.length} responses were passed to the operating system completely`, {
            answered: answeredIds.length,
            unlisted: answeredIds.length - listed.length,
            requestIds: listed.join(" "),
        });
        this.answeredIds = [];
    }

    private writeRequest(request: inFlightRequests.InFlightRequest, endedBy: EndedBy): void {
        const { logger } = this.options.context;
        const values = this.createRequestValues(request, endedBy);
        if (endedBy === "shutdownEnd") {
            logger.writeWarning("drain-request-cut", "the shutdown ended before the request did", values);
            return;
        }
        logger.writeInfo("drain-request-cut", "the connection closed before the response was passed on", values);
    }

    private createRequestValues(request: inFlightRequests.InFlightRequest, endedBy: EndedBy) {
        const now = this.options.context.clock.getNow();
        const details = request.getDetails();
        const wait = request.getWait();
        const wholeAt = request.getWholeAt();
        const startedAt = this.shutdown?.startedAt ?? now;
        const { socket } = request.request;
        return {
            requestId: details?.requestId ?? "",
            route: details?.route.name,
            service: details?.route.service,
            method: request.request.method,
            kind: getKind(request),
            endedBy,
            error: socket.errored?.message,
            waitingFor: wait.kind,
            sinceDrainMs: this.computeSinceDrainMs(now),
            receivedAfterMs: Math.round(request.receivedAt - startedAt),
            wholeAfterMs: wholeAt === undefined ? undefined : Math.round(wholeAt - startedAt),
            ageMs: Math.round(now - request.receivedAt),
            remainingMs: details === undefined ? undefined : Math.round(details.deadlineAt - now),
            hasCaller: request.hasCaller(),
            attempts: request.progress.countAttempts(),
            trail: [...request.getTrail(), ...formatCurrentAttempt(wait, now)].join(" ").slice(0, maximumTrailLength),
            ...request.getResponseState(),
        };
    }

    private computeSinceDrainMs(now: number): number {
        return Math.round(now - (this.shutdown?.startedAt ?? now));
    }
}

function getKind(request: inFlightRequests.InFlightRequest): RequestKind {
    const details = request.getDetails();
    if (details === undefined) {
        return "unrouted";
    }
    return details.route.repeatable ? "repeatable" : "order";
}

/** Returns who closed a connection during the shutdown. */
function getEndedBy(socket: net.Socket): Exclude<EndedBy, "shutdownEnd"> {
    // A caller that has closed its connection resets it when further data arrives.
    if (socket.readableEnded) {
        return "caller";
    }
    return socket.errored ? "connectionError" : "instance";
}

/** Describes the attempt in progress like those of the trail. */
function formatCurrentAttempt(wait: requests.RequestWait, now: number): readonly string[] {
    return match(wait)
        .with(
            { kind: "upstreamConnection" },
            { kind: "upstreamHead" },
            { kind: "upstreamBody" },
            ({ kind, attempt }) => [`[${attempt.upstream} (${attempt.upstreamSummary}) queued ${Math.round(attempt.queuedMs)} ms, after ${Math.round(now - attempt.startedAt)} ms waiting for ${kind}]`],
        )
        .with({ kind: "callerBody" }, { kind: "orderKeyClaim" }, { kind: "orderKeyOwner" }, { kind: "earlierRequest" }, { kind: "slot" }, { kind: "retry" }, { kind: "callerReading" }, () => [])
        .exhaustive();
}

/** Returns the first identifiers, as many as one line may have. */
function chooseListedIds(requestIds: readonly string[]): readonly string[] {
    let length = 0;
    return requestIds.filter(requestId => {
        length += requestId.length + 1;
        return length <= maximumIdentifiersLength;
    });
}
