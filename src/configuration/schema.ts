/** The schema of the configuration document that operators write. */

import * as z from "zod";
import * as settings from "../settings/index.js";

/** The names that a configuration may have. */
export const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;
/** The hosts that a route may have: names, and IPv6 addresses in brackets. */
export const hostPattern = /^([a-z0-9._-]{1,253}|\[[0-9a-f:.]{2,64}\])$/;

const nameSchema = z.string().regex(namePattern, "must be 1 to 63 letters, digits, '.', '-' or '_', and begin with a letter or digit");
/** The name of a workspace is sent to upstreams in a header. */
const workspaceNameSchema = z.string().regex(/^[\x21-\x7e]{1,200}$/, "must be 1 to 200 printable ASCII characters without spaces");
const millisecondsSchema = z.number().int().min(1).max(86_400_000);
const headerNameSchema = z.string().regex(/^[a-z0-9-]{1,64}$/, "must be a header name in lower case");

/** One back end of a service. */
export const upstreamSchema = z.strictObject({
    id: nameSchema,
    address: z.string().regex(/^(\[[0-9a-fA-F:]+\]|[^:\s/]+):\d{1,5}$/, "must be HOST:PORT").refine(settings.isConnectableAddress, "must name a host, and a port from 1 to 65535"),
    failureDomain: nameSchema,
    /** An upstream in the state `leaving` is sent no new requests. */
    state: z.enum(["live", "leaving"]).default("live"),
    /** Maximum number of concurrent requests; the service's value if omitted. */
    slots: z.number().int().min(1).max(10_000).optional(),
    /** The start time in milliseconds since the epoch. An upstream that restarts under the same id is treated as a new one. */
    startedAtMs: z.number().int().min(0).optional(),
});

/** How a service marks its response to a request that it rejected without running it. */
const shedSchema = z.strictObject({
    status: z.union([z.number().int().min(400).max(599), z.literal("any")]).default(503),
    /** The response header that marks the rejection. A response with the status but without the header proves nothing. */
    header: headerNameSchema.default("x-shed"),
});

/** A service and its pool of upstreams. */
export const serviceSchema = z.strictObject({
    /** The statically configured upstreams; others may be discovered in the upstream directory. */
    upstreams: z.array(upstreamSchema).max(4_096).default([]),
    /** Maximum number of concurrent requests of one upstream. */
    slots: z.number().int().min(1).max(10_000),
    /** Maximum number of connections that one upstream accepts from the whole fleet. */
    connections: z.number().int().min(1).max(1_000_000),
    /** Most bytes of request bodies that one instance has in flight at one upstream; no limit if omitted. A larger body is sent where no other is in flight. */
    upstreamBodyBytes: z.number().int().min(1).max(1_073_741_824).optional(),
    /** Minimum number of upstreams that ejection must leave routable. */
    floor: z.number().int().min(0),
    shed: shedSchema.prefault({}),
    /** The response header by which an upstream announces that it is leaving. */
    drainingHeader: headerNameSchema.default("x-draining"),
    /** The request header that tells the upstream the milliseconds left until the deadline. */
    deadlineHeader: headerNameSchema.default("x-deadline-ms"),
    /** Minimum age of a request that is treated as stalled, even if the service usually responds much faster. */
    minimumStallMs: millisecondsSchema.default(250),
    /** The request header that names the intended upstream; any other upstream responds with status 421 and does not run the request. */
    identityHeader: headerNameSchema.optional(),
    /** The request header that the response must repeat; a response that does not repeat it belongs to another request. */
    echoHeader: headerNameSchema.optional(),
    /** The header that every successful response of an upstream carries. */
    sealHeader: headerNameSchema.optional(),
    /** The request header that tells the upstream the name of the workspace whose key the caller showed. A value that the caller sends is removed. */
    workspaceHeader: headerNameSchema.optional(),
});

