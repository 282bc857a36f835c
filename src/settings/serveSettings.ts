/** The settings of `agatebend serve`: one schema, from which flags, environment variables and their documentation are derived. */

import { z } from "zod";
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

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/, "must be 1 to 63 letters, digits, '-' or '_', and begin with a letter or digit");

/** The schema. Each key is also a flag in kebab case, and an environment variable in upper snake case with the prefix `AGATEBEND_`. */
export const serveSettingsSchema = z.strictObject({
    instanceId: z.union([z.literal(""), nameSchema]).default("").describe("The identifier of the instance, unique in the fleet; random if empty."),
    failureDomain: nameSchema.default("local").describe("The failure domain that the instance runs in."),
    fleet: nameSchema.default("agatebend").describe("The name of the fleet; connections from peers of another fleet are rejected."),

    callerListen: addressSchema.default("127.0.0.1:8080").describe("The address on which to listen for callers, as HOST:PORT; port 0 chooses a free port."),
    callerAdvertise: optionalAddressSchema.default("").describe("The address of this instance in the list of entry points (/v1/entries) that callers fetch; the listening address if empty."),
    entriesListen: optionalAddressSchema.default("").describe("An additional address that serves the list of entry points, as HOST:PORT; if empty, only the caller port serves it."),
    readyListen: optionalAddressSchema.default("").describe("An additional address that serves readiness checks, as HOST:PORT; if empty, only the operator port serves them."),
    peerListen: addressSchema.default("127.0.0.1:7946").describe("The address on which to listen for peers, as HOST:PORT."),
    peerAdvertise: optionalAddressSchema.default("").describe("The address that peers use to connect to this instance; the listening address if empty."),
    operatorListen: addressSchema.default("127.0.0.1:9090").describe("The address on which to listen for operators, as HOST:PORT; it also serves the metrics and the diagnostic dump."),
    operatorAdvertise: optionalAddressSchema.default("").describe("The operator address that is announced to the other instances; the listening address if empty."),
    seeds: addressListSchema.default([]).describe("The addresses of peers to connect to when joining the fleet, separated by commas; not all of them need to be reachable."),

    store: z.string().regex(/^(memory:|(https?|kv):\/\/.+)$/, "must be memory: or an http(s) URL").default("memory:").describe(
        "The key-value store of the platform: memory: for a single instance, the URL of an etcd v3 JSON gateway, or the URL of another store whose adapter is built into the program.",
    ),
    storePrefix: z.string().regex(/^\/[A-Za-z0-9/_-]*\/$/, "must begin and end with /").default("/agatebend/").describe("The prefix of every key that the fleet writes to the store."),
    storeTimeoutMs: createIntegerSchema(50, 60_000, 2_000).describe("The timeout of a call to the store, in milliseconds."),
    storeCallsPerSecond: createIntegerSchema(1, 1_000, 15).describe("The maximum average number of store calls that an instance makes per second; a burst may use up to ten seconds' calls."),
    storeWatchers: createIntegerSchema(1, 64, 3).describe("The number of instances that watch the configuration in the store; the others receive changes from their peers."),
    configurationKey: z.string().max(200).default("").describe("The store key under which another program maintains the configuration; if empty, operators change the configuration by calls to the fleet."),
    upstreamDirectory: z.string().max(200).default("").describe("The prefix of the store keys under which upstreams register themselves; if empty, only the upstreams in the configuration are used."),
    configuration: z.string().default("").describe("A configuration file that is applied at startup if the store contains no configuration."),

    sharedSecretFile: z.string().default("").describe("A file with the secret that peers and operators must present; no secret is required if empty."),
    tlsCertificateFile: z.string().default("").describe("A file with the PEM certificate of the peer and operator ports; plain TCP if empty."),
    tlsKeyFile: z.string().default("").describe("A file with the PEM private key of the certificate."),
    tlsAuthorityFile: z.string().default("").describe("A file with the PEM certificates of the authorities that must have signed the certificates of peers."),

    entriesTtlMs: createIntegerSchema(100, 3_600_000, 10_000).describe("How long callers may cache the list of entry points, in milliseconds."),
    entriesGraceMs: createIntegerSchema(0, 600_000, 1_000).describe("How long callers may still use a list of entry points after its cache lifetime, in milliseconds; an instance that shuts down serves callers for both periods."),
    orderPrefixTtlMs: createIntegerSchema(100, 86_400_000, 600_000).describe("How long an issued order key prefix stays valid, in milliseconds."),
    orderKeysKept: createIntegerSchema(1, 10_000_000, 100_000).describe("The maximum number of order keys that an instance stores."),
    orderBytesKept: createIntegerSchema(0, 1_073_741_824, 16_777_216).describe("The maximum total size of the order responses that an instance stores for retries, in bytes."),
    orderAnswerBytes: createIntegerSchema(0, 16_777_216, 65_536).describe("The maximum size of one order response that is stored for retries, in bytes."),
    orderClaimTtlMs: createIntegerSchema(1_000, 604_800_000, 86_400_000).describe("How long the store keeps the claim on an order key that a caller generated, in milliseconds."),

    headerBytes: createIntegerSchema(1_024, 1_048_576, 16_384).describe("The maximum size of a request header, in bytes."),
    headerTimeoutMs: createIntegerSchema(100, 600_000, 10_000).describe("The timeout for receiving the complete header of a request, in milliseconds."),
    bodyIdleTimeoutMs: createIntegerSchema(100, 600_000, 30_000).describe("The maximum pause between two parts of a body, in milliseconds; a pause that the receiver causes does not count."),
    requestBodyBytes: createIntegerSchema(0, 268_435_456, 8_388_608).describe("The maximum size of a request body, in bytes."),
    requestBytesHeld: createIntegerSchema(0, 4_294_967_296, 268_435_456).describe("The maximum total size of the request bodies in memory, in bytes."),
    callerConnections: createIntegerSchema(1, 1_000_000, 10_000).describe("The maximum number of concurrent connections from callers."),
    queueLength: createIntegerSchema(1, 1_000_000, 1_000).describe("The maximum number of queued requests for each service and rank."),
    retryRatio: z.coerce.number().min(0).max(1).default(0.1).describe("The retries that the whole fleet may send to a service, as a fraction of its requests."),
    retrySlack: createIntegerSchema(0, 1_000_000, 300).describe("The retries that the whole fleet may send to a service per window, in addition to that fraction."),
    retryWindowS: createIntegerSchema(1, 600, 10).describe("The sliding window over which retries are counted, in seconds."),
    drainTimeoutMs: createIntegerSchema(0, 86_400_000, 900_000).describe("The maximum duration of a graceful shutdown, in milliseconds; requests that are then still in flight are aborted."),

    memberLeaseS: createIntegerSchema(0, 86_400, 0).describe("The lease duration of this instance's entry in the list of members in the store, in seconds; 0 for no entry."),
    maximumPeerLinks: createIntegerSchema(2, 1_000, 48).describe("The maximum number of peers that an instance opens connections to."),
    gossipIntervalMs: createIntegerSchema(20, 10_000, 250).describe("The interval between two rounds of anti-entropy gossip, each with one peer, in milliseconds."),
    suspectAfterMs: createIntegerSchema(100, 600_000, 2_000).describe("How long a peer may be silent before it becomes suspect and is omitted from the list of entry points, in milliseconds."),
    deadAfterMs: createIntegerSchema(200, 3_600_000, 10_000).describe("How long a peer may be silent before it is removed from the list of peers, in milliseconds."),
    peerTimeoutMs: createIntegerSchema(50, 60_000, 1_000).describe("The timeout of a handshake with a peer and of a request to a peer, in milliseconds."),
    frameBytes: createIntegerSchema(4_096, 67_108_864, 4_194_304).describe("The maximum size of a frame sent between peers, in bytes."),
    staleAfterMs: createIntegerSchema(500, 86_400_000, 5_000).describe("How long an instance may reach neither the store nor half of the fleet before it rejects requests, in milliseconds."),

    queueing: z.enum(["shares", "strict", "fifo"]).default("shares").describe(
        "The order in which queued requests are sent. shares: the most urgent rank first, with a guaranteed share for each rank; strict: the most urgent rank first; fifo: the oldest request first.",
    ),
    slotSharing: z.enum(["credits", "random"]).default("credits").describe(
        "How instances share the slots of upstreams when there are too few. credits: each instance gets an allocation computed from the demand of all instances; random: instances do not coordinate.",
    ),
    detection: z.enum(["shared", "local", "consecutive", "fresh"]).default("shared").describe(
        "How failing upstreams are detected. shared: by the results of all instances; local: by the results of this instance; consecutive: by consecutive errors; fresh: by a health estimate from the most recent results of all instances, without ejection, for upstreams that fail and recover within seconds.",
    ),

    logLevel: z.enum(logger.logLevels).default("info").describe("The lowest severity of log lines that are written."),
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
