/** A configuration in the form that requests are matched against. */

import type * as chunks from "./chunks.js";
import type * as schema from "./schema.js";

/** A route with its place among the ranks. */
export interface CompiledRoute extends schema.RouteDefinition {
    /** 0 for the most urgent rank. */
    readonly rankIndex: number;
}

/** A configuration in force. */
export interface CompiledConfiguration {
    readonly head: chunks.Head;
    readonly document: schema.ConfigurationDocument;
    readonly retiredFeatures: ReadonlySet<string>;
    /** Routes by method and path prefix. */
    readonly routes: ReadonlyMap<string, CompiledRoute>;
}

/**
 * Compiles a document.
 * @param head - The head that names its chunks.
 * @param document - The checked document.
 */
export function createCompiled(head: chunks.Head, document: schema.ConfigurationDocument): CompiledConfiguration {
    const rankIndexes = new Map(document.ranks.map((rank, index) => [rank.name, index]));
    const routes = new Map<string, CompiledRoute>();
    for (const route of document.routes) {
        const compiled = { ...route, rankIndex: rankIndexes.get(route.rank)! };
        route.methods.forEach(method => routes.set(createRouteKey(method, removeSlash(route.pathPrefix)), compiled));
    }
    return { head, document, retiredFeatures: new Set(document.retiredFeatures), routes };
}

/**
 * Finds the route of a request: the one with the longest prefix of whole path segments.
 * @param compiled - The configuration in force.
 * @param method - The HTTP method.
 * @param path - The path without its query.
 */
export function findRoute(compiled: CompiledConfiguration, method: string, path: string): CompiledRoute | undefined {
    let prefix = removeSlash(path);
    while (true) {
        const route = compiled.routes.get(createRouteKey(method, prefix));
        if (route !== undefined || prefix === "") {
            return route;
        }
        prefix = prefix.slice(0, prefix.lastIndexOf("/"));
    }
}

function createRouteKey(method: string, prefix: string): string {
    return `${method} ${prefix}`;
}

function removeSlash(path: string): string {
    return path.endsWith("/") ? path.slice(0, -1) : path;
}
