/** State of one upstream at this instance: concurrency limit, backoff and in-flight attempts. */

import type * as configuration from "../configuration/index.js";
import type * as leavingMarks from "./leavingMarks.js";
import type * as types from "./types.js";

/** Added to the concurrency limit after each answered attempt. */
const limitIncreasePerResponse = 0.1;
/** Minimum backoff after a shed response, in milliseconds. Jitter of up to the same amount is added. */
const shedPauseMs = 10;
/** Initial backoff after a failed connection, in milliseconds. It doubles with each consecutive failure; jitter of up to half is added. */
const unreachablePauseMs = 250;
const maximumUnreachablePauseMs = 8_000;

/** Options of `Upstream`. */
export interface CreateUpstreamOptions {
    readonly service: string;
    readonly definition: configuration.UpstreamDefinition;
    readonly slots: number;
    /** Whether a directory lists the upstream; otherwise the configuration does. */
    readonly isDiscovered?: boolean;
}

/** Mutable state of one upstream. Times are monotonic milliseconds unless stated otherwise. */
export class Upstream {
    /** In-flight attempts of this instance. */
    readonly attempts = new Set<types.AttemptRecord>();
    /** Set by failure detection, and for an upstream that joins a running service. */
    routability: types.Routability = { kind: "routable" };
    private definition: configuration.UpstreamDefinition;
    private slots: number;
    private concurrencyLimit: number;
    private pausedUntil = 0;
    private consecutiveConnectFailures = 0;
    private avoidedUntil = 0;
    private leavingUntil = 0;
    private requestedPauseUntil = 0;

    constructor(options: CreateUpstreamOptions) {
        this.service = options.service;
        this.definition = options.definition;
        this.slots = options.slots;
        this.concurrencyLimit = options.slots;
        this.isDiscovered = options.isDiscovered ?? false;
    }

    readonly service: string;
    private readonly isDiscovered: boolean;

    /** Returns the upstream's identifier, which is unique within its service. */
    getId(): string {
        return this.definition.id;
    }

    /** Returns the address as HOST:PORT. */
    getAddress(): string {
        return this.definition.address;
    }

    /** Returns when the upstream's process started, in milliseconds since the epoch; undefined if unknown. */
    getStartedAt(): number | undefined {
        return this.definition.startedAtMs;
    }

    /** Returns what identifies the upstream's current process. */
    getProcess(): leavingMarks.ListedProcess {
        const { id, address, startedAtMs } = this.definition;
        return { service: this.service, upstream: id, address, startedAtMs, isDiscovered: this.isDiscovered };
    }

    /** Returns the number of requests that the upstream executes concurrently for all instances together. */
    getSlots(): number {
        return this.slots;
    }

    /** Returns the failure domain that the upstream runs in. */
    getFailureDomain(): string {
        return this.definition.failureDomain;
    }

    /**
     * Applies a changed definition. A higher slot count resets the concurrency limit to it.
     * @param slots - The upstream's own slot count, or else the service's.
     */
    setDefinition(definition: configuration.UpstreamDefinition, slots: number): void {
        this.definition = definition;
        this.concurrencyLimit = slots > this.slots ? slots : Math.min(this.concurrencyLimit, slots);
        this.slots = slots;
    }

    /** Returns the number of in-flight requests of this instance. */
    getInFlight(): number {
        return this.attempts.size;
    }

    /** Returns the bytes of the request bodies of this instance's in-flight requests. */
    getBodyBytesInFlight(): number {
        return [...this.attempts].reduce((sum, { requestBytes = 0 }) => sum + requestBytes, 0);
    }

    /** Returns the current limit on this instance's in-flight requests. */
    getConcurrencyLimit(): number {
        return Math.floor(this.concurrencyLimit);
    }

    /** Returns whether the upstream is leaving and so receives no new requests. */
    isLeaving(now: number): boolean {
        return this.definition.state === "leaving" || now < this.leavingUntil;
    }

    /** Returns whether this instance currently prefers other upstreams. */
    isAvoided(now: number): boolean {
        return now < this.avoidedUntil;
    }

    /** Returns whether the upstream is not paused and this instance is below its concurrency limit. */
    hasCapacity(now: number): boolean {
        return !this.isPaused(now) && this.attempts.size < this.getConcurrencyLimit();
    }

    /** Returns whether this instance currently sends nothing to the upstream: after a shed response, a failed connection, or on the upstream's request. */
    isPaused(now: number): boolean {
        return now < this.pausedUntil || now < this.requestedPauseUntil;
    }

    /** Returns for how long the upstream still wants no requests from this instance, in milliseconds; 0 if it takes requests. */
    getRequestedPauseMs(now: number): number {
        return Math.max(0, this.requestedPauseUntil - now);
    }

    /** Records that the upstream wants no requests from this instance. Never shortens an earlier call's effect. */
    setRequestedPauseUntil(until: number): void {
        this.requestedPauseUntil = Math.max(this.requestedPauseUntil, until);
    }

    /** Makes this instance prefer other upstreams. Never shortens an earlier call's effect. */
    setAvoidedUntil(until: number): void {
        this.avoidedUntil = Math.max(this.avoidedUntil, until);
    }

    /**
     * Marks the upstream as leaving. Never shortens an earlier call's effect.
     * @param until - When the mark ends; infinite for the rest of the upstream's process.
     */
    setLeavingUntil(until: number): void {
        this.leavingUntil = Math.max(this.leavingUntil, until);
    }

    /**
     * Adapts the concurrency limit and the backoff to the outcome of an attempt.
     * @param fraction - A random number from 0 to 1, used as jitter.
     */
    recordOutcome(outcome: types.AttemptOutcome, now: number, fraction: number): void {
        if (outcome === "shed") {
            this.concurrencyLimit = Math.max(1, Math.min(this.concurrencyLimit - 1, this.attempts.size));
            this.pausedUntil = now + shedPauseMs * (1 + fraction);
        }
        if (outcome === "unreachable") {
            const backoffMs = Math.min(maximumUnreachablePauseMs, unreachablePauseMs * 2 ** this.consecutiveConnectFailures);
            this.consecutiveConnectFailures += 1;
            this.pausedUntil = now + backoffMs * (1 + fraction / 2);
        }
        if (outcome === "answered") {
            this.consecutiveConnectFailures = 0;
            this.concurrencyLimit = Math.min(this.slots, this.concurrencyLimit + limitIncreasePerResponse);
        }
    }
}
