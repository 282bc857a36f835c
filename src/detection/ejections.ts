/**
 * Decides which upstreams of one service are ejected, at the instance that decides for the service. Ejections never
 * reduce the number of routable upstreams below the floor.
 */

import { match } from "ts-pattern";
import type * as classification from "./classification.js";

/** The duration of the first ejection; each recurrence doubles it, up to the maximum. */
const firstEjectionMs = 4_000;
const maximumEjectionMs = 120_000;
/** An upstream that stays healthy for this time loses one recurrence. */
const recurrenceDecayMs = 60_000;
/** The number of successes that end a trial. */
const requiredTrialSuccesses = 3;
/** A trial without a result is assigned to another instance after this time. */
const trialAssignmentMs = 2_000;
/** A trial that has not failed ends after this time, since a service with few or only non-repeatable requests never yields the successes. */
const maximumTrialMs = 10_000;
/** The time in which the fraction of requests that a recovering upstream receives grows from 0 to 1. */
export const recoveryRampMs = 4_000;

/** The phase of an upstream that is not fully routable; times are monotonic milliseconds. `Routability` tells which requests it receives in each phase. */
export type Phase =
    | { readonly kind: "ejected"; readonly until: number; readonly reason: string; }
    | { readonly kind: "trial"; readonly startedAt: number; readonly assignedAt: number; readonly assignedTo: string; readonly reason: string; }
    | { readonly kind: "recovering"; readonly startedAt: number; };

interface EjectionRecord {
    phase?: Phase;
    /** The number of recent ejections. */
    recurrence: number;
    /** When the upstream last became routable or lost a recurrence, in monotonic milliseconds. */
    healthySince: number;
}

/** The input of one decision on a service. */
export interface DecisionInput {
    /** The current time, in monotonic milliseconds. */
    readonly now: number;
    readonly classifications: ReadonlyMap<string, classification.Classification>;
    /** The upstreams that are configured and not leaving. */
    readonly live: readonly string[];
    /** The minimum number of upstreams that must stay routable. */
    readonly floor: number;
    /** The instances that follow this decider. */
    readonly followers: readonly string[];
    /** The number of all instances that might be in the fleet. */
    readonly knownInstances: number;
}

/** A change of an upstream's phase, for the log. */
export interface PhaseChange {
    readonly upstream: string;
    readonly change: "ejected" | "trial" | "recovering" | "routable";
    readonly reason: string;
}

/**
 * Returns how many upstreams a decider may keep ejected at the same time.
 * @param live - The number of upstreams that are not leaving.
 * @param floor - The minimum number of upstreams that must stay routable.
 * @param followers - The number of instances that follow the decider.
 * @param knownInstances - The number of all instances that might be in the fleet.
 * @remarks Each instance follows exactly one decider. Therefore the budgets of the deciders on both sides of a network
 * partition add up to at most the full budget.
 */
export function computeEjectionBudget(live: number, floor: number, followers: number, knownInstances: number): number {
    const fullBudget = Math.max(0, live - floor);
    return Math.floor((fullBudget * Math.min(followers, knownInstances)) / Math.max(1, knownInstances));
}

/** Decides the phases of one service's upstreams. */
export class Ejections {
    private readonly records = new Map<string, EjectionRecord>();

    /** Returns the upstreams that are not fully routable, with their phases and recurrences. */
    listPhases(): readonly { readonly upstream: string; readonly phase: Phase; readonly recurrence: number; }[] {
        return [...this.records].flatMap(([upstream, { phase, recurrence }]) => phase === undefined ? [] : [{ upstream, phase, recurrence }]);
    }

    /**
     * Takes over a phase that a former decider published.
     * @param recurrence - The number of recent ejections.
     * @param now - The time, in monotonic milliseconds.
     */
    setPhase(upstream: string, phase: Phase, recurrence: number, now: number): void {
        this.records.set(upstream, { phase, recurrence, healthySince: now });
    }

    /** Removes all phases and recurrences, because the decider of the service has changed. */
    removeAll(): void {
        this.records.clear();
    }

    /**
     * Moves every upstream to its next phase, and ejects outliers.
     * @returns The changes, in the order in which they were made.
     */
    decidePhases(input: DecisionInput): readonly PhaseChange[] {
        const live = new Set(input.live);
        for (const upstream of this.records.keys()) {
            if (!live.has(upstream)) {
                this.records.delete(upstream);
            }
        }
        const changes = input.live.flatMap(upstream => this.decidePhase(upstream, input) ?? []);
        return [...changes, ...this.restoreOverBudget(input), ...this.ejectOutliers(input)];
    }

    /** Counts the upstreams that are ejected or in a trial. */
    countOutOfRotation(): number {
        return this.listPhases().filter(({ phase }) => phase.kind !== "recovering").length;
    }

    private decidePhase(upstream: string, input: DecisionInput): PhaseChange | undefined {
        const record = this.records.get(upstream);
        const { now, classifications } = input;
        if (record === undefined) {
            return undefined;
        }
        if (record.phase === undefined) {
            this.removeRecurrence(upstream, record, now);
            return undefined;
        }
        return match(record.phase)
            .with({ kind: "ejected" }, phase => now < phase.until ? undefined : this.startTrial(upstream, record, phase.reason, input))
            .with({ kind: "trial" }, phase => this.decideTrial(upstream, record, phase, classifications.get(upstream)?.summary, input))
            .with({ kind: "recovering" }, phase => {
                if (now - phase.startedAt < recoveryRampMs) {
                    return undefined;
                }
                record.phase = undefined;
                record.healthySince = now;
                return { upstream, change: "routable" as const, reason: "the recovery ramp is complete" };
            })
            .exhaustive();
    }

