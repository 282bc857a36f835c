/** A store adapter for the etcd v3 JSON gateway: range, transaction, lease and watch. */

import * as http from "node:http";
import type * as https from "node:https";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import * as bodyBuffer from "../kernel/bodyBuffer.js";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as adapterRegistry from "./adapterRegistry.js";
import * as callRateLimiter from "./callRateLimiter.js";
import type * as types from "./types.js";

const maximumResponseBytes = 64 * 1024 * 1024;
/** A watch must be established within this multiple of the call timeout. */
const watchConnectTimeoutFactor = 2;

const keyValueSchema = z.object({ key: z.string(), value: z.string().default(""), mod_revision: z.coerce.number() });
const headerSchema = z.object({ revision: z.coerce.number() });
const rangeSchema = z.object({ header: headerSchema, kvs: z.array(keyValueSchema).default([]) });
const swapSchema = z.object({
    header: headerSchema,
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: rangeSchema.partial().optional() })).default([]),
});
const leaseSchema = z.object({ ID: z.string() });
const keepAliveSchema = z.object({ result: z.object({ TTL: z.coerce.number().default(0) }) });
const watchSchema = z.object({
    result: z.object({
        canceled: z.boolean().default(false),
        events: z.array(z.object({ type: z.enum(["PUT", "DELETE"]).default("PUT"), kv: keyValueSchema })).default([]),
    }),
});

