/** The compiled form of a configuration, in which the route of a request is looked up. */

import type * as chunks from "./chunks.js";
import type * as schema from "./schema.js";

/** A route to one service, with the position of its rank. */
export interface CompiledRoute extends schema.RouteDefinition {
    readonly service: string;
    /** 0 for the most urgent rank. */
    readonly rankIndex: number;
    /** The targets of a split route; `service` is the service of the first one. Empty if the route is not split. */
    readonly splitTargets: readonly SplitTarget[];
}

/** One service of a split route and its weight. */
export interface SplitTarget {
    readonly weight: number;
    readonly route: CompiledRoute;
}

/** A workspace, with the position of its rank. */
export interface CompiledWorkspace {
    readonly name: string;
    /** 0 for the most urgent rank; undefined if the route's rank applies. */
    readonly rankIndex: number | undefined;
    readonly quota: schema.WorkspaceDefinition["quota"];
}

/** A version of the configuration, ready for use. */
export interface CompiledConfiguration {
    readonly head: chunks.ConfigurationHead;
    readonly document: schema.ConfigurationDocument;
    readonly retiredFeatures: ReadonlySet<string>;
    /** Routes by host, method and path prefix. */
    readonly routes: ReadonlyMap<string, CompiledRoute>;
    /** Workspaces by the digest of each of their keys; empty if none are configured. */
    readonly workspaces: ReadonlyMap<string, CompiledWorkspace>;
    /** Whether requests to routes that are not public need a key. */
    readonly needsKeys: boolean;
}

/** The properties of a request that select its route. */
export interface RouteQuery {
    readonly method: string;
    /** The requested host without its port. */
    readonly host?: string;
    /** The path without the query string. */
    readonly path: string;
}

const anyHost = "";

/**
 * Compiles a validated document.
 * @param head - The head of the document's version.
 */
export function createCompiledConfiguration(head: chunks.ConfigurationHead, document: schema.ConfigurationDocument): CompiledConfiguration {
    const rankIndexes = new Map(document.ranks.map((rank, index) => [rank.name, index]));
    const routes = new Map<string, CompiledRoute>();
    for (const route of document.routes) {
        const compiledRoute = createCompiledRoute(route, rankIndexes.get(route.rank)!);
        const hosts = route.hosts.length === 0 ? [anyHost] : route.hosts;
        hosts.forEach(host => route.methods.forEach(method => routes.set(createRouteKey(host, method, route.pathPrefix), compiledRoute)));
    }
    const needsKeys = Object.keys(document.workspaces).length > 0;
    return { head, document, retiredFeatures: new Set(document.retiredFeatures), routes, workspaces: createWorkspaces(document, rankIndexes), needsKeys };
}

function createWorkspaces({ workspaces }: schema.ConfigurationDocument, rankIndexes: ReadonlyMap<string, number>): ReadonlyMap<string, CompiledWorkspace> {
    const byDigest = new Map<string, CompiledWorkspace>();
    for (const [name, { keyDigests, rank, quota }] of Object.entries(workspaces)) {
        const workspace = { name, rankIndex: rank === undefined ? undefined : rankIndexes.get(rank), quota };
        keyDigests.forEach(digest => byDigest.set(digest, workspace));
    }
    return byDigest;
}

/**
 * Finds the route of a request. Routes for its host take precedence over routes for any host; among either, the longest
 * matching path prefix wins.
 */
export function findRoute(configuration: CompiledConfiguration, query: RouteQuery): CompiledRoute | undefined {
    const host = query.host ?? anyHost;
    return findRouteOfHost(configuration, host, query) ?? (host === anyHost ? undefined : findRouteOfHost(configuration, anyHost, query));
}

function findRouteOfHost({ routes }: CompiledConfiguration, host: string, { method, path }: RouteQuery): CompiledRoute | undefined {
    const exactMatch = routes.get(createRouteKey(host, method, path));
    if (exactMatch !== undefined) {
        return exactMatch;
    }
    for (let slash = path.lastIndexOf("/"); slash >= 0; slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)) {
        const route = routes.get(createRouteKey(host, method, path.slice(0, slash + 1))) ?? (slash === 0 ? undefined : routes.get(createRouteKey(host, method, path.slice(0, slash))));
        if (route !== undefined) {
            return route;
        }
    }
    return undefined;
}

function createCompiledRoute(route: schema.RouteDefinition, rankIndex: number): CompiledRoute {
    const createServiceRoute = (service: string): CompiledRoute => ({ ...route, service, rankIndex, splitTargets: [] });
    if (route.service !== undefined) {
        return createServiceRoute(route.service);
    }
    const splitTargets = route.split.map(({ service, weight }) => ({ weight, route: createServiceRoute(service) }));
    return { ...splitTargets[0]!.route, splitTargets };
}

function createRouteKey(host: string, method: string, prefix: string): string {
    return `${host} ${method} ${prefix}`;
}
