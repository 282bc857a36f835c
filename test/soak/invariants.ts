/** Records what callers, workers and operators observe during a soak, and reports violations of the fleet's guarantees. */

/**
 * A period in which time limits do not apply to an instance, or to all instances.
 * A planned disturbance, such as a stop, must still not interrupt requests, nor must one of the store alone.
 */
interface Disturbance {
    readonly instance: string;
    readonly kind: "planned" | "store" | "unplanned";
    readonly from: number;
    to: number;
}

/** The value of `Disturbance.instance` that means all instances. */
const everyInstance = "all";

/** A run of a request at a worker, by the worker's own account. */
export interface Run {
    readonly startedAt: number;
    /** When the work ended or lost its connection; Infinity if it never did. */
    readonly endedAt: number;
    /** Whether the work ended with a sound response. */
    readonly isAnswered: boolean;
}

/** A request as the caller observed it. Times are in milliseconds on the monotonic clock. */
export interface RequestRecord {
    readonly requestId: string;
    readonly instance: string;
    readonly route: string;
    readonly isOrder: boolean;
    /** The request's deadline after `sentAt` or the timeout of its route, whichever is shorter. */
    readonly deadlineMs: number;
    /** When its first byte was sent. */
    readonly sentAt: number;
    /** When its last byte was sent. */
    readonly sentEntirelyAt: number;
    /** How long the caller left the response unread. */
    readonly unreadMs: number;
    readonly endedAt: number;
    readonly outcome:
        | { readonly kind: "answered"; readonly status: number; readonly matchesRequest: boolean; }
        /** The connection closed before the response was complete. */
        | { readonly kind: "closed"; readonly reason: string; readonly isReused: boolean; readonly status: number; readonly bytes: number; }
        | { readonly kind: "refusedConnection"; }
        | { readonly kind: "gaveUp"; };
}

/** A violation of a guarantee. */
export interface Finding {
    readonly guarantee: string;
    readonly detail: string;
}

/** The end of a process after a planned stop, by its exit status or the signal that ended it. */
interface ProcessEnd {
    readonly instance: string;
    readonly at: number;
    readonly status: number | string;
}

/** Time limits apply again this long after the end of a disturbance. The platform sets this limit. */
const stableWindowMs = 3_000;
/** Statuses that guarantee that the request was not executed. */
const notExecutedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A response may arrive this long after the route's timeout. The platform sets this limit. */
const timeoutToleranceMs = 500;
/** The platform tolerates fewer late responses than this number, or up to this fraction of the requests that reached the timeout. */
const toleratedLateCount = 8;
const toleratedLateFraction = 0.25;
/** The number of requests on reused connections that the platform allows an instance to lose. */
const toleratedLostCount = 3;
/** The platform kills a process this long after SIGTERM. */
const graceMs = 6_000;
/** The end of the grace. A planned stop may cut a request at which a worker is still at work then. */
const lastWorkFraction = 1 / 6;
/** It may do so only if the request was sent no later than this after SIGTERM. The platform sets these limits. */
const earlyRequestMs = 3_000;
/** The fraction of requests that must succeed after the fleet has recovered. */
const recoveredFraction = 0.9;

/** Collects the observations of a soak and checks them against the guarantees. */
export class InvariantChecker {
    private readonly disturbances: Disturbance[] = [];
    private readonly requests: RequestRecord[] = [];
    private readonly findings: Finding[] = [];
    private readonly processEnds: ProcessEnd[] = [];

    /** Begins a period in which time limits do not apply to an instance, or to "all". The returned function ends it. */
    addDisturbance(instance: string, now: number, kind: Disturbance["kind"] = "unplanned"): (endedAt: number) => void {
        const disturbance: Disturbance = { instance, kind, from: now, to: Infinity };
        this.disturbances.push(disturbance);
        return endedAt => {
            disturbance.to = endedAt;
        };
    }

    /** Returns whether no disturbance affected an instance during a period or shortly before it. */
    isUndisturbed(instance: string, from: number, to: number): boolean {
        return this.listDisturbances(instance, from, to).length === 0;
    }

    /** Records a request. */
    addRequest(request: RequestRecord): void {
        this.requests.push(request);
    }

    /** Records that the process of a stopped instance ended, or was still running after the time limit. */
    addProcessEnd(instance: string, at: number, status: number | string): void {
        this.processEnds.push({ instance, at, status });
    }

    /** Records a violation. */
    addFinding(guarantee: string, detail: string): void {
        this.findings.push({ guarantee, detail });
    }

