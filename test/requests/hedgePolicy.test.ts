/**
 * Hedging under the load that it is meant for: 3 % of all responses take seven times as long, because of the upstream. Guards
 * against a hedging that does not shorten the tail at low load, that costs served requests at full or excessive load, or that
 * goes on where hedges do not win.
 */

import tap from "tap";
import * as hedgePolicy from "../../src/requests/hedgePolicy.js";
import * as retryBudget from "../../src/requests/retryBudget.js";
import * as routeLatencies from "../../src/pool/routeLatencies.js";
import * as randomness from "../../src/kernel/randomness.js";

const service = "desk";
const route = "read";
const upstreamCount = 20;
const slotsPerUpstream = 6;
const queuePerUpstream = 24;
const workMs = 520;
const slowShare = 0.03;
const slowFactor = 7;
const timeoutMs = 5_000;
const durationMs = 120_000;
const warmUpMs = 20_000;
const maximumShare = 0.05;

interface Options {
    readonly seed: number;
    /** Offered requests as a part of what the upstreams can execute. */
    readonly load: number;
    readonly hedges: boolean;
    /** Whether it depends on the request and not on the upstream that a response takes long. */
    readonly isSlownessOfRequest?: boolean;
    /** Whether an upstream goes on with a request whose connection was closed. */
    readonly isWorkContinued?: boolean;
}

interface Attempt {
    readonly durationMs: number;
    readonly onDone: () => void;
    isCancelled: boolean;
    removeTimer?: () => void;
}

/** A clock whose timers run in order of time. */
class Timers {
    now = 0;
    private readonly tasks: { readonly at: number; run: (() => void) | undefined; }[] = [];

    scheduleOnce(delayMs: number, run: () => void): () => void {
        const task: { readonly at: number; run: (() => void) | undefined; } = { at: this.now + delayMs, run };
        let [from, to] = [0, this.tasks.length];
        while (from < to) {
            const middle = (from + to) >> 1;
            [from, to] = this.tasks[middle]!.at > task.at ? [middle + 1, to] : [from, middle];
        }
        this.tasks.splice(from, 0, task);
        return () => {
            task.run = undefined;
        };
    }

    runUntil(until: number): void {
        for (let task = this.tasks.pop(); task !== undefined && task.at <= until; task = this.tasks.pop()) {
            this.now = task.at;
            task.run?.();
        }
    }
}

/** An upstream with slots and a queue of its own. */
class Upstream {
    readonly queue: Attempt[] = [];
    busy = 0;

    constructor(private readonly time: Timers, private readonly isWorkContinued: boolean) {}

    /** Returns false if the upstream refuses the attempt. */
    add(attempt: Attempt): boolean {
        if (this.busy >= slotsPerUpstream && this.queue.length >= queuePerUpstream) {
            return false;
        }
        this.queue.push(attempt);
        this.startNext();
        return true;
    }

    remove(attempt: Attempt): void {
        attempt.isCancelled = true;
        const index = this.queue.indexOf(attempt);
        if (index >= 0) {
            this.queue.splice(index, 1);
            return;
        }
        if (this.isWorkContinued) {
            return;
        }
        attempt.removeTimer?.();
        this.busy -= 1;
        this.startNext();
    }

    private startNext(): void {
        const next = this.busy < slotsPerUpstream ? this.queue.shift() : undefined;
        if (next !== undefined) {
            this.busy += 1;
            next.removeTimer = this.time.scheduleOnce(next.durationMs, () => {
                this.busy -= 1;
                if (!next.isCancelled) {
                    next.onDone();
                }
                this.startNext();
            });
        }
    }
}