    private startTrial(upstream: string, record: EjectionRecord, reason: string, input: DecisionInput): PhaseChange {
        const assignedTo = this.chooseTrialInstance(upstream, record, input);
        record.phase = { kind: "trial", startedAt: input.now, assignedAt: input.now, assignedTo, reason };
        return { upstream, change: "trial", reason: `instance ${assignedTo} sends it repeatable requests as a trial` };
    }

    private decideTrial(upstream: string, record: EjectionRecord, phase: Phase & { kind: "trial"; }, summary: classification.StatisticsSummary | undefined, input: DecisionInput): PhaseChange | undefined {
        const { now } = input;
        const trialMs = now - phase.startedAt;
        // Attempts sent before the trial started do not count.
        if (summary !== undefined && summary.streak > 0 && summary.newestBadMs < trialMs) {
            return this.eject(upstream, record, `failed its trial; before: ${phase.reason}`, now);
        }
        const successes = summary?.ok ?? 0;
        if (successes >= requiredTrialSuccesses || trialMs >= maximumTrialMs) {
            record.phase = { kind: "recovering", startedAt: now };
            return { upstream, change: "recovering", reason: `the trial ended after ${Math.round(trialMs)} ms with ${successes} requests answered in time` };
        }
        if (now - phase.assignedAt >= trialAssignmentMs) {
            record.phase = { ...phase, assignedAt: now, assignedTo: this.chooseTrialInstance(upstream, record, input, phase.assignedTo) };
        }
        return undefined;
    }

    private eject(upstream: string, record: EjectionRecord, reason: string, now: number): PhaseChange {
        const durationMs = Math.min(maximumEjectionMs, firstEjectionMs * 2 ** record.recurrence);
        record.recurrence += 1;
        record.phase = { kind: "ejected", until: now + durationMs, reason };
        return { upstream, change: "ejected", reason: `${reason}; for ${durationMs} ms` };
    }

    /** Ejects outliers within the budget, as long as the number of healthy routable upstreams is at least the floor. */
    private ejectOutliers(input: DecisionInput): readonly PhaseChange[] {
        const changes: PhaseChange[] = [];
        const budget = computeEjectionBudget(input.live.length, input.floor, input.followers.length, input.knownInstances);
        for (const [upstream, classification] of input.classifications) {
            const record = this.records.get(upstream) ?? { recurrence: 0, healthySince: input.now };
            const isOutOfRotation = record.phase !== undefined && record.phase.kind !== "recovering";
            if (classification.kind !== "outlier" || isOutOfRotation || !input.live.includes(upstream)) {
                continue;
            }
            if (this.countOutOfRotation() >= budget || this.countRoutableHealthy(input) < input.floor) {
                continue;
            }
            this.records.set(upstream, record);
            changes.push(this.eject(upstream, record, classification.reason, input.now));
        }
        return changes;
    }

    private countRoutableHealthy(input: DecisionInput): number {
        const outOfRotation = new Set(this.listPhases().filter(({ phase }) => phase.kind !== "recovering").map(({ upstream }) => upstream));
        return input.live.filter(upstream => !outOfRotation.has(upstream) && (input.classifications.get(upstream)?.kind ?? "healthy") === "healthy").length;
    }

    /** Restores upstreams if the budget has shrunk: those in a trial first, then those whose ejection ends soonest. */
    private restoreOverBudget(input: DecisionInput): readonly PhaseChange[] {
        const budget = computeEjectionBudget(input.live.length, input.floor, input.followers.length, input.knownInstances);
        const outOfRotation = this.listPhases().filter(({ phase }) => phase.kind !== "recovering");
        const getEndsAt = (phase: Phase) => phase.kind === "ejected" ? phase.until : 0;
        const restored = outOfRotation.sort((a, b) => getEndsAt(a.phase) - getEndsAt(b.phase)).slice(0, Math.max(0, outOfRotation.length - budget));
        return restored.map(({ upstream }) => {
            this.records.get(upstream)!.phase = { kind: "recovering", startedAt: input.now };
            return { upstream, change: "recovering", reason: `only ${budget} upstreams may be ejected now` };
        });
    }

    private removeRecurrence(upstream: string, record: EjectionRecord, now: number): void {
        if (now - record.healthySince < recurrenceDecayMs) {
            return;
        }
        record.recurrence -= 1;
        record.healthySince = now;
        if (record.recurrence <= 0) {
            this.records.delete(upstream);
        }
    }

    /** Chooses the instance that sends trial requests to an upstream, in rotation over the followers. */
    private chooseTrialInstance(upstream: string, record: EjectionRecord, input: DecisionInput, previous?: string): string {
        const sorted = [...input.followers].sort();
        const first = (record.recurrence + upstream.length) % Math.max(1, sorted.length);
        const next = previous === undefined ? first : (sorted.indexOf(previous) + 1) % Math.max(1, sorted.length);
        return sorted[next] ?? "";
    }
}
