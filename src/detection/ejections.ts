/** The ejections of one service, decided in one place and never below the floor. */

import { match } from "ts-pattern";
import type * as classification from "./classification.js";

/** The first ejection's length, doubled with each recurrence up to the maximum, in milliseconds. */
const firstEjectionMs = 4_000;
const maximumEjectionMs = 120_000;
/** Health for this long takes one recurrence back, in milliseconds. */
const forgiveAfterMs = 60_000;
/** Successes that a trial needs. */
const trialSuccesses = 3;
/** After this long without a result the trial goes to another instance, in milliseconds. */
const trialTurnMs = 2_000;
/** The time over which a recovered upstream's requests grow to its full part, in milliseconds. */
export const recoveryRampMs = 4_000;

/** The phase of an upstream that is not simply routable. */
export type Phase =
    | { readonly kind: "ejected"; readonly until: number; readonly reason: string; }
    | { readonly kind: "trial"; readonly startedAt: number; readonly assignedAt: number; readonly assignedTo: string; readonly reason: string; }
    | { readonly kind: "recovering"; readonly startedAt: number; };

interface Ledger {
    phase?: Phase;
    recurrence: number;
    healthySince: number;
}

/** What a decision is made from. */
export interface DecisionInput {
    readonly now: number;
    readonly classifications: ReadonlyMap<string, classification.Classification>;
    /** The upstreams that are configured and do not leave. */
    readonly live: readonly string[];
    /** The fewest upstreams that must stay routable. */
    readonly floor: number;
    /** The instances that follow this decider, and all that might be in the fleet. */
    readonly followers: readonly string[];
    readonly knownInstances: number;
}

/** A change of an upstream's phase, for the log. */
export interface PhaseChange {
    readonly upstream: string;
    readonly change: "ejected" | "trial" | "recovering" | "routable";
    readonly reason: string;
}

/**
 * Returns how many upstreams may be ejected at once by a decider.
 * @param live - The upstreams that do not leave.
 * @param floor - The fewest that must stay routable.
 * @param followers - The instances that follow the decider.
 * @param knownInstances - All instances that might be in the fleet.
 * @remarks Each instance follows one decider, so the budgets of deciders on the sides of a partition add up to at most
 * the whole budget.
 */
export function computeEjectionBudget(live: number, floor: number, followers: number, knownInstances: number): number {
    const whole = Math.max(0, live - floor);
    return Math.floor((whole * Math.min(followers, knownInstances)) / Math.max(1, knownInstances));
}

/** Decides the phases of one service's upstreams. */
export class Ejections {
    private readonly ledgers = new Map<string, Ledger>();

    /** Returns the upstreams that are not simply routable, with their phases and recurrences. */
    listPhases(): readonly { readonly upstream: string; readonly phase: Phase; readonly recurrence: number; }[] {
        return [...this.ledgers].flatMap(([upstream, { phase, recurrence }]) => phase === undefined ? [] : [{ upstream, phase, recurrence }]);
    }

    /**
     * Takes over a phase that another decider had published.
     * @param upstream - The upstream.
     * @param phase - Its phase.
     * @param recurrence - How often it was ejected of late.
     * @param now - The time.
     */
    setPhase(upstream: string, phase: Phase, recurrence: number, now: number): void {
        this.ledgers.set(upstream, { phase, recurrence, healthySince: now });
    }

    /** Forgets everything, when this instance is no longer the decider. */
    removeAll(): void {
        this.ledgers.clear();
    }

    /**
     * Moves every upstream to its next phase.
     * @param input - The evidence, the floor and the followers.
     */
    decidePhases(input: DecisionInput): readonly PhaseChange[] {
        const live = new Set(input.live);
        for (const upstream of this.ledgers.keys()) {
            if (!live.has(upstream)) {
                this.ledgers.delete(upstream);
            }
        }
        const changes = input.live.flatMap(upstream => this.decidePhase(upstream, input) ?? []);
        return [...changes, ...this.removeOverBudget(input), ...this.ejectOutliers(input)];
    }

    /** Counts the upstreams that are kept from ordinary work. */
    countOutOfRotation(): number {
        return this.listPhases().filter(({ phase }) => phase.kind !== "recovering").length;
    }

    private decidePhase(upstream: string, input: DecisionInput): PhaseChange | undefined {
        const ledger = this.ledgers.get(upstream);
        const { now, classifications: judgements } = input;
        if (ledger === undefined) {
            return undefined;
        }
        if (ledger.phase === undefined) {
            this.removeRecurrence(upstream, ledger, now);
            return undefined;
        }
        return match(ledger.phase)
            .with({ kind: "ejected" }, phase => now < phase.until ? undefined : this.startTrial(upstream, ledger, phase.reason, input))
            .with({ kind: "trial" }, phase => this.decideTrial(upstream, ledger, phase, judgements.get(upstream)?.summary, input))
            .with({ kind: "recovering" }, phase => {
                if (now - phase.startedAt < recoveryRampMs) {
                    return undefined;
                }
                ledger.phase = undefined;
                ledger.healthySince = now;
                return { upstream, change: "routable" as const, reason: "the ramp is complete" };
            })
            .exhaustive();
    }