/** Runs requests for a time; returns the latencies of those that were served. */
function runLoad({ seed, load, hedges, isSlownessOfRequest = false, isWorkContinued = false }: Options) {
    const time = new Timers();
    const random = randomness.createSeededRandomness(seed).getFraction;
    const upstreams = Array.from({ length: upstreamCount }, () => new Upstream(time, isWorkContinued));
    const policy = new hedgePolicy.HedgePolicy();
    const latencies = new routeLatencies.RouteLatencies();
    const budget = new retryBudget.RetryBudget({ clock: { getNow: () => time.now, getWallTime: () => time.now }, ratio: 0.2, slack: 168, windowMs: 10_000, countInstances: () => 1, startedAt: 0 });
    const counts = { requests: 0, served: 0, hedges: 0, won: 0, denied: {} as Record<string, number> };
    const servedLatencies: number[] = [];
    const meanMs = workMs * (1 + slowShare * (slowFactor - 1));
    const ratePerMs = load * upstreamCount * slotsPerUpstream / meanMs;
    const getLoad = (upstream: Upstream) => upstream.busy + upstream.queue.length;
    const chooseUpstream = (excluded?: Upstream) => {
        const [first, second] = [0, 1].map(() => upstreams.filter(upstream => upstream !== excluded)[Math.floor(random() * (upstreamCount - (excluded === undefined ? 0 : 1)))]!);
        return getLoad(second!) < getLoad(first!) ? second! : first!;
    };
    const startRequest = () => {
        const startedAt = time.now;
        const isMeasured = startedAt > warmUpMs;
        const isRequestSlow = random() < slowShare;
        const getDurationMs = () => workMs * (0.8 + 0.4 * random()) * ((isSlownessOfRequest ? isRequestSlow : random() < slowShare) ? slowFactor : 1);
        const running = new Map<Attempt, { readonly upstream: Upstream; readonly isHedge: boolean; readonly sentAt: number; }>();
        let hasHedge = false;
        const finish = (winner?: Attempt) => {
            cancelTimeout();
            cancelHedge();
            for (const [attempt, { upstream, isHedge, sentAt }] of running) {
                if (attempt === winner) {
                    latencies.recordAttempt(service, { route, rankIndex: 0, startedAt: sentAt, respondedAt: time.now });
                    counts.won += isHedge && isMeasured ? 1 : 0;
                }
                else {
                    upstream.remove(attempt);
                    latencies.recordLowerBound(service, { route, rankIndex: 0, startedAt: sentAt }, time.now);
                }
                if (hasHedge && attempt === winner) {
                    policy.recordResult(route, isHedge);
                }
            }
            if (winner !== undefined && isMeasured) {
                counts.served += 1;
                servedLatencies.push(time.now - startedAt);
            }
        };
        const send = (upstream: Upstream, isHedge: boolean): boolean => {
            const attempt: Attempt = { durationMs: getDurationMs(), onDone: () => finish(attempt), isCancelled: false };
            running.set(attempt, { upstream, isHedge, sentAt: time.now });
            const isAccepted = upstream.add(attempt);
            policy.recordAttempt({ queuedMs: 0, isRefused: !isAccepted }, time.now);
            if (!isAccepted) {
                running.delete(attempt);
            }
            return isAccepted;
        };
        counts.requests += isMeasured ? 1 : 0;
        budget.recordRequest();
        policy.recordRequest(route, hedges ? maximumShare : 0);
        const delayMs = hedges ? latencies.getQuantile(service, route, 0.95) : undefined;
        const cancelHedge = delayMs === undefined ? () => {} : time.scheduleOnce(delayMs, () => {
            const [{ upstream: first } = { upstream: undefined }] = [...running.values()];
            const free = upstreams.filter(upstream => upstream !== first && getLoad(upstream) < slotsPerUpstream);
            const utilization = upstreams.reduce((sum, upstream) => sum + Math.min(slotsPerUpstream, getLoad(upstream)), 0) / (upstreamCount * slotsPerUpstream);
            const denial = policy.getDenial(route, utilization, time.now) ?? (free.length === 0 ? "busy" : budget.acquireRetry() ? undefined : "budget");
            if (denial !== undefined) {
                counts.denied[denial] = (counts.denied[denial] ?? 0) + 1;
                return;
            }
            hasHedge = true;
            counts.hedges += isMeasured ? 1 : 0;
            policy.recordHedge(route, time.now);
            send(free[Math.floor(random() * free.length)]!, true);
        });
        const cancelTimeout = time.scheduleOnce(timeoutMs, () => finish());
        if (!send(chooseUpstream(), false)) {
            finish();
        }
    };
    const scheduleNext = () => {
        time.scheduleOnce(-Math.log(1 - random()) / ratePerMs, () => {
            startRequest();
            scheduleNext();
        });
    };
    scheduleNext();
    time.runUntil(durationMs);
    servedLatencies.sort((a, b) => a - b);
    const getLatency = (quantile: number) => Math.round(servedLatencies[Math.floor(servedLatencies.length * quantile)] ?? Infinity);
    return {
        p50: getLatency(0.5),
        p95: getLatency(0.95),
        p99: getLatency(0.99),
        extraShare: counts.hedges / counts.requests,
        servedShare: counts.served / counts.requests,
        winShare: counts.won / Math.max(1, counts.hedges),
        denied: counts.denied,
    };
}

void tap.test("hedging", async t => {
    for (const seed of [1, 2, 3]) {
        const doTest = (name: string, options: Omit<Options, "seed" | "hedges">) => {
            const [without, withHedges] = [false, true].map(hedges => runLoad({ ...options, seed, hedges }));
            t.comment(JSON.stringify({ name, seed, without, with: withHedges }));
            t.ok(withHedges!.extraShare <= maximumShare, `${name}, seed ${seed}: at most its share of extra requests, ${withHedges!.extraShare.toFixed(4)}`);
            t.ok(withHedges!.servedShare >= without!.servedShare - 0.003, `${name}, seed ${seed}: served ${without!.servedShare.toFixed(4)} without, ${withHedges!.servedShare.toFixed(4)} with hedges`);
            return { without: without!, with: withHedges! };
        };
        const low = doTest("low load", { load: 0.5 });
        t.ok(low.with.p99 <= 0.6 * low.without.p99, `seed ${seed}: p99 ${low.without.p99} ms without, ${low.with.p99} ms with hedges`);
        const full = doTest("full load", { load: 0.95 });
        t.ok(full.with.p99 <= 0.6 * full.without.p99, `seed ${seed}: p99 at full load ${full.without.p99} ms without, ${full.with.p99} ms with hedges`);
        const excessive = doTest("excessive load", { load: 1.5 });
        t.ok(excessive.with.extraShare < 0.005, `seed ${seed}: hedging stops under excessive load`);
        const continued = doTest("full load, work continued", { load: 0.95, isWorkContinued: true });
        t.ok(continued.with.p50 <= 1.05 * continued.without.p50, `seed ${seed}: median ${continued.without.p50} ms without, ${continued.with.p50} ms with hedges that the upstreams go on with`);
        t.ok(continued.with.p99 <= 1.02 * continued.without.p99, `seed ${seed}: p99 ${continued.without.p99} ms without, ${continued.with.p99} ms with hedges that the upstreams go on with`);
        const ofRequest = doTest("slowness of the requests", { load: 0.5, isSlownessOfRequest: true });
        t.ok(ofRequest.with.extraShare < 0.01, `seed ${seed}: hedging stops where hedges do not win`);
    }
});