    /** Counts the outcomes of the requests sent since a time, by status or kind of outcome. */
    countOutcomes(from: number): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { outcome } of this.requests.filter(({ sentAt }) => sentAt >= from)) {
            const name = outcome.kind === "answered" ? String(outcome.status) : outcome.kind;
            counts[name] = (counts[name] ?? 0) + 1;
        }
        return counts;
    }

    /**
     * Checks all observations and returns the violations.
     * @param options - The runs of each request, and the time by which the fleet had recovered from the last fault.
     */
    listFindings({ runs, steadySince }: { readonly runs: ReadonlyMap<string, readonly Run[]>; readonly steadySince: number; }): readonly Finding[] {
        for (const { requestId, isOrder, instance, outcome } of this.requests) {
            const executionCount = runs.get(requestId)?.length ?? 0;
            if (isOrder && executionCount > 1) {
                this.addFinding("an order runs once at most", `${requestId} ran ${executionCount} times, through ${instance}`);
            }
            if (outcome.kind === "answered" && notExecutedStatuses.has(outcome.status) && executionCount > 0) {
                this.addFinding("\"not run\" is true", `${requestId} was answered ${outcome.status} by ${instance} and has run`);
            }
            if (outcome.kind === "answered" && outcome.status === 200 && !outcome.matchesRequest) {
                this.addFinding("each answer is whole and the request's own", `${requestId} at ${instance}`);
            }
        }
        this.checkTimeouts();
        this.checkLostRequests(runs);
        this.checkRecovery(steadySince);
        return this.findings;
    }

    private listDisturbances(instance: string, from: number, to: number): readonly Disturbance[] {
        return this.disturbances.filter(candidate => (candidate.instance === everyInstance || candidate.instance === instance) && candidate.from <= to && candidate.to + stableWindowMs >= from);
    }

    private listStops(instance: string, from: number, to: number): readonly Disturbance[] {
        return this.listDisturbances(instance, from, to).filter(({ kind }) => kind === "planned");
    }

    private listUndisturbed(): readonly RequestRecord[] {
        return this.requests.filter(({ instance, sentAt, endedAt }) => this.isUndisturbed(instance, sentAt, endedAt));
    }

    private checkTimeouts(): void {
        const getOverrunMs = ({ sentAt, endedAt, unreadMs, deadlineMs }: RequestRecord) => endedAt - sentAt - unreadMs - deadlineMs;
        const timedOut = this.listUndisturbed().filter(request => getOverrunMs(request) >= 0 && request.outcome.kind !== "gaveUp");
        const late = timedOut.filter(request => getOverrunMs(request) > timeoutToleranceMs);
        if (late.length >= toleratedLateCount && late.length > timedOut.length * toleratedLateFraction) {
            this.addFinding("answers come by the route's time-out", `${late.length} of ${timedOut.length} came late, first ${late[0]!.requestId}`);
        }
    }

    /** Checks requests that ran, but whose connection an undisturbed or stopping instance closed. */
    private checkLostRequests(runs: ReadonlyMap<string, readonly Run[]>): void {
        const closed = this.requests.filter(({ requestId, outcome }) => outcome.kind === "closed" && runs.has(requestId));
        const classified = closed.map(candidate => ({ ...candidate, disturbanceKinds: this.listDisturbances(candidate.instance, candidate.sentAt, candidate.endedAt).map(({ kind }) => kind) }));
        const cut = classified.filter(candidate => candidate.disturbanceKinds.includes("planned") && !candidate.disturbanceKinds.includes("unplanned") && !this.isExcused(candidate, runs.get(candidate.requestId)!));
        if (cut.length > 0) {
            this.addFinding("a planned stop cuts nothing", cut.map(request => this.formatCutRequest(request, runs.get(request.requestId)!)).join(", "));
        }
        for (const instance of new Set(closed.map(candidate => candidate.instance))) {
            const undisturbed = classified.filter(candidate => candidate.instance === instance && candidate.disturbanceKinds.length === 0);
            if (undisturbed.length > toleratedLostCount) {
                this.addFinding("no request is lost", `${instance} closed ${undisturbed.length} connections with requests that had been passed on, first ${undisturbed[0]!.requestId}`);
            }
        }
    }

    /** Returns whether the platform excuses a planned stop that cuts the request. */
    private isExcused({ instance, deadlineMs, sentAt, sentEntirelyAt, endedAt }: RequestRecord, runs: readonly Run[]): boolean {
        if (endedAt - sentAt >= deadlineMs) {
            return true;
        }
        return this.listStops(instance, sentAt, endedAt).some(({ from: stoppedAt }) => {
            const lastWorkAt = stoppedAt + graceMs * (1 - lastWorkFraction);
            const isAtWork = runs.some(run => run.startedAt <= stoppedAt + graceMs && run.endedAt >= lastWorkAt);
            return sentEntirelyAt <= stoppedAt + earlyRequestMs && isAtWork && !runs.some(run => run.isAnswered && run.endedAt < lastWorkAt);
        });
    }

    private formatCutRequest({ requestId, instance, route, deadlineMs, sentAt, sentEntirelyAt, endedAt, unreadMs, outcome }: RequestRecord, runs: readonly Run[]): string {
        const stoppedAt = this.listStops(instance, sentAt, endedAt).at(-1)?.from ?? 0;
        const formatTime = (time: number) => Math.round(time - stoppedAt);
        const runTimes = runs.map(run => `${formatTime(run.startedAt)} to ${formatTime(run.endedAt)}${run.isAnswered ? " (answered)" : ""}`).join(" and ");
        const processEnd = this.processEnds.find(({ instance: ended, at }) => ended === instance && at >= stoppedAt);
        const closed = outcome.kind === "closed" ? `${outcome.reason}, ${outcome.isReused ? "kept" : "new"} connection, status ${outcome.status}, ${outcome.bytes} body bytes` : outcome.kind;
        const ended = processEnd === undefined ? "unknown" : `${formatTime(processEnd.at)} with ${processEnd.status}`;
        return `${requestId} (${route}) at ${instance} (ms after SIGTERM: sent ${formatTime(sentAt)} to ${formatTime(sentEntirelyAt)}, ran ${runTimes}, closed ${
            formatTime(endedAt)
        }: ${closed}; process ended ${ended}; deadline ${deadlineMs} ms, left unread ${Math.round(unreadMs)} ms)`;
    }

    private checkRecovery(steadySince: number): void {
        const finished = this.requests.filter(({ sentAt, outcome }) => sentAt >= steadySince && outcome.kind !== "gaveUp");
        const served = finished.filter(({ outcome }) => outcome.kind === "answered" && outcome.status === 200);
        if (served.length < finished.length * recoveredFraction) {
            this.addFinding("the fleet recovers", `${served.length} of ${finished.length} were served once everything was well again: ${JSON.stringify(this.countOutcomes(steadySince))}`);
        }
    }
}
