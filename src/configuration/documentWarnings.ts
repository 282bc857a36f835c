/** Finds what a valid configuration document holds and what was probably not meant: entries without effect, and limits that contradict each other. */

import * as findings from "./findings.js";
import type * as schema from "./schema.js";

/** The path that the callers' port answers itself unless entry points have a port of their own. */
const entriesPath = "/v1/entries";
const asciiPattern = /^[\x21-\x7e]*$/;

/**
 * Lists the warnings about a document.
 * @param document - A validated document.
 */
export function listWarnings(document: schema.ConfigurationDocument): readonly findings.Finding[] {
    return [
        ...document.routes.flatMap(route => listRouteWarnings(route, document).map(({ code, field, message }) => createWarning(code, `routes.${route.name}${field}`, message))),
        ...Object.entries(document.services).flatMap(([name, service]) => listServiceWarnings(name, service, document)),
        ...listWorkspaceWarnings(document),
        ...listRankWarnings(document),
        ...listLimitWarnings(document),
    ];
}

function createWarning(code: string, path: string, message: string): findings.Finding {
    return findings.createFinding("warning", code, path, message);
}

interface RouteWarning {
    readonly code: string;
    /** The field below the route, with a leading dot; empty for the route itself. */
    readonly field: string;
    readonly message: string;
}

function listRouteWarnings(route: schema.RouteDefinition, document: schema.ConfigurationDocument): readonly RouteWarning[] {
    return [...listMatchWarnings(route, document), ...listTimeWarnings(route), ...listAttemptWarnings(route, document)];
}

/** Lists why a route or one of its targets gets no requests. */
function listMatchWarnings(route: schema.RouteDefinition, document: schema.ConfigurationDocument): readonly RouteWarning[] {
    const warnings: RouteWarning[] = [];
    if (!asciiPattern.test(route.pathPrefix)) {
        warnings.push({ code: "route-prefix-not-ascii", field: ".pathPrefix", message: `no request matches ${JSON.stringify(route.pathPrefix)}, because callers send other characters than ASCII percent-encoded` });
    }
    if (route.pathPrefix === entriesPath || route.pathPrefix.startsWith(`${entriesPath}/`)) {
        warnings.push({ code: "route-shadowed", field: ".pathPrefix", message: `the callers' port answers ${entriesPath} itself, unless entry points have a port of their own` });
    }
    if (route.feature !== undefined && document.retiredFeatures.includes(route.feature)) {
        warnings.push({ code: "route-feature-retired", field: ".feature", message: `the feature ${route.feature} is retired, so requests that name no other feature are refused` });
    }
    route.split.filter(({ weight }) => weight === 0).forEach(({ service }) => warnings.push({ code: "split-weight-zero", field: ".split", message: `the service ${service} has the weight 0 and gets no requests` }));
    if (route.public && Object.keys(document.workspaces).length === 0) {
        warnings.push({ code: "public-without-workspaces", field: ".public", message: "no workspaces are configured, so every route is public" });
    }
    return warnings;
}

function listTimeWarnings({ deadlineMs, timeoutMs, targetLatencyMs }: schema.RouteDefinition): readonly RouteWarning[] {
    const warnings: RouteWarning[] = [];
    const limitMs = Math.min(deadlineMs, timeoutMs ?? Infinity);
    if (timeoutMs !== undefined && timeoutMs > deadlineMs) {
        warnings.push({ code: "timeout-above-deadline", field: ".timeoutMs", message: `${timeoutMs} ms is later than the deadline of ${deadlineMs} ms, so it applies only to callers that name a later deadline` });
    }
    if (targetLatencyMs !== undefined && targetLatencyMs > limitMs) {
        warnings.push({ code: "target-above-time-limit", field: ".targetLatencyMs", message: `${targetLatencyMs} ms is never reached, because requests end after ${limitMs} ms` });
    }
    return warnings;
}

