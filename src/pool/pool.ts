/** Maintains the upstreams of every service across configuration and discovery changes. */

import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import * as routeLatencies from "./routeLatencies.js";
import type * as types from "./types.js";
import * as upstream from "./upstream.js";

/** Duration of the traffic ramp of an upstream that joins a running service, in milliseconds. */
const joinRampMs = 3_000;

/** Callbacks for the start and end of attempts. */
export interface AttemptObserver {
    readonly onStart?: (upstream: upstream.Upstream, attempt: types.AttemptRecord) => void;
    /** Called once per attempt, also if it was cancelled. */
    readonly onEnd: (upstream: upstream.Upstream, attempt: types.AttemptRecord, outcome: types.AttemptOutcome, now: number) => void;
}

/** A configured service and its current upstreams. */
export interface ServicePool {
    readonly name: string;
    readonly definition: configuration.ServiceDefinition;
    readonly upstreams: readonly upstream.Upstream[];
}

/** An upstream from a discovery directory, in addition to those in the configuration. */
export interface DiscoveredUpstream {
    readonly service: string;
    readonly definition: configuration.UpstreamDefinition;
}

interface CreateOrReuseOptions {
    readonly service: string;
    readonly definition: configuration.ServiceDefinition;
    readonly upstreamDefinition: configuration.UpstreamDefinition;
    readonly isDiscovered: boolean;
    /** The service's upstreams so far, by identifier. */
    readonly existing: ReadonlyMap<string, upstream.Upstream>;
    /** Whether the service had a pool before. */
    readonly hasPool: boolean;
}

/** Holds the upstreams of all services, and reports attempts to observers. */
export class Pool {
    private readonly pools = new Map<string, ServicePool>();
    private services: ReadonlyMap<string, configuration.ServiceDefinition> = new Map();
    private discovered: readonly DiscoveredUpstream[] = [];
    private readonly observers: AttemptObserver[] = [];
    private readonly changeListeners: (() => void)[] = [];
    private readonly upstreamsListeners: (() => void)[] = [];
    /** Latency quantiles by service and route. */
    readonly latencies = new routeLatencies.RouteLatencies();

    constructor(private readonly context: context.Context) {}

    /** Returns the pool of a service by name; undefined if the service is not configured. */
    getServicePool(service: string): ServicePool | undefined {
        return this.pools.get(service);
    }

    /** Lists the pools of all configured services. */
    listServicePools(): readonly ServicePool[] {
        return [...this.pools.values()];
    }

    /** Returns an upstream by service and identifier. */
    getUpstream(key: types.UpstreamKey): upstream.Upstream | undefined {
        return this.pools.get(key.service)?.upstreams.find(candidate => candidate.getId() === key.upstream);
    }

    /** Adds an observer of attempts at all upstreams. */
    addObserver(observer: AttemptObserver): void {
        this.observers.push(observer);
    }

    /** Adds a listener that is called when an upstream may have become available. */
    addChangeListener(listener: () => void): void {
        this.changeListeners.push(listener);
    }

    /** Adds a listener that is called after upstreams were added, replaced or removed, and before they are used. */
    addUpstreamsListener(listener: () => void): void {
        this.upstreamsListeners.push(listener);
    }

    /** Calls the listeners after an upstream may have become available. */
    notifyChangeListeners(): void {
        this.changeListeners.forEach(listener => listener());
    }

    /** Applies the services of a new configuration. */
    setConfiguration(document: configuration.ConfigurationDocument): void {
        this.services = new Map(Object.entries(document.services));
        this.applyDefinitions();
    }

    /** Replaces the discovered upstreams. Upstreams of unconfigured services are used once their service is configured. */
    setDiscoveredUpstreams(discovered: readonly DiscoveredUpstream[]): void {
        this.discovered = discovered;
        this.applyDefinitions();
    }

