/** What callers, workers and the operator see during a soak, and the promises that it breaks. */

/** A span in which an instance, or every instance, is not held to rules with a time bound; planned work may still cut nothing. */
interface Disturbance {
    readonly instance: string;
    readonly kind: "planned" | "unplanned";
    readonly from: number;
    to: number;
}

/** Stands for every instance. */
const everyInstance = "all";

/** What a caller saw of one attempt. */
export interface RequestRecord {
    readonly requestId: string;
    readonly instance: string;
    readonly isOrder: boolean;
    readonly sentAt: number;
    readonly endedAt: number;
    readonly outcome:
        | { readonly kind: "answered"; readonly status: number; readonly matchesRequest: boolean; }
        /** The connection ended without a whole answer. */
        | { readonly kind: "closed"; readonly reason: string; }
        | { readonly kind: "refusedConnection"; }
        | { readonly kind: "gaveUp"; };
}

/** A broken promise. */
export interface Finding {
    readonly guarantee: string;
    readonly detail: string;
}

/** After a disturbance has ended, rules with a time bound hold again after this time, in milliseconds; the platform's bound. */
const stableWindowMs = 3_000;
/** Statuses that promise that the request has not run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** An answer may come this long after the route's time-out, in milliseconds; the platform's bound. */
const lateMs = 500;
/** The late answers that the platform tolerates, and the part of those that reached the time-out. */
const toleratedLate = 8;
const toleratedLatePart = 0.25;
/** The requests of kept connections that the platform lets an instance lose. */
const toleratedLost = 3;
/** The part of the requests that must be served once everything is well again. */
const recoveredPart = 0.9;

/** Collects the evidence of a soak. */
export class InvariantChecker {
    private readonly disturbances: Disturbance[] = [];
    private readonly seen: RequestRecord[] = [];
    private readonly findings: Finding[] = [];

    /** Begins a span in which an instance, or "all", is not held to bounds of time; the returned function ends it. */
    addDisturbance(instance: string, now: number, kind: Disturbance["kind"] = "unplanned"): (endedAt: number) => void {
        const disturbance: Disturbance = { instance, kind, from: now, to: Infinity };
        this.disturbances.push(disturbance);
        return endedAt => {
            disturbance.to = endedAt;
        };
    }

    /** Returns whether an instance was in touch during the whole span, and long enough before it. */
    isUndisturbed(instance: string, from: number, to: number): boolean {
        return this.listDisturbances(instance, from, to).length === 0;
    }

    /** Records what a caller saw. */
    addRequest(seen: RequestRecord): void {
        this.seen.push(seen);
    }

    /** Records a broken promise. */
    addFinding(promise: string, detail: string): void {
        this.findings.push({ guarantee: promise, detail });
    }

    /** Counts how the attempts of a span ended. */
    countOutcomes(from: number): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const { outcome: end } of this.seen.filter(({ sentAt }) => sentAt >= from)) {
            const name = end.kind === "answered" ? String(end.status) : end.kind;
            counts[name] = (counts[name] ?? 0) + 1;
        }
        return counts;
    }

    /**
     * Judges everything that was seen.
     * @param options - How often each request has run, the longest time-out of a route, and when the last fault was over.
     */
    listFindings({ executions: runs, timeoutMs, steadySince: calmSince }: { readonly executions: ReadonlyMap<string, number>; readonly timeoutMs: number; readonly steadySince: number; }): readonly Finding[] {
        for (const { requestId, isOrder, instance, outcome: end } of this.seen) {
            const ran = runs.get(requestId) ?? 0;
            if (isOrder && ran > 1) {
                this.addFinding("an order runs once at most", `${requestId} ran ${ran} times, through ${instance}`);
            }
            if (end.kind === "answered" && promises.has(end.status) && ran > 0) {
                this.addFinding("\"not run\" is true", `${requestId} was answered ${end.status} by ${instance} and has run`);
            }
            if (end.kind === "answered" && end.status === 200 && !end.matchesRequest) {
                this.addFinding("each answer is whole and the request's own", `${requestId} at ${instance}`);
            }
        }
        this.checkTimeouts(timeoutMs);
        this.checkLost(runs);
        this.checkRecovery(calmSince);
        return this.findings;
    }

    private listDisturbances(instance: string, from: number, to: number): readonly Disturbance[] {
        return this.disturbances.filter(known => (known.instance === everyInstance || known.instance === instance) && known.from <= to && known.to + stableWindowMs >= from);
    }

    private listInTouch(): readonly RequestRecord[] {
        return this.seen.filter(({ instance, sentAt, endedAt }) => this.isUndisturbed(instance, sentAt, endedAt));
    }

    private checkTimeouts(timeoutMs: number): void {
        const reached = this.listInTouch().filter(({ sentAt, endedAt, outcome: end }) => endedAt - sentAt >= timeoutMs && end.kind !== "gaveUp");
        const late = reached.filter(({ sentAt, endedAt }) => endedAt - sentAt > timeoutMs + lateMs);
        if (late.length >= toleratedLate && late.length > reached.length * toleratedLatePart) {
            this.addFinding("answers come by the route's time-out", `${late.length} of ${reached.length} came late, first ${late[0]!.requestId}`);
        }
    }

    /** Requests that were passed on, and whose connection an instance closed that was undisturbed, or was told to stop. */
    private checkLost(runs: ReadonlyMap<string, number>): void {
        const closed = this.seen.filter(({ requestId, outcome: end }) => end.kind === "closed" && (runs.get(requestId) ?? 0) > 0);
        const tagged = closed.map(known => ({ ...known, during: this.listDisturbances(known.instance, known.sentAt, known.endedAt).map(({ kind }) => kind) }));
        const cut = tagged.filter(({ during }) => during.length > 0 && during.every(kind => kind === "planned"));
        if (cut.length > 0) {
            this.addFinding("a planned stop cuts nothing", cut.map(({ requestId, instance }) => `${requestId} at ${instance}`).join(", "));
        }
        for (const instance of new Set(closed.map(known => known.instance))) {
            const own = tagged.filter(known => known.instance === instance && known.during.length === 0);
            if (own.length > toleratedLost) {
                this.addFinding("no request is lost", `${instance} closed ${own.length} connections with requests that had been passed on, first ${own[0]!.requestId}`);
            }
        }
    }

    private checkRecovery(calmSince: number): void {
        const calm = this.seen.filter(({ sentAt, outcome: end }) => sentAt >= calmSince && end.kind !== "gaveUp");
        const served = calm.filter(({ outcome: end }) => end.kind === "answered" && end.status === 200);
        if (served.length < calm.length * recoveredPart) {
            this.addFinding("the fleet recovers", `${served.length} of ${calm.length} were served once everything was well again: ${JSON.stringify(this.countOutcomes(calmSince))}`);
        }
    }
}