function listAttemptWarnings(route: schema.RouteDefinition, document: schema.ConfigurationDocument): readonly RouteWarning[] {
    const warnings: RouteWarning[] = [];
    const isHedged = route.hedging !== undefined && route.hedging.maximumShare > 0;
    if (isHedged && !route.repeatable) {
        warnings.push({ code: "hedging-of-orders", field: ".hedging", message: "requests that are not repeatable are never hedged" });
    }
    if (isHedged && route.repeatable && route.maximumAttempts < 2) {
        warnings.push({ code: "hedging-without-attempts", field: ".hedging", message: "a hedge is a second attempt, and maximumAttempts is 1" });
    }
    const upstreamCount = Math.max(0, ...listTargets(route).map(service => document.services[service]?.upstreams.length ?? 0));
    if (route.repeatable && upstreamCount > 0 && route.maximumAttempts > upstreamCount) {
        warnings.push({ code: "attempts-above-upstreams", field: ".maximumAttempts", message: `${route.maximumAttempts} attempts are allowed, and the document has ${upstreamCount} upstreams for them` });
    }
    return warnings;
}

function listTargets(route: schema.RouteDefinition): readonly string[] {
    return route.service === undefined ? route.split.map(({ service }) => service) : [route.service];
}

function listServiceWarnings(name: string, service: schema.ServiceDefinition, document: schema.ConfigurationDocument): readonly findings.Finding[] {
    const path = `services.${name}`;
    const warnings: findings.Finding[] = [];
    const routes = document.routes.filter(route => listTargets(route).includes(name));
    if (routes.length === 0) {
        warnings.push(createWarning("service-unused", path, "no route leads to the service"));
    }
    const longestMs = Math.max(...routes.map(({ deadlineMs, timeoutMs }) => Math.min(deadlineMs, timeoutMs ?? Infinity)));
    if (routes.length > 0 && service.minimumStallMs >= longestMs) {
        warnings.push(createWarning("stall-above-time-limit", `${path}.minimumStallMs`, `no request is ever taken as stalled, because all of them end after ${longestMs} ms`));
    }
    const live = service.upstreams.filter(({ state }) => state === "live").length;
    if (service.floor > live && service.floor > 0) {
        warnings.push(createWarning("floor-above-live", `${path}.floor`, `${service.floor} upstreams must stay routable, and ${live} are live`));
    }
    const mostSlots = Math.max(service.slots, ...service.upstreams.map(({ slots }) => slots ?? 0));
    if (mostSlots > service.connections) {
        warnings.push(createWarning("slots-above-connections", `${path}.connections`, `an upstream accepts ${service.connections} connections, and ${mostSlots} slots need one each`));
    }
    if (service.workspaceHeader !== undefined && Object.keys(document.workspaces).length === 0) {
        warnings.push(createWarning("workspace-header-without-workspaces", `${path}.workspaceHeader`, "no workspaces are configured, so the header is removed and never set"));
    }
    return warnings;
}

function listWorkspaceWarnings({ workspaces }: schema.ConfigurationDocument): readonly findings.Finding[] {
    return Object.entries(workspaces).flatMap(([name, { keyDigests, quota }]) => [
        ...(keyDigests.length === 0 ? [createWarning("workspace-without-keys", `workspaces.${name}`, "no request belongs to a workspace without keys")] : []),
        ...(quota !== undefined && quota.requestsPerSecond < 1 && quota.burst < 1 ? [createWarning("quota-below-one", `workspaces.${name}.quota`, "neither the rate in a second nor the burst allows a whole request")] : []),
    ]);
}

function listRankWarnings({ ranks, routes, workspaces }: schema.ConfigurationDocument): readonly findings.Finding[] {
    const used = new Set([...routes.map(({ rank }) => rank), ...Object.values(workspaces).map(({ rank }) => rank)]);
    return ranks.filter(({ name }) => !used.has(name)).map(({ name, guaranteedShare }) => createWarning("rank-unused", `ranks.${name}`, `no route and no workspace has the rank; its guaranteed share is ${guaranteedShare}`));
}

function listLimitWarnings({ limits, routes }: schema.ConfigurationDocument): readonly findings.Finding[] {
    const hasBodies = routes.some(({ methods }) => methods.some(method => method === "POST" || method === "PUT" || method === "PATCH"));
    return limits.bodyBytes === 0 && hasBodies ? [createWarning("body-limit-zero", "limits.bodyBytes", "every request with a body is refused, and some routes have methods that need one")] : [];
}
