/** The settings of `agatebend serve`: one schema, from which flags, environment variables and their documentation are derived. */

import * as z from "zod";
import * as logger from "../kernel/logger.js";

const addressPattern = /^(\[[0-9a-fA-F:]+\]|[^:\s]+):(\d{1,5})$/;

const addressSchema = z.string().regex(addressPattern, "must be HOST:PORT").refine(
    text => Number(addressPattern.exec(text)?.[2]) <= 65_535,
    "must have a port from 0 to 65535",
);

const optionalAddressSchema = z.union([z.literal(""), addressSchema]);

const addressListSchema = z.string()
    .transform(text => text.split(",").map(address => address.trim()).filter(address => address !== ""))
    .pipe(z.array(addressSchema));

function createIntegerSchema(minimum: number, maximum: number, defaultValue: number) {
    return z.coerce.number().int().min(minimum).max(maximum).default(defaultValue);
}

/** Numbers that a platform fills in may be fractions, and are often computed from the size of the fleet. */
function createDecimalSchema(maximum: number, defaultValue: number) {
    return z.coerce.number().min(0).max(maximum).default(defaultValue);
}

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/, "must be 1 to 63 letters, digits, '-' or '_', and begin with a letter or digit");

/** The schema. Each key is also a flag in kebab case, and an environment variable in upper snake case with the prefix `AGATEBEND_`. */
export const serveSettingsSchema = z.strictObject({
    instanceId: z.union([z.literal(""), nameSchema]).default("").describe("The instance's identifier, unique in the fleet; random where empty."),
    failureDomain: nameSchema.default("local").describe("The failure domain that the instance runs in."),
    fleet: nameSchema.default("agatebend").describe("The fleet's name; peers of another name are rejected."),

    callerListen: addressSchema.default("127.0.0.1:8080").describe("Where callers connect, as HOST:PORT; port 0 takes a free one."),
    callerAdvertise: optionalAddressSchema.default("").describe("The callers' address that entries answers give; the listening address where empty."),
    entriesListen: optionalAddressSchema.default("").describe("Where entries answers are served, as HOST:PORT; where empty, the callers' port answers GET /v1/entries itself, ahead of every route."),
    readyListen: optionalAddressSchema.default("").describe("Where readiness is served besides the operators' port, as HOST:PORT; nowhere else where empty."),
    peerListen: addressSchema.default("127.0.0.1:7946").describe("Where peers connect, as HOST:PORT."),
    peerAdvertise: optionalAddressSchema.default("").describe("The address that peers are told; the listening address where empty."),
    operatorListen: addressSchema.default("127.0.0.1:9090").describe("Where operators, metrics and the dump are served, as HOST:PORT."),
    operatorAdvertise: optionalAddressSchema.default("").describe("The operators' address that members are told; the listening address where empty."),
    seeds: addressListSchema.default([]).describe("Peer addresses to join through, comma-separated; some of them may be gone."),

    store: z.string().regex(/^(memory:|(https?|kv):\/\/.+)$/, "must be memory: or an http(s) URL").default("memory:").describe(
        "The platform's key-value store: memory: for one instance alone, the URL of an etcd v3 JSON gateway, or that of another store whose adapter the program was built with.",
    ),
    storePrefix: z.string().regex(/^\/[A-Za-z0-9/_-]*\/$/, "must begin and end with /").default("/agatebend/").describe("The prefix of every key in the store."),
    storeTimeoutMs: createIntegerSchema(50, 60_000, 2_000).describe("The longest wait for one call to the store, in milliseconds."),
    storeCallsPerSecond: createIntegerSchema(1, 1_000, 15).describe("The most calls an instance makes to the store in a second, averaged over ten."),
    storeWatchers: createIntegerSchema(1, 64, 3).describe("How many instances watch the store; the others hear from their peers."),
    configurationKey: z.string().max(200).default("").describe("The store's key under which another program keeps the configuration; where empty, it is changed by the operators' calls."),
    upstreamDirectory: z.string().max(200).default("").describe("The prefix of the store's keys under which upstreams register themselves; where empty, the configuration alone names them."),
    configuration: z.string().default("").describe("A configuration file to apply at start where the store holds none."),

    sharedSecretFile: z.string().default("").describe("A file with the secret that peers and operators must show; none where empty."),
    tlsCertificateFile: z.string().default("").describe("The PEM certificate of the peer and operator ports; plain TCP where empty."),
    tlsKeyFile: z.string().default("").describe("The PEM private key that goes with the certificate."),
    tlsAuthorityFile: z.string().default("").describe("The PEM certificates that peers must be signed by."),

    entriesTtlMs: createIntegerSchema(100, 3_600_000, 10_000).describe("How long callers may keep an entries answer, in milliseconds."),
    entriesGraceMs: createIntegerSchema(0, 600_000, 1_000).describe("How long after their lifetime entries answers may still be in use, in milliseconds; a stopping instance serves that long."),
    orderPrefixTtlMs: createIntegerSchema(100, 86_400_000, 600_000).describe("How long an order key prefix stays valid, in milliseconds."),
    orderKeysKept: createIntegerSchema(1, 10_000_000, 100_000).describe("The most order keys that an instance holds."),
    orderBytesKept: createIntegerSchema(0, 1_073_741_824, 16_777_216).describe("The most bytes of order answers kept for repeats."),
    orderAnswerBytes: createIntegerSchema(0, 16_777_216, 65_536).describe("The largest order answer kept for repeats, in bytes."),
    orderClaimTtlMs: createIntegerSchema(1_000, 604_800_000, 86_400_000).describe("How long the store keeps a caller-made order key, in milliseconds."),

    headerBytes: createIntegerSchema(1_024, 1_048_576, 16_384).describe("The largest request header, in bytes."),
    headerTimeoutMs: createIntegerSchema(100, 600_000, 10_000).describe("The longest time a caller may take to send a request's header, in milliseconds."),
    bodyIdleTimeoutMs: createIntegerSchema(100, 600_000, 30_000).describe("The longest pause within a body, in milliseconds; a pause that the reader causes does not count."),
    requestBodyBytes: createIntegerSchema(0, 268_435_456, 8_388_608).describe("The largest request body, in bytes."),
    bodyBytesHeld: createIntegerSchema(1_048_576, 4_294_967_296, 268_435_456).describe("The most memory that request and response bodies occupy at once, in bytes; requests beyond it are refused."),
    upstreamBodyBytes: createIntegerSchema(0, 1_073_741_824, 0).describe("The most bytes of request bodies that this instance has in flight at one upstream, for services whose configuration gives no limit. 0 for no limit."),
    memoryMb: createDecimalSchema(16_777_216, 0).describe("The memory that the platform gives the process, in MiB; bodies then occupy at most half of what it leaves beside the program. 0 where it is not limited."),
    capacityCores: createDecimalSchema(1_000_000, 0).describe(
        "The processor time that the platform gives the process, in cores. Callers are then told to use the instances in proportion to their capacity and load, and instances of more capacity relay messages between cells. 0 where it is not given.",
    ),
    capacityCoreSpeed: createDecimalSchema(1_000, 1).describe("The speed of these cores, as a multiple of that of the fleet's usual ones; 0 counts as not given."),
    capacityLinkMbps: createDecimalSchema(1_000_000_000, 0).describe("The rate of the instance's link, in Mbit/s; 20 count as a core, and the smaller of the two is the capacity. 0 where it is not given."),
    unsizedBodyBytes: createIntegerSchema(1_024, 1_099_511_627_776, 1_073_741_824).describe("The largest response body without a Content-Length, in bytes; a longer one is cut, since an upstream in trouble may send bytes without end."),
    callerConnections: createIntegerSchema(1, 1_000_000, 10_000).describe("The most callers' connections at once."),
    queueLength: createIntegerSchema(1, 1_000_000, 1_000).describe("The most queued requests for a service and rank."),
    retryRatio: createDecimalSchema(1_000, 0.1).describe("The repeats that the whole fleet may send a service, as a part of its requests; fractions and 0 are allowed."),
    retrySlack: createDecimalSchema(1_000_000_000, 300).describe("The repeats that the whole fleet may send a service in a window beside that part; fractions and 0 are allowed."),
    hedgeRatio: createDecimalSchema(1, 0).describe(
        "The largest part of a route's requests for which a second request may be sent while the first one takes unusually long; for routes that say nothing about hedging. 0 turns hedging off for them.",
    ),
    retryWindowS: createDecimalSchema(86_400, 10).describe("The window in which repeats are counted, in seconds; fractions are allowed, and less than 0.1 counts as 0.1."),
    retrySlackSharing: z.enum(["equal", "demand"]).default("equal").describe(
        "Who may use the slack of the repeats: each instance an equal part of it, or those that need more also what others lend them.",
    ),
    drainTimeoutMs: createIntegerSchema(0, 86_400_000, 900_000).describe("The longest graceful shutdown, in milliseconds; what is then in flight is cut."),
    killAfterS: createDecimalSchema(86_400, 0).describe(
        "How long after SIGTERM the platform kills the process, in seconds; fractions are allowed, 0 where it does not. A graceful shutdown ends before that, whatever drain-timeout-ms says.",
    ),

    memberLeaseS: createIntegerSchema(0, 86_400, 0).describe("How long the store keeps this instance's entry in the list of members without hearing of it, in seconds; 0 for no entry."),
    maximumPeerLinks: createIntegerSchema(2, 1_000, 48).describe("The most peers that an instance is linked to in a fleet that links all of its instances; those of a larger fleet are linked in cells, through two relays each."),
    gossipIntervalMs: createIntegerSchema(20, 10_000, 250).describe("Milliseconds between two rounds of anti-entropy with a peer."),
    suspectAfterMs: createIntegerSchema(100, 600_000, 2_000).describe("Silence after which a peer is suspect and left out of entries answers, in milliseconds."),
    deadAfterMs: createIntegerSchema(200, 3_600_000, 10_000).describe("Silence after which a peer is forgotten, in milliseconds."),
    peerTimeoutMs: createIntegerSchema(50, 60_000, 1_000).describe("The longest wait for a peer's reply, in milliseconds."),
    frameBytes: createIntegerSchema(4_096, 67_108_864, 4_194_304).describe("The largest frame between peers, in bytes."),
    staleAfterMs: createIntegerSchema(500, 86_400_000, 5_000).describe("Time without the store and without half of the members, after which requests are refused, in milliseconds."),

    queueing: z.enum(["shares", "strict", "fifo"]).default("shares").describe(
        "Which waiting request is next: ranks by urgency with guaranteed shares, ranks by urgency alone, or the oldest.",
    ),
    slotSharing: z.enum(["credits", "random"]).default("credits").describe(
        "How instances share upstreams that are short of slots: by parts computed from all instances' demands, or each by itself.",
    ),
    shedLimit: z.enum(["off", "adaptive"]).default("off").describe(
        "What an instance does while most upstreams of a service shed: it sends on, or it prefers upstreams that have not shed of late and limits requests to the rate that the service accepts.",
    ),
    detection: z.enum(["shared", "local", "consecutive", "fresh"]).default("shared").describe(
        "How failing upstreams are detected: by the evidence of all instances, by this instance's alone, by errors in a row, or by a belief from the fleet's newest outcomes, without ejections, for upstreams that fail and mend within seconds.",
    ),

    logLevel: z.enum(logger.logLevels).default("info").describe("The least severe log lines that are written."),
});

/** The validated settings of `agatebend serve`. */
export type ServeSettings = z.infer<typeof serveSettingsSchema>;

/** The name of a setting in the schema. */
export type SettingName = keyof ServeSettings;

/** Lists the names of the settings in the order of the schema. */
export function listSettingNames(): readonly SettingName[] {
    return Object.keys(serveSettingsSchema.shape) as SettingName[];
}

/** Returns the flag of a setting without the leading dashes. */
export function getFlagName(settingName: string): string {
    return settingName.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/** Returns the environment variable of a setting. */
export function getEnvironmentVariableName(settingName: string): string {
    return `AGATEBEND_${getFlagName(settingName).replaceAll("-", "_").toUpperCase()}`;
}
