/** A configuration in the form that requests are matched against. */

import type * as chunks from "./chunks.js";
import type * as schema from "./schema.js";

/** A route to one service, with its place among the ranks. */
export interface CompiledRoute extends schema.RouteDefinition {
    readonly service: string;
    /** 0 for the most urgent rank. */
    readonly rankIndex: number;
    /** Of a split route: the route to each part, and the parts' weights; `service` is the first part's. */
    readonly splitTargets: readonly SplitTarget[];
}

/** One service's part of a split route. */
export interface SplitTarget {
    readonly weight: number;
    readonly route: CompiledRoute;
}

/** A configuration in force. */
export interface CompiledConfiguration {
    readonly head: chunks.ConfigurationHead;
    readonly document: schema.ConfigurationDocument;
    readonly retiredFeatures: ReadonlySet<string>;
    /** Routes by host, method and path prefix. */
    readonly routes: ReadonlyMap<string, CompiledRoute>;
}

/** What a route is looked up by. */
export interface RouteQuery {
    readonly method: string;
    /** The host that the caller named, without its port. */
    readonly host?: string;
    /** The path without its query. */
    readonly path: string;
}

const anyHost = "";

/**
 * Compiles a document.
 * @param head - The head that names its chunks.
 * @param document - The checked document.
 */
export function createCompiledConfiguration(head: chunks.ConfigurationHead, document: schema.ConfigurationDocument): CompiledConfiguration {
    const rankIndexes = new Map(document.ranks.map((rank, index) => [rank.name, index]));
    const routes = new Map<string, CompiledRoute>();
    for (const route of document.routes) {
        const compiled = createRoute(route, rankIndexes.get(route.rank)!);
        const hosts = route.hosts.length === 0 ? [anyHost] : route.hosts;
        hosts.forEach(host => route.methods.forEach(method => routes.set(createRouteKey(host, method, route.pathPrefix), compiled)));
    }
    return { head, document, retiredFeatures: new Set(document.retiredFeatures), routes };
}

/**
 * Finds the route of a request: of those of its host, else of those of any host, the one with the longest prefix.
 * @param compiled - The configuration in force.
 * @param query - The request's method, host and path.
 */
export function findRoute(compiled: CompiledConfiguration, query: RouteQuery): CompiledRoute | undefined {
    const host = query.host ?? anyHost;
    return findHostRoute(compiled, host, query) ?? (host === anyHost ? undefined : findHostRoute(compiled, anyHost, query));
}

function findHostRoute({ routes }: CompiledConfiguration, host: string, { method, path }: RouteQuery): CompiledRoute | undefined {
    const whole = routes.get(createRouteKey(host, method, path));
    if (whole !== undefined) {
        return whole;
    }
    for (let slash = path.lastIndexOf("/"); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)) {
        const route = routes.get(createRouteKey(host, method, path.slice(0, slash + 1))) ?? (slash === 0 ? undefined : routes.get(createRouteKey(host, method, path.slice(0, slash))));
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}

function createRoute(route: schema.RouteDefinition, rankIndex: number): CompiledRoute {
    const createPart = (service: string): CompiledRoute => ({ ...route, service, rankIndex, splitTargets: [] });
    if (route.service !== undefined) {
        return createPart(route.service);
    }
    const parts = route.split.map(({ service, weight }) => ({ weight, route: createPart(service) }));
    return { ...parts[0]!.route, splitTargets: parts };
}

function createRouteKey(host: string, method: string, prefix: string): string {
    return `${host} ${method} ${prefix}`;
}
