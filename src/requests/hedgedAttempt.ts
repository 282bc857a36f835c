/** Sends an attempt, and a second one at another upstream if the first takes unusually long. Exactly one of them has its result used. */

import { match } from "ts-pattern";
import type * as admission from "../admission/index.js";
import type * as pool from "../pool/index.js";
import type * as attempt from "./attempt.js";
import type * as executorContext from "./executorContext.js";
import type * as hedgePolicy from "./hedgePolicy.js";

/** The longest time between two timeout checks while two attempts run, because the end of one changes the time-out of the other, in milliseconds. */
const timeoutCheckIntervalMs = 50;

/** What the executor counts for a request; a subset of it. */
export interface HedgeProgress {
    readonly excludedUpstreamIds: Set<string>;
    attempts: number;
    sentAttempts: number;
    readonly isContinuation: boolean;
}

/** Options of an attempt that may be hedged. */
export interface HedgedAttemptOptions {
    readonly attempt: Omit<attempt.SendAttemptOptions, "onNotice" | "getWaitMs">;
    readonly progress: HedgeProgress;
    /** Returns the time until the next timeout check of an attempt, or that it has timed out. */
    readonly getWaitMs: (upstream: pool.Upstream, ageMs: number) => number | "timedOut";
}

/** The attempt whose result counts. Its slot is still held. */
export interface AttemptEnd {
    readonly slot: admission.Slot;
    readonly result: attempt.AttemptResult;
}

interface RunningAttempt {
    readonly slot: admission.Slot;
    readonly isHedge: boolean;
    readonly controller: AbortController;
}

/**
 * Sends an attempt, and a hedge when one is due and allowed.
 * @remarks The result is that of the first attempt with a usable response, else of the attempt that ended last. The other
 * attempt is closed at once, and its slot is released. An attempt that the upstream may have run is counted in `progress`,
 * apart from the one whose result is returned.
 */
export async function sendAttempt(executor: executorContext.ExecutorContext, options: HedgedAttemptOptions): Promise<AttemptEnd> {
    const { attempt: { slot, request: { route } }, progress } = options;
    const maximumShare = executor.hedging.getMaximumShare(route);
    const isFirstAttempt = progress.attempts === 1 && !progress.isContinuation;
    if (maximumShare > 0 && isFirstAttempt) {
        executor.hedging.getPolicy(route.service).recordRequest(route.name, maximumShare);
    }
    const delayMs = maximumShare > 0 && isFirstAttempt ? executor.hedging.getDelayMs(route) : undefined;
    if (delayMs === undefined) {
        return { slot, result: await executor.sendAttempt({ ...options.attempt, getWaitMs: ageMs => options.getWaitMs(slot.upstream, ageMs) }) };
    }
    return new HedgedAttempt(executor, options, delayMs).run();
}

/** An attempt that is hedged when it takes longer than a delay. */
class HedgedAttempt {
    private readonly running = new Set<RunningAttempt>();
    private hedge: RunningAttempt | undefined;
    private isHedgeDecided = false;
    private isEnded = false;
    private resolve: (end: AttemptEnd) => void = () => {};
    private reject: (error: Error) => void = () => {};

    constructor(private readonly executor: executorContext.ExecutorContext, private readonly options: HedgedAttemptOptions, private readonly delayMs: number) {}

    /** Runs the attempt. An exception of either attempt ends both. */
    run(): Promise<AttemptEnd> {
        return new Promise((resolve, reject) => {
            this.resolve = resolve;
            this.reject = reject;
            this.start(this.options.attempt.slot, false);
        });
    }

    private start(slot: admission.Slot, isHedge: boolean): RunningAttempt {
        const started: RunningAttempt = { slot, isHedge, controller: new AbortController() };
        this.running.add(started);
        this.send(started).then(result => {
            const end = this.handleEnd(started, result);
            if (end !== undefined) {
                this.resolve(end);
            }
        }).catch((thrown: unknown) => {
            this.isEnded = true;
            this.running.delete(started);
            this.running.forEach(({ controller }) => controller.abort());
            this.reject(thrown instanceof Error ? thrown : new Error(String(thrown)));
        });
        return started;
    }

    private async send({ slot, isHedge, controller }: RunningAttempt): Promise<attempt.AttemptResult> {
        const { attempt: attemptOptions } = this.options;
        const { signal } = attemptOptions;
        // AbortSignal.any does the same with weak references and costs several times as much for each request.
        const onCallerAbort = () => controller.abort();
        signal.addEventListener("abort", onCallerAbort, { once: true });
        if (signal.aborted) {
            controller.abort();
        }
        const result = this.executor.sendAttempt({ ...attemptOptions, slot, signal: controller.signal, getWaitMs: ageMs => this.getWaitMs(slot.upstream, isHedge, ageMs) });
        return result.finally(() => signal.removeEventListener("abort", onCallerAbort));
    }

