/**
 * Guards against input of another program that makes a decoder throw. A decoder runs in loops and event handlers that the
 * instance cannot do without; an exception there ends them or the process.
 */

import { Encoder } from "cbor-x";
import * as fc from "fast-check";
import tap from "tap";
import * as translate from "../platform/translate.js";
import * as settingsFile from "../src/cli/settingsFile.js";
import * as changeWriter from "../src/configuration/changeWriter.js";
import * as checkDocument from "../src/configuration/checkDocument.js";
import * as chunks from "../src/configuration/chunks.js";
import * as externalConfiguration from "../src/configuration/externalConfiguration.js";
import * as boundedJson from "../src/kernel/boundedJson.js";
import * as nesting from "../src/kernel/nesting.js";
import * as orderKey from "../src/orders/orderKey.js";
import * as wire from "../src/peers/wire.js";
import * as retryAfter from "../src/requests/retryAfter.js";
import * as settings from "../src/settings/index.js";

const seed = 20_261_205;
const numRuns = 1_000;
const entry = { service: "desk", address: "10.0.0.1:80", failureDomain: "north", version: "v1", slots: 3, state: "ready", coldLeftMs: 0, seq: 4, born: 1 };
const configuration = {
    version: 3,
    routes: [{ name: "r", host: "h", prefix: "/a/", kind: "safe", service: "desk", timeoutMs: 100.5 }],
    services: [{ name: "desk", connections: 3 }],
    workspaces: [{ name: "w", keys: ["k"], priority: 1, requestsPerSecond: 5, burst: 2 }],
    limits: {},
};

/** A value of any type in place of one field, as another writer may leave it. */
const changedField = (valid: object) =>
    fc.tuple(fc.constantFrom(...Object.keys(valid)), fc.oneof(fc.anything({ maxDepth: 3, withBigInt: false }), fc.double(), fc.constant("9".repeat(400)))).map(([name, value]) => ({ ...valid, [name]: value }));
const deepText = fc.tuple(fc.constantFrom("[", "{\"a\":"), fc.integer({ min: nesting.maximumDepth + 1, max: 300_000 })).map(([opening, depth]) => opening.repeat(depth));
const text = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.json({ maxDepth: 8 }),
    changedField(entry).map(value => JSON.stringify(value)),
    changedField(configuration).map(value => JSON.stringify(value)),
    fc.array(changedField(configuration.routes[0]!), { maxLength: 3 }).map(routes => JSON.stringify({ ...configuration, routes })),
    fc.array(changedField(configuration.workspaces[0]!), { maxLength: 3 }).map(workspaces => JSON.stringify({ ...configuration, workspaces })),
);

const textDecoders: Readonly<Record<string, (input: string) => unknown>> = {
    "a worker's entry": input => translate.parseWorkerEntry("servers/i-1", input),
    "the key of a worker's entry": input => translate.parseWorkerEntry(input, JSON.stringify(entry)),
    "the operator's configuration": translate.parseConfiguration,
    "a configuration document": checkDocument.parseDocument,
    "a versioned document": externalConfiguration.parseDefaultConfiguration,
    "the configuration head": changeWriter.parseHead,
    "configuration chunks": input => chunks.mergeChunks(new Map([["ranks", input], ["routes:1", input], ["service:a", input], ["workspaces:1", input], ["callers", input]])).andThen(checkDocument.checkDocument),
    "an order key": orderKey.parseOrderKey,
    "a settings file": input => settingsFile.parseSettings(input).andThen(settings.checkServeSettings),
    "an address": settings.isConnectableAddress,
    "Retry-After": retryAfter.parseRetryAfter,
};

void tap.test("decoders of text", async t => {
    for (const [name, decode] of Object.entries(textDecoders)) {
        fc.assert(
            fc.property(text, input => {
                decode(input);
            }),
            { numRuns, seed },
        );
        fc.assert(
            fc.property(deepText, input => {
                decode(input);
            }),
            { numRuns: 20, seed },
        );
        t.pass(name);
    }
});

void tap.test("the bounds of JSON", async t => {
    const nest = (depth: number) => "[".repeat(depth) + "]".repeat(depth);
    t.ok(boundedJson.parseJson(nest(nesting.maximumDepth)).isOk());
    t.ok(boundedJson.parseJson(nest(nesting.maximumDepth + 1)).isErr());
    t.strictSame(boundedJson.parseJson(JSON.stringify({ a: nest(100), "b\"[": "\\" }))._unsafeUnwrap(), { a: nest(100), "b\"[": "\\" }, "brackets in strings do not count");
    t.ok(boundedJson.parseJson("\"abc\"", { maximumCharacters: 4 }).isErr());
});

void tap.test("messages of peers", async t => {
    const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
    const types = ["hello", "proof", "heartbeat", "registers", "digest", "notice", "request", "reply", "refusal"] as const;
    const field = fc.oneof(fc.anything({ maxDepth: 3, withBigInt: true, withTypedArray: true }), fc.string(), fc.integer());
    const message = fc.record({ type: fc.constantFrom(...types), topic: field, body: field, id: field, incarnation: field, heartbeat: field, entries: field, registers: field });
    fc.assert(
        fc.property(fc.oneof(fc.uint8Array({ maxLength: 200 }), message.map(value => encoder.encode(value))), bytes => {
            wire.decodeMessage(Buffer.from(bytes));
        }),
        { numRuns: 5_000, seed },
    );
    const createNested = (depth: number) => {
        let body: unknown = 1;
        for (let level = 0; level < depth; level += 1) {
            body = [body];
        }
        return Buffer.from(encoder.encode({ type: "notice", topic: "t", body }));
    };
    t.ok(wire.decodeMessage(createNested(nesting.maximumDepth - 2)).isOk());
    t.ok(wire.decodeMessage(createNested(nesting.maximumDepth)).isErr());
    t.ok(wire.decodeMessage(Buffer.alloc(1_000_000, 0x81)).isErr(), "a million nested arrays");
    t.ok(wire.decodeMessage(Buffer.from(encoder.encode({ type: "notice", topic: "t", body: 1 }))).isOk(), "the decoder still works after all these");
});