    private applyDefinitions(): void {
        const discoveredByService = new Map<string, configuration.UpstreamDefinition[]>();
        for (const { service, definition } of this.discovered) {
            const definitions = discoveredByService.get(service) ?? [];
            definitions.push(definition);
            discoveredByService.set(service, definitions);
        }
        for (const name of this.pools.keys()) {
            if (!this.services.has(name)) {
                this.pools.delete(name);
            }
        }
        for (const [name, definition] of this.services) {
            const before = this.pools.get(name);
            const existing = new Map(before?.upstreams.map(upstream => [upstream.getId(), upstream]));
            const createOrReuse = (upstreamDefinition: configuration.UpstreamDefinition, isDiscovered: boolean) =>
                this.createOrReuseUpstream({ service: name, definition, upstreamDefinition, isDiscovered, existing, hasPool: before !== undefined });
            const upstreams = [
                ...definition.upstreams.map(entry => createOrReuse(entry, false)),
                ...(discoveredByService.get(name) ?? []).map(entry => createOrReuse(entry, true)),
            ];
            this.pools.set(name, { name, definition, upstreams });
        }
        this.upstreamsListeners.forEach(listener => listener());
        this.notifyChangeListeners();
    }

    /** Records the start of an attempt at an upstream and notifies the observers. */
    startAttempt(upstream: upstream.Upstream, route: string, rankIndex: number): types.AttemptRecord {
        const attempt = { route, rankIndex, startedAt: this.context.clock.getNow() };
        upstream.attempts.add(attempt);
        this.observers.forEach(observer => observer.onStart?.(upstream, attempt));
        return attempt;
    }

    /** Records the end of an attempt and notifies observers and listeners. Idempotent for each attempt. */
    finishAttempt(upstream: upstream.Upstream, attempt: types.AttemptRecord, outcome: types.AttemptOutcome): void {
        if (!upstream.attempts.delete(attempt)) {
            return;
        }
        const now = this.context.clock.getNow();
        upstream.recordOutcome(outcome, now, this.context.randomness.getFraction());
        if (outcome === "answered") {
            this.latencies.recordAttempt(upstream.service, attempt);
        }
        if (outcome === "superseded") {
            this.latencies.recordLowerBound(upstream.service, attempt, now);
        }
        this.observers.forEach(observer => observer.onEnd(upstream, attempt, outcome, now));
        this.notifyChangeListeners();
    }

    /** Returns the state of every pool for the operators' dump. */
    getDump(): unknown {
        const now = this.context.clock.getNow();
        return Object.fromEntries(
            this.listServicePools().map(pool => [pool.name, {
                floor: pool.definition.floor,
                upstreams: pool.upstreams.map(entry => ({
                    id: entry.getId(),
                    address: entry.getAddress(),
                    failureDomain: entry.getFailureDomain(),
                    routability: entry.routability.kind,
                    isLeaving: entry.isLeaving(now),
                    isAvoided: entry.isAvoided(now),
                    inFlight: entry.getInFlight(),
                    limit: entry.getConcurrencyLimit(),
                })),
            }]),
        );
    }

    /** Keeps an upstream's state unless its address or start time changed, which means a new process. */
    private createOrReuseUpstream({ service, definition, upstreamDefinition, isDiscovered, existing, hasPool }: CreateOrReuseOptions): upstream.Upstream {
        const reusable = existing.get(upstreamDefinition.id);
        const slots = upstreamDefinition.slots ?? definition.slots;
        if (reusable !== undefined && reusable.getAddress() === upstreamDefinition.address && reusable.getStartedAt() === upstreamDefinition.startedAtMs) {
            reusable.setDefinition(upstreamDefinition, slots);
            return reusable;
        }
        const created = new upstream.Upstream({ service, definition: upstreamDefinition, slots, isDiscovered });
        if (hasPool) {
            created.routability = { kind: "recovering", startedAt: this.context.clock.getNow(), durationMs: joinRampMs };
        }
        return created;
    }
}

/** The service key of the upstream pool. */
export const poolKey = serviceRegistry.createServiceKey<Pool>("pool");
