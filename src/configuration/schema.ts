/** The schema of the operators' configuration document. */

import { z } from "zod";

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, "must be 1 to 63 letters, digits, '.', '-' or '_', and begin with a letter or digit");
const milliseconds = z.number().int().min(1).max(86_400_000);
const headerName = z.string().regex(/^[a-z0-9-]{1,64}$/, "must be a header name in lower case");

/** One machine of a service. */
export const upstreamSchema = z.strictObject({
    id: name,
    address: z.string().regex(/^(\[[0-9a-fA-F:]+\]|[^:\s/]+):\d{1,5}$/, "must be HOST:PORT"),
    failureDomain: name,
    /** A leaving upstream gets no new work. */
    state: z.enum(["live", "leaving"]).default("live"),
    /** Requests that it works on at once, where that differs from its service's. */
    slots: z.number().int().min(1).max(10_000).optional(),
    /** When it started, in milliseconds since the epoch; another start under the same id is another upstream. */
    startedAtMs: z.number().int().min(0).optional(),
});

/** How a service refuses a request that it has not run. */
const shedSchema = z.strictObject({
    status: z.union([z.number().int().min(400).max(599), z.literal("any")]).default(503),
    /** The header that marks such an answer; without it the status alone proves nothing. */
    header: headerName.default("x-shed"),
});

/** A pool of upstreams. */
export const serviceSchema = z.strictObject({
    /** The machines that are known beforehand; others may be found in a directory. */
    upstreams: z.array(upstreamSchema).max(4_096).default([]),
    /** Requests that one upstream works on at once. */
    slots: z.number().int().min(1).max(10_000),
    /** Connections that one upstream accepts from the whole fleet. */
    connections: z.number().int().min(1).max(1_000_000),
    /** The fewest upstreams that ejection must leave routable. */
    floor: z.number().int().min(0),
    shed: shedSchema.prefault({}),
    /** The header by which an upstream says on an answer that it is leaving. */
    drainingHeader: headerName.default("x-draining"),
    /** The header that carries the milliseconds left until the deadline to the upstream. */
    deadlineHeader: headerName.default("x-deadline-ms"),
    /** The age from which a request may count as stalled, however fast the service usually is. */
    minimumStallMs: milliseconds.default(250),
    /** The header that carries the identifier of the upstream a request is meant for; another one answers 421 and does not run it. */
    identityHeader: headerName.optional(),
    /** The header of a request that its answer must repeat; an answer without it belongs to another request. */
    echoHeader: headerName.optional(),
    /** The header that every successful answer of an upstream carries. */
    sealHeader: headerName.optional(),
});

/** Which requests go to which service. */
export const routeSchema = z.strictObject({
    name,
    /** Where the requests go, unless the route is split. */
    service: name.optional(),
    /** The services that share the requests in proportion to their weights. */
    split: z.array(z.strictObject({ service: name, weight: z.number().min(0).max(1_000_000) })).max(64).default([]),
    /** The hosts whose requests match; all where empty. */
    hosts: z.array(z.string().regex(/^[a-z0-9.-]{1,253}$/, "must be a host name in lower case, without a port")).max(64).default([]),
    rank: name,
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Matches whole path segments; one that ends with / only what follows it. The longest match wins. */
    pathPrefix: z.string().regex(/^\/[^\s?#]*$/, "must begin with / and hold no blank, ? or #").max(1_024),
    /** Whether running a request twice does no harm. */
    repeatable: z.boolean(),
    /** Whether a request that is not repeatable must bring an order key. */
    orderKey: z.enum(["required", "optional"]).default("required"),
    /** The feature that requests of this route belong to, where they name none. */
    feature: name.optional(),
    /** The deadline of a request that names none. */
    deadlineMs: milliseconds,
    /** The longest time that a request may take, whatever its deadline. */
    timeoutMs: milliseconds.optional(),
    /** The time within which an answer is worth most. */
    targetLatencyMs: milliseconds.optional(),
    /** The most upstreams that one request may be sent to. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
});

/** A kind of work; the document lists the most urgent first. */
export const rankSchema = z.strictObject({
    name,
    /** The part of a service's capacity that the rank keeps while others flood, from 0 to 1. */
    guaranteedShare: z.number().min(0).max(1),
});

/** The names of headers that callers send. */
const callerHeadersSchema = z.strictObject({
    /** Milliseconds that the caller will wait. */
    deadline: headerName.default("x-agatebend-deadline-ms"),
    /** The request's identifier, for logs. */
    requestId: headerName.default("x-request-id"),
});

/** What bounds callers' connections, beside the instance's own settings. */
const limitsSchema = z.strictObject({
    bodyBytes: z.number().int().min(0).optional(),
    headerTimeoutMs: milliseconds.optional(),
    /** The longest time that a connection may stay open without a request. */
    idleTimeoutMs: milliseconds.optional(),
});

/** The whole document. */
export const documentSchema = z.strictObject({
    ranks: z.array(rankSchema).min(1).max(16),
    services: z.record(name, serviceSchema),
    routes: z.array(routeSchema).max(100_000),
    retiredFeatures: z.array(name).max(100_000).default([]),
    callerHeaders: callerHeadersSchema.prefault({}),
    limits: limitsSchema.prefault({}),
});

/** The operators' configuration with defaults filled in. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** A pool of upstreams. */
export type ServiceDefinition = z.infer<typeof serviceSchema>;

/** One machine of a service. */
export type UpstreamDefinition = z.infer<typeof upstreamSchema>;

/** Which requests go to which service. */
export type RouteDefinition = z.infer<typeof routeSchema>;

/** A kind of work. */
export type RankDefinition = z.infer<typeof rankSchema>;
