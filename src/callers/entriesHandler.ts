/** Answers callers' requests for the fleet's entry points: the addresses of its instances, and an order key prefix. */

import type * as http from "node:http";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import type * as kernel from "../kernel/kernel.js";
import type * as orders from "../orders/index.js";
import type * as peers from "../peers/index.js";
import * as entryPoints from "./entryPoints.js";
import * as responses from "./responses.js";

const entriesPath = "/v1/entries";

/** Options of the handler for entry points. */
export interface CreateEntriesHandlerOptions {
    readonly context: context.Context;
    readonly configuration: configuration.ConfigurationService;
    readonly mesh: peers.Mesh;
    readonly orders: orders.OrderService;
    readonly lifecycle: kernel.Lifecycle;
}

/** Handles requests for entry points, at a port of their own or, without one, at the callers' port. */
export class EntriesHandler {
    constructor(private readonly options: CreateEntriesHandlerOptions) {}

    /**
     * Answers the request if it asks for the fleet's entry points.
     * @param request - The request.
     * @param response - The response to the caller.
     * @returns Whether the request asked for entry points.
     */
    handleRequest(request: http.IncomingMessage, response: http.ServerResponse): boolean {
        const isEntries = request.method === "GET" && (request.url === entriesPath || request.url?.startsWith(`${entriesPath}?`) === true);
        if (isEntries) {
            this.answerRequest(request, response);
        }
        return isEntries;
    }

    /** Returns whether the callers' port reserves the path of entry points; with a port of their own, all of its paths belong to the routes. */
    isPathReserved(): boolean {
        return this.options.context.settings.entriesListen === "";
    }

    /**
     * Logs a warning for each route that gets no requests for the path of entry points, because the callers' port answers them.
     * @param document - The configuration that is now in force.
     */
    checkShadowedRoutes(document: configuration.ConfigurationDocument): void {
        const shadowed = this.isPathReserved() ? document.routes.filter(isEntriesRoute) : [];
        for (const { name, pathPrefix } of shadowed) {
            this.options.context.logger.writeWarning("route-shadowed", `GET ${entriesPath} is answered by the instance and not by the service of route ${name}; set --entries-listen to serve entry points at a port of their own`, {
                route: name,
                pathPrefix,
            });
        }
    }

    private answerRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
        const { mesh, orders: orderService, configuration: configurationService, lifecycle, context: { clock, settings } } = this.options;
        const query = new URL(request.url ?? "", "http://fleet").searchParams;
        const isRunning = lifecycle.getState() === "running" && !configurationService.isStale();
        const prefix = isRunning ? orderService.createPrefix() : undefined;
        const caller = { workspace: query.get("workspace") ?? "", failureDomain: query.get("failureDomain") ?? "" };
        const listedEntryPoints = entryPoints.listEntryPoints({
            ...caller,
            members: mesh.listMembers(),
            quietAfterMs: entryPoints.computeQuietAfterMs(settings),
        });
        responses.writeJsonResponse(response, {
            entries: listedEntryPoints,
            addresses: entryPoints.listPreferredAddresses({ ...caller, entryPoints: listedEntryPoints, wallTimeMs: clock.getWallTime(), keepForMs: settings.entriesTtlMs }),
            keepForMs: settings.entriesTtlMs,
            keepForS: settings.entriesTtlMs / 1_000,
            orderKeyPrefix: prefix?.prefix,
            orderKeyPrefixValidMs: prefix?.validMs,
            configurationVersion: configurationService.getCurrent()?.head.version ?? 0,
        });
    }
}

/** Returns whether a route matches requests for the path of entry points. A prefix matches whole path segments. */
function isEntriesRoute({ methods, pathPrefix }: configuration.RouteDefinition): boolean {
    const isPrefix = entriesPath === pathPrefix || entriesPath.startsWith(pathPrefix.endsWith("/") ? pathPrefix : `${pathPrefix}/`);
    return isPrefix && (methods as readonly string[]).includes("GET");
}
