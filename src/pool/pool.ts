/** The upstreams of every service, kept through configuration changes. */

import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as services from "../kernel/services.js";
import * as routeLatencies from "./routeLatencies.js";
import type * as types from "./types.js";
import * as upstream from "./upstream.js";

/** The ramp of an upstream that joins a running service, in milliseconds. */
const joinRampMs = 3_000;

/** What observers of attempts are told. */
export interface AttemptObserver {
    /** Called when an attempt begins. */
    readonly onStart?: (target: upstream.Upstream, attempt: types.AttemptRecord) => void;
    /** Called when an attempt ends. */
    readonly onEnd: (target: upstream.Upstream, attempt: types.AttemptRecord, outcome: types.AttemptOutcome, now: number) => void;
}

/** A service and its upstreams. */
export interface ServicePool {
    readonly name: string;
    readonly definition: configuration.ServiceDefinition;
    readonly upstreams: readonly upstream.Upstream[];
}

/** An upstream that a directory names. */
export interface DiscoveredUpstream {
    readonly service: string;
    readonly definition: configuration.UpstreamDefinition;
}

/** Holds the pools and tells observers how attempts end. */
export class Pool {
    private readonly pools = new Map<string, ServicePool>();
    private services: ReadonlyMap<string, configuration.ServiceDefinition> = new Map();
    private discovered: readonly DiscoveredUpstream[] = [];
    private readonly observers: AttemptObserver[] = [];
    private readonly changeListeners: (() => void)[] = [];
    /** How long requests usually take. */
    readonly latencies = new routeLatencies.RouteLatencies();

    constructor(private readonly shared: context.Context) {}

    /**
     * Returns a service's pool.
     * @param service - The service's name.
     */
    getServicePool(service: string): ServicePool | undefined {
        return this.pools.get(service);
    }

    /** Lists every pool. */
    listServicePools(): readonly ServicePool[] {
        return [...this.pools.values()];
    }

    /**
     * Returns an upstream.
     * @param key - Its service and identifier.
     */
    getUpstream(key: types.UpstreamKey): upstream.Upstream | undefined {
        return this.pools.get(key.service)?.upstreams.find(candidate => candidate.getId() === key.upstream);
    }

    /**
     * Adds an observer of attempts.
     * @param observer - The observer.
     */
    addObserver(observer: AttemptObserver): void {
        this.observers.push(observer);
    }

    /**
     * Calls back when an upstream may have become available.
     * @param listener - The callback.
     */
    addChangeListener(listener: () => void): void {
        this.changeListeners.push(listener);
    }

    /** Tells the listeners that an upstream may have become available. */
    notifyChangeListeners(): void {
        this.changeListeners.forEach(listener => listener());
    }

    /**
     * Takes over the services of a configuration.
     * @param document - The document in force.
     */
    setConfiguration(document: configuration.ConfigurationDocument): void {
        this.services = new Map(Object.entries(document.services));
        this.applyDefinitions();
    }

    /**
     * Takes over what a directory names; upstreams of services that are not configured wait until they are.
     * @param discovered - The upstreams that the directory now names.
     */
    setDiscovered(discovered: readonly DiscoveredUpstream[]): void {
        this.discovered = discovered;
        this.applyDefinitions();
    }

    private applyDefinitions(): void {
        for (const name of this.pools.keys()) {
            if (!this.services.has(name)) {
                this.pools.delete(name);
            }
        }
        for (const [name, definition] of this.services) {
            const before = this.pools.get(name);
            const described = [...definition.upstreams, ...this.discovered.filter(({ service }) => service === name).map(found => found.definition)];
            const upstreams = described.map(upstreamDefinition => this.createOrReuseUpstream(name, definition, upstreamDefinition, before));
            this.pools.set(name, { name, definition, upstreams });
        }
        this.notifyChangeListeners();
    }

    /**
     * Records the start of an attempt.
     * @param target - The upstream.
     * @param route - The route's name.
     * @param rankIndex - The rank's place.
     */
    startAttempt(target: upstream.Upstream, route: string, rankIndex: number): types.AttemptRecord {
        const attempt = { route, rankIndex, startedAt: this.shared.clock.getNow() };
        target.attempts.add(attempt);
        this.observers.forEach(observer => observer.onStart?.(target, attempt));
        return attempt;
    }

    /**
     * Records the end of an attempt; a second call for the same attempt changes nothing.
     * @param target - The upstream.
     * @param attempt - The attempt.
     * @param outcome - How it ended.
     */
    finishAttempt(target: upstream.Upstream, attempt: types.AttemptRecord, outcome: types.AttemptOutcome): void {
        if (!target.attempts.delete(attempt)) {
            return;
        }
        const now = this.shared.clock.getNow();
        target.recordOutcome(outcome, now, this.shared.randomness.getFraction());
        if (outcome === "answered") {
            this.latencies.recordAttempt(target.service, attempt);
        }
        this.observers.forEach(observer => observer.onEnd(target, attempt, outcome, now));
        this.notifyChangeListeners();
    }

    /** Returns the pools' state for the dump. */
    getDump(): unknown {
        const now = this.shared.clock.getNow();
        return Object.fromEntries(
            this.listServicePools().map(pool => [pool.name, {
                floor: pool.definition.floor,
                upstreams: pool.upstreams.map(known => ({
                    id: known.getId(),
                    address: known.getAddress(),
                    failureDomain: known.getFailureDomain(),
                    routability: known.routability.kind,
                    isLeaving: known.isLeaving(now),
                    isAvoided: known.isAvoided(now),
                    inFlight: known.getInFlight(),
                    limit: known.getConcurrencyLimit(),
                })),
            }]),
        );
    }

    private createOrReuseUpstream(service: string, definition: configuration.ServiceDefinition, described: configuration.UpstreamDefinition, before: ServicePool | undefined): upstream.Upstream {
        const kept = before?.upstreams.find(candidate => candidate.getId() === described.id);
        const slots = described.slots ?? definition.slots;
        if (kept !== undefined && kept.getAddress() === described.address && kept.getStartedAt() === described.startedAtMs) {
            kept.setDefinition(described, slots);
            return kept;
        }
        const created = new upstream.Upstream({ service, definition: described, slots });
        if (before !== undefined) {
            created.routability = { kind: "recovering", startedAt: this.shared.clock.getNow(), durationMs: joinRampMs };
        }
        return created;
    }
}

/** The key of the pool service. */
export const poolKey = services.createKey<Pool>("pool");