function encodeText(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeText(base64: string): string {
    return Buffer.from(base64, "base64").toString("utf8");
}

function decodeEntry(pair: z.infer<typeof keyValueSchema>): types.Entry {
    return { key: decodeText(pair.key), value: decodeText(pair.value), revision: pair.mod_revision };
}

/** Encodes the first key after all keys with a prefix, as the `range_end` field of the protocol requires. */
function encodePrefixEnd(prefix: string): string {
    const bytes = Buffer.from(prefix, "utf8");
    bytes.writeUInt8(bytes.readUInt8(bytes.length - 1) + 1, bytes.length - 1);
    return bytes.toString("base64");
}

/** A client of one etcd gateway. */
export class EtcdStore implements types.Store {
    private readonly transport: typeof http | typeof https;
    private readonly agent: http.Agent;

    constructor(private readonly url: string, private readonly timeoutMs: number, private readonly rateLimiter: callRateLimiter.CallRateLimiter) {
        this.transport = url.startsWith("https:") ? process.getBuiltinModule("node:https") : http;
        this.agent = new this.transport.Agent({ keepAlive: true, maxSockets: 8 });
    }

    readonly listEntries = async (prefix: string) => {
        const response = await this.sendCall("/v3/kv/range", { key: encodeText(prefix), range_end: encodePrefixEnd(prefix) }, rangeSchema);
        return response.map(range => ({ entries: range.kvs.map(decodeEntry), revision: range.header.revision }));
    };

    readonly getEntry = async (key: string) => {
        const response = await this.sendCall("/v3/kv/range", { key: encodeText(key) }, rangeSchema);
        return response.map(range => range.kvs.map(decodeEntry)[0]);
    };

    readonly swapEntry = async (request: types.SwapRequest) => {
        const key = encodeText(request.key);
        const put = { key, value: encodeText(request.value), ...(request.leaseId === undefined ? {} : { lease: request.leaseId }) };
        const response = await this.sendCall("/v3/kv/txn", {
            compare: [{ key, target: "MOD", result: "EQUAL", mod_revision: String(request.expectedRevision) }],
            success: [{ request_put: put }],
            failure: [{ request_range: { key } }],
        }, swapSchema);
        return response.map((swap): types.SwapResult => {
            if (swap.succeeded) {
                return { kind: "swapped", revision: swap.header.revision };
            }
            return { kind: "conflict", current: swap.responses[0]?.response_range?.kvs?.map(decodeEntry)[0] };
        });
    };

    readonly createLease = async (ttlMs: number) => {
        const response = await this.sendCall("/v3/lease/grant", { TTL: String(Math.ceil(ttlMs / 1_000)) }, leaseSchema);
        return response.map(lease => lease.ID);
    };

    readonly sendKeepAlive = async (leaseId: string): Promise<Result<void, errors.FleetError>> => {
        const response = await this.sendCall("/v3/lease/keepalive", { ID: leaseId }, keepAliveSchema);
        return response.andThen(keepAlive => keepAlive.result.TTL > 0 ? ok(undefined) : err(errors.createError("storeUnavailable", `the lease ${leaseId} has expired`)));
    };

    readonly removeLease = async (leaseId: string) => {
        const response = await this.sendCall("/v3/lease/revoke", { ID: leaseId }, z.object({}));
        return response.map(() => undefined);
    };

    readonly watchPrefix = (request: types.WatchRequest) => {
        this.rateLimiter.recordCall();
        const body = JSON.stringify({
            create_request: { key: encodeText(request.prefix), range_end: encodePrefixEnd(request.prefix), start_revision: String(request.fromRevision) },
        });
        let isClosed = false;
        const notifyBroken = () => {
            if (!isClosed) {
                isClosed = true;
                httpRequest.destroy();
                request.onBroken(true);
            }
        };
        const httpRequest = this.transport.request(`${this.url}/v3/watch`, { method: "POST", headers: { "content-type": "application/json" } });
        const connectTimer = setTimeout(notifyBroken, this.timeoutMs * watchConnectTimeoutFactor);
        httpRequest.on("error", notifyBroken);
        httpRequest.on("close", () => clearTimeout(connectTimer));
        httpRequest.on("response", response => {
            clearTimeout(connectTimer);
            response.on("close", notifyBroken);
            readLines(response, line => isClosed ? undefined : this.readWatchLine(line, request, notifyBroken));
        });
        httpRequest.end(body);
        return () => {
            isClosed = true;
            httpRequest.destroy();
        };
    };

    readonly close = () => {
        this.agent.destroy();
    };

    private readWatchLine(line: string, request: types.WatchRequest, notifyBroken: () => void): void {
        const message = watchSchema.safeParse(parseJson(line));
        if (!message.success || message.data.result.canceled) {
            notifyBroken();
            return;
        }
        for (const event of message.data.result.events) {
            const entry = decodeEntry(event.kv);
            request.onEvent(event.type === "PUT" ? { kind: "put", entry } : { kind: "removed", key: entry.key, revision: entry.revision });
        }
    }

    private async sendCall<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<Result<T, errors.FleetError>> {
        if (!this.rateLimiter.isCallAllowed()) {
            return err(errors.createError("storeUnavailable", `the rate limit on calls to the store is exhausted; ${path} was not sent`));
        }
        this.rateLimiter.recordCall();
        const response = await this.sendRequest(path, JSON.stringify(body));
        return response.andThen(text => {
            const parsed = schema.safeParse(parseJson(text));
            return parsed.success ? ok(parsed.data) : err(errors.createError("storeUnavailable", `the store's response to ${path} is malformed`));
        });
    }

    private sendRequest(path: string, body: string): Promise<Result<string, errors.FleetError>> {
        return new Promise(resolve => {
            const reject = (reason: string) => resolve(err(errors.createError("storeUnavailable", `${path}: ${reason}`)));
            const httpRequest = this.transport.request(`${this.url}${path}`, {
                method: "POST",
                agent: this.agent,
                headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
            });
            const timer = setTimeout(() => httpRequest.destroy(new Error(`no response within ${this.timeoutMs} ms`)), this.timeoutMs);
            httpRequest.on("error", error => reject(errors.getErrorMessage(error)));
            httpRequest.on("close", () => {
                clearTimeout(timer);
                reject("the connection closed");
            });
            httpRequest.on("response", response => {
                const responseBody = new bodyBuffer.BodyBuffer({ maximumBytes: maximumResponseBytes, kind: "response" });
                response.on("data", (piece: Buffer) => {
                    if (responseBody.add(piece) !== undefined) {
                        httpRequest.destroy(new Error(`the response exceeds ${maximumResponseBytes} bytes`));
                    }
                });
                response.on("error", error => reject(errors.getErrorMessage(error)));
                response.on("end", () => response.statusCode === 200 ? resolve(ok(responseBody.takeBody().toString("utf8"))) : reject(`status ${response.statusCode}`));
            });
            httpRequest.end(body);
        });
    }
}

/** Parses JSON; returns undefined if the text is not JSON. */
function parseJson(text: string): unknown {
    return boundedJson.parseJson(text).unwrapOr(undefined);
}

/** Calls a function with each complete, non-blank line of a stream. */
function readLines(stream: http.IncomingMessage, onLine: (line: string) => void): void {
    let incompleteLine = "";
    stream.setEncoding("utf8");
    stream.on("error", () => {});
    stream.on("data", (chunk: string) => {
        const lines = (incompleteLine + chunk).split("\n");
        incompleteLine = lines.pop() ?? "";
        if (incompleteLine.length > maximumResponseBytes) {
            stream.destroy();
        }
        lines.filter(line => line.trim() !== "").forEach(onLine);
    });
}

function createEtcdStore(url: string, { settings, clock }: context.Context): EtcdStore {
    const rateLimiter = new callRateLimiter.CallRateLimiter({ callsPerSecond: settings.storeCallsPerSecond, clock });
    return new EtcdStore(url.replace(/\/$/, ""), settings.storeTimeoutMs, rateLimiter);
}

adapterRegistry.registerAdapter({ scheme: "http://", create: createEtcdStore });
adapterRegistry.registerAdapter({ scheme: "https://", create: createEtcdStore });