    private startTrial(upstream: string, ledger: Ledger, reason: string, input: DecisionInput): PhaseChange {
        const assignedTo = this.chooseProber(upstream, ledger, input);
        ledger.phase = { kind: "trial", startedAt: input.now, assignedAt: input.now, assignedTo, reason };
        return { upstream, change: "trial", reason: `instance ${assignedTo} tries it with repeatable requests` };
    }

    private decideTrial(upstream: string, ledger: Ledger, phase: Phase & { kind: "trial"; }, summary: classification.StatisticsSummary | undefined, input: DecisionInput): PhaseChange | undefined {
        const { now } = input;
        const trialMs = now - phase.startedAt;
        // What was sent before the trial began says nothing about it.
        if (summary !== undefined && summary.streak > 0 && summary.newestBadMs < trialMs) {
            return this.eject(upstream, ledger, `failed its trial; before: ${phase.reason}`, now);
        }
        if ((summary?.ok ?? 0) >= trialSuccesses) {
            ledger.phase = { kind: "recovering", startedAt: now };
            return { upstream, change: "recovering", reason: `${summary!.ok} requests of its trial were answered in time` };
        }
        if (now - phase.assignedAt >= trialTurnMs) {
            ledger.phase = { ...phase, assignedAt: now, assignedTo: this.chooseProber(upstream, ledger, input, phase.assignedTo) };
        }
        return undefined;
    }

    private eject(upstream: string, ledger: Ledger, reason: string, now: number): PhaseChange {
        const lengthMs = Math.min(maximumEjectionMs, firstEjectionMs * 2 ** ledger.recurrence);
        ledger.recurrence += 1;
        ledger.phase = { kind: "ejected", until: now + lengthMs, reason };
        return { upstream, change: "ejected", reason: `${reason}; for ${lengthMs} ms` };
    }

    /** Ejects outliers while the budget lasts and enough upstreams without symptoms stay routable. */
    private ejectOutliers(input: DecisionInput): readonly PhaseChange[] {
        const changes: PhaseChange[] = [];
        const budget = computeEjectionBudget(input.live.length, input.floor, input.followers.length, input.knownInstances);
        for (const [upstream, judgement] of input.classifications) {
            const ledger = this.ledgers.get(upstream) ?? { recurrence: 0, healthySince: input.now };
            const isHeldBack = ledger.phase !== undefined && ledger.phase.kind !== "recovering";
            if (judgement.kind !== "outlier" || isHeldBack || !input.live.includes(upstream)) {
                continue;
            }
            if (this.countOutOfRotation() >= budget || this.countUnsuspected(input) < input.floor) {
                continue;
            }
            this.ledgers.set(upstream, ledger);
            changes.push(this.eject(upstream, ledger, judgement.reason, input.now));
        }
        return changes;
    }

    private countUnsuspected(input: DecisionInput): number {
        const heldBack = new Set(this.listPhases().filter(({ phase }) => phase.kind !== "recovering").map(({ upstream }) => upstream));
        return input.live.filter(upstream => !heldBack.has(upstream) && (input.classifications.get(upstream)?.kind ?? "healthy") === "healthy").length;
    }

    /** Returns upstreams to service, the longest ejected first, where the budget has shrunk. */
    private removeOverBudget(input: DecisionInput): readonly PhaseChange[] {
        const budget = computeEjectionBudget(input.live.length, input.floor, input.followers.length, input.knownInstances);
        const heldBack = this.listPhases().filter(({ phase }) => phase.kind !== "recovering");
        const until = (phase: Phase) => phase.kind === "ejected" ? phase.until : 0;
        const returned = heldBack.sort((a, b) => until(a.phase) - until(b.phase)).slice(0, Math.max(0, heldBack.length - budget));
        return returned.map(({ upstream }) => {
            this.ledgers.get(upstream)!.phase = { kind: "recovering", startedAt: input.now };
            return { upstream, change: "recovering", reason: `only ${budget} upstreams may be ejected now` };
        });
    }

    private removeRecurrence(upstream: string, ledger: Ledger, now: number): void {
        if (now - ledger.healthySince < forgiveAfterMs) {
            return;
        }
        ledger.recurrence -= 1;
        ledger.healthySince = now;
        if (ledger.recurrence <= 0) {
            this.ledgers.delete(upstream);
        }
    }

    /** Chooses the instance that tries an upstream: each in turn. */
    private chooseProber(upstream: string, ledger: Ledger, input: DecisionInput, previous?: string): string {
        const sorted = [...input.followers].sort();
        const first = (ledger.recurrence + upstream.length) % Math.max(1, sorted.length);
        const next = previous === undefined ? first : (sorted.indexOf(previous) + 1) % Math.max(1, sorted.length);
        return sorted[next] ?? "";
    }
}
