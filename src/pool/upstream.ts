/** One upstream as this instance sees it. */

import type * as configuration from "../configuration/index.js";
import type * as types from "./types.js";

/** How much a success adds to the limit on concurrent requests. */
const limitIncreasePerAnswer = 0.1;
/** Pause after a shed answer, in milliseconds; a random part of it is added. */
const shedPauseMs = 10;
/** Pause after a failed connection, doubled with each repeat up to the maximum, in milliseconds. */
const unreachablePauseMs = 250;
const maximumUnreachablePauseMs = 8_000;

/** Options of an upstream. */
export interface CreateUpstreamOptions {
    readonly service: string;
    readonly definition: configuration.UpstreamDefinition;
    readonly slots: number;
}

/** The mutable record of one upstream. */
export class Upstream {
    /** The attempts under way. */
    readonly attempts = new Set<types.AttemptRecord>();
    /** What the fleet's decider says. */
    routability: types.Routability = { kind: "routable" };
    private definition: configuration.UpstreamDefinition;
    private slots: number;
    private concurrencyLimit: number;
    private pausedUntil = 0;
    private consecutiveConnectFailures = 0;
    private avoidedUntil = 0;
    private leavingUntil = 0;

    constructor(options: CreateUpstreamOptions) {
        this.service = options.service;
        this.definition = options.definition;
        this.slots = options.slots;
        this.concurrencyLimit = options.slots;
    }

    /** The service it belongs to. */
    readonly service: string;

    /** Returns its identifier within the service. */
    getId(): string {
        return this.definition.id;
    }

    /** Returns its address as HOST:PORT. */
    getAddress(): string {
        return this.definition.address;
    }

    /** Returns when it started, in milliseconds since the epoch, where that is known. */
    getStartedAt(): number | undefined {
        return this.definition.startedAtMs;
    }

    /** Returns how many requests it works on at once, for all instances together. */
    getSlots(): number {
        return this.slots;
    }

    /** Returns its failure domain. */
    getFailureDomain(): string {
        return this.definition.failureDomain;
    }

    /**
     * Takes over a changed definition.
     * @param definition - The definition in force.
     * @param slots - The service's slots.
     */
    setDefinition(definition: configuration.UpstreamDefinition, slots: number): void {
        if (definition.address !== this.definition.address) {
            this.leavingUntil = 0;
        }
        this.definition = definition;
        this.concurrencyLimit = slots > this.slots ? slots : Math.min(this.concurrencyLimit, slots);
        this.slots = slots;
    }

    /** Returns how many requests it works on for this instance. */
    getInFlight(): number {
        return this.attempts.size;
    }

    /** Returns the most requests that this instance now gives it at once. */
    getConcurrencyLimit(): number {
        return Math.floor(this.concurrencyLimit);
    }

    /**
     * Returns whether it gets no new work because it leaves.
     * @param now - The time.
     */
    isLeaving(now: number): boolean {
        return this.definition.state === "leaving" || now < this.leavingUntil;
    }

    /**
     * Returns whether this instance prefers others for now.
     * @param now - The time.
     */
    isAvoided(now: number): boolean {
        return now < this.avoidedUntil;
    }

    /**
     * Returns whether another request may be sent now.
     * @param now - The time.
     */
    hasCapacity(now: number): boolean {
        return !this.isPaused(now) && this.attempts.size < this.getConcurrencyLimit();
    }

    /**
     * Returns whether it gets nothing from this instance for a moment, after it refused or could not be reached.
     * @param now - The time.
     */
    isPaused(now: number): boolean {
        return now < this.pausedUntil;
    }

    /**
     * Prefers others until a time.
     * @param until - Monotonic milliseconds.
     */
    setAvoidedUntil(until: number): void {
        this.avoidedUntil = Math.max(this.avoidedUntil, until);
    }

    /**
     * Gives no new work until a time.
     * @param until - Monotonic milliseconds.
     */
    setLeavingUntil(until: number): void {
        this.leavingUntil = Math.max(this.leavingUntil, until);
    }

    /**
     * Adapts the limit and pauses to the end of an attempt.
     * @param outcome - How it ended.
     * @param now - The time.
     * @param fraction - A random number from 0 to 1.
     */
    recordOutcome(outcome: types.AttemptOutcome, now: number, fraction: number): void {
        if (outcome === "shed") {
            this.concurrencyLimit = Math.max(1, Math.min(this.concurrencyLimit - 1, this.attempts.size));
            this.pausedUntil = now + shedPauseMs * (1 + fraction);
        }
        if (outcome === "unreachable") {
            const pause = Math.min(maximumUnreachablePauseMs, unreachablePauseMs * 2 ** this.consecutiveConnectFailures);
            this.consecutiveConnectFailures += 1;
            this.pausedUntil = now + pause * (1 + fraction / 2);
        }
        if (outcome === "answered") {
            this.consecutiveConnectFailures = 0;
            this.concurrencyLimit = Math.min(this.slots, this.concurrencyLimit + limitIncreasePerAnswer);
        }
    }
}