    /** Returns the time until the next timeout check. The checks of the first attempt also start the hedge, so that a request needs no further timer. */
    private getWaitMs(upstream: pool.Upstream, isHedge: boolean, ageMs: number): number | "timedOut" {
        if (this.running.size < 2) {
            const waitMs = this.options.getWaitMs(upstream, ageMs);
            if (waitMs === "timedOut" || isHedge || this.isHedgeDecided) {
                return waitMs;
            }
            if (ageMs < this.delayMs) {
                return Math.min(waitMs, this.delayMs - ageMs);
            }
            this.isHedgeDecided = true;
            const hedgeSlot = this.acquireHedgeSlot();
            if (hedgeSlot === undefined) {
                return waitMs;
            }
            this.hedge = this.start(hedgeSlot, true);
        }
        const remainingMs = this.options.attempt.request.deadlineAt - this.executor.context.clock.getNow();
        return remainingMs <= 0 ? "timedOut" : Math.min(timeoutCheckIntervalMs, remainingMs);
    }

    /** Handles the end of an attempt. Returns it if its result counts. */
    private handleEnd(ended: RunningAttempt, result: attempt.AttemptResult): AttemptEnd | undefined {
        const { progress, attempt: { request: { route } } } = this.options;
        this.running.delete(ended);
        if (this.isEnded) {
            this.releaseSuperseded(ended, result);
            return undefined;
        }
        const isUsable = isUsableResult(result);
        if (!isUsable && this.running.size > 0) {
            this.releaseFailed(ended, result);
            return undefined;
        }
        this.isEnded = true;
        for (const loser of this.running) {
            progress.sentAttempts += 1;
            progress.excludedUpstreamIds.add(loser.slot.upstream.getId());
            loser.controller.abort();
        }
        if (this.hedge !== undefined) {
            const hedgeResult = !isUsable ? "failed" : ended.isHedge ? "won" : "lost";
            this.executor.hedging.recordEnd(route, hedgeResult);
            this.options.attempt.request.trail.push(`[hedge to ${this.hedge.slot.upstream.getId()}: ${hedgeResult}]`);
        }
        return { slot: ended.slot, result };
    }

    /** Releases an attempt after another one was answered. That it took longer says nothing about its upstream's health. */
    private releaseSuperseded({ slot }: RunningAttempt, result: attempt.AttemptResult): void {
        closeResponse(result);
        slot.release("superseded");
    }

    /** Releases an attempt that failed while another one goes on. */
    private releaseFailed({ slot }: RunningAttempt, result: attempt.AttemptResult): void {
        const { progress } = this.options;
        closeResponse(result);
        progress.excludedUpstreamIds.add(slot.upstream.getId());
        match(result)
            .with({ kind: "answered" }, { kind: "lost" }, () => {
                progress.sentAttempts += 1;
                slot.release("failed");
            })
            .with({ kind: "timedOut" }, () => {
                progress.sentAttempts += 1;
                slot.release("timedOut");
            })
            .with({ kind: "cancelled" }, ({ wasSent }) => {
                progress.sentAttempts += wasSent ? 1 : 0;
                slot.release("cancelled");
            })
            .with({ kind: "shed" }, { kind: "unreachable" }, ({ kind }) => slot.release(kind))
            .exhaustive();
    }

    /** Acquires a free slot for the hedge, which is then counted; undefined if it must not be sent. */
    private acquireHedgeSlot(): admission.Slot | undefined {
        const { hedging } = this.executor;
        const { attempt: { request }, progress } = this.options;
        const denial = this.getDenial();
        const slot = denial === undefined ? this.executor.acquireFreeSlot(request, new Set([...progress.excludedUpstreamIds, this.options.attempt.slot.upstream.getId()])) : undefined;
        if (slot === undefined || !this.executor.getRetryBudget(request.route.service).acquireRetry()) {
            slot?.release("cancelled");
            const reason = denial ?? (slot === undefined ? "noSlot" : "budget");
            hedging.recordDenial(request.route, reason);
            request.trail.push(`[hedge not sent: ${reason}]`);
            return undefined;
        }
        hedging.recordSent(request.route);
        progress.attempts += 1;
        return slot;
    }

    private getDenial(): hedgePolicy.HedgeDenial | undefined {
        const { context: { clock }, hedging } = this.executor;
        const { attempt: { request }, progress } = this.options;
        const { route, deadlineAt, signal } = request;
        const now = clock.getNow();
        if (progress.sentAttempts + 2 > route.maximumAttempts) {
            return "attempts";
        }
        const medianMs = this.executor.latencies.getQuantile(route.service, route.name, 0.5) ?? 0;
        if (signal.aborted || deadlineAt - now < medianMs || this.executor.getDrainError(request, true) !== undefined) {
            return "deadline";
        }
        const denial = hedging.getPolicy(route.service).getDenial(route.name, this.executor.getUtilization(route.service), now);
        return denial ?? (this.executor.getRetryBudget(route.service).getRemainingRetries() < 1 ? "budget" : undefined);
    }
}

function isUsableResult(result: attempt.AttemptResult): boolean {
    return result.kind === "answered" && (result.response.statusCode ?? 0) < 500;
}

/** Closes the connection of a response that is not used. */
function closeResponse(result: attempt.AttemptResult): void {
    if (result.kind === "answered") {
        result.response.on("error", () => {});
        result.response.destroy();
    }
}