/** Maps requests to a service or to a weighted split of services. */
export const routeSchema = z.strictObject({
    name: nameSchema,
    /** The service of the requests; omitted if the route is split. */
    service: nameSchema.optional(),
    /** The services that share the requests in proportion to their weights. */
    split: z.array(z.strictObject({ service: nameSchema, weight: z.number().min(0).max(1_000_000) })).max(64).default([]),
    /** The hosts whose requests match; any host if empty. */
    hosts: z.array(z.string().regex(hostPattern, "must be a host name in lower case, without a port")).max(64).default([]),
    rank: nameSchema,
    methods: z.array(z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])).min(1),
    /** Matches whole path segments: /a matches /a and /a/b, and /a/ only paths that begin with /a/. The longest match wins. */
    pathPrefix: z.string().regex(/^\/[^\s?#]*$/, "must begin with / and contain no whitespace, ? or #").max(8_192),
    /** Whether the requests are idempotent, so that executing one twice does no harm. */
    repeatable: z.boolean(),
    /** Whether a request that is not repeatable must carry an order key. */
    orderKey: z.enum(["required", "optional"]).default("required"),
    /** Whether requests need no workspace key. Without configured workspaces, none do. */
    public: z.boolean().default(false),
    /** The feature of requests that name none. */
    feature: nameSchema.optional(),
    /** The deadline of requests that name none. */
    deadlineMs: millisecondsSchema,
    /** Maximum duration of a request, even if its deadline is later. */
    timeoutMs: millisecondsSchema.optional(),
    /** The latency up to which a response has its full value; the deadline if omitted. */
    targetLatencyMs: millisecondsSchema.optional(),
    /** Maximum number of upstreams that one request is sent to. */
    maximumAttempts: z.number().int().min(1).max(10).default(3),
    /** Second requests that are sent while the first one takes unusually long; the instance's setting applies if omitted. They are never sent for requests that are not repeatable. */
    hedging: z.strictObject({
        /** The largest share of the route's requests for which a second one is sent, from 0 to 1. */
        maximumShare: z.number().min(0).max(1).default(0),
    }).optional(),
});

/** A priority class of requests; the document lists the most urgent first. */
export const rankSchema = z.strictObject({
    name: nameSchema,
    /** The fraction of a service's capacity that stays available to the rank while others overload the service, from 0 to 1. */
    guaranteedShare: z.number().min(0).max(1),
});

/** A customer of the operator. Its callers show one of its keys as `Authorization: Bearer KEY`. */
export const workspaceSchema = z.strictObject({
    /** The SHA-256 digests of the workspace's keys in hexadecimal, so that no key is stored. */
    keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest of 64 hexadecimal digits in lower case")).max(1_000).default([]),
    /** The rank of the workspace's requests, in place of the route's. */
    rank: nameSchema.optional(),
    /** How many requests all instances together execute for the workspace; no limit if omitted. */
    quota: z.strictObject({
        requestsPerSecond: z.number().positive().max(1_000_000_000),
        /** Requests beyond the rate that may be executed at once after a quiet time. */
        burst: z.number().min(0).max(1_000_000_000).default(0),
    }).optional(),
});

/** The names of request headers that callers set. */
const callerHeadersSchema = z.strictObject({
    /** Milliseconds that the caller waits for the response. */
    deadline: headerNameSchema.default("x-agatebend-deadline-ms"),
    /** The identifier of the request in logs. */
    requestId: headerNameSchema.default("x-request-id"),
});

/** Limits on callers' requests and connections. The time limits override the settings of the instance. Of two limits on the body size, the smaller one applies. */
const limitsSchema = z.strictObject({
    bodyBytes: z.number().int().min(0).optional(),
    headerTimeoutMs: millisecondsSchema.optional(),
    /** The longest time that a connection may stay idle. */
    idleTimeoutMs: millisecondsSchema.optional(),
});

/** The whole configuration document. */
export const documentSchema = z.strictObject({
    ranks: z.array(rankSchema).min(1).max(16),
    services: z.record(nameSchema, serviceSchema),
    routes: z.array(routeSchema).max(100_000),
    retiredFeatures: z.array(nameSchema).max(100_000).default([]),
    /** Workspaces by name. If there are any, requests need a key unless their route is public. */
    workspaces: z.record(workspaceNameSchema, workspaceSchema).default({}),
    callerHeaders: callerHeadersSchema.prefault({}),
    limits: limitsSchema.prefault({}),
});

/** A validated configuration document with defaults filled in. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;

/** The configuration of a service. */
export type ServiceDefinition = z.infer<typeof serviceSchema>;

/** The configuration of one upstream of a service. */
export type UpstreamDefinition = z.infer<typeof upstreamSchema>;

/** The configuration of a route. */
export type RouteDefinition = z.infer<typeof routeSchema>;

/** The configuration of a workspace. */
export type WorkspaceDefinition = z.infer<typeof workspaceSchema>;

/** The configuration of a rank. */
export type RankDefinition = z.infer<typeof rankSchema>;
