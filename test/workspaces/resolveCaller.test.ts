/**
 * Which workspace a request belongs to by its key. Guards against requests that are executed without a valid key, against
 * keys that stay valid after they were withdrawn, and against keys in error messages.
 */

import fc from "fast-check";
import tap from "tap";
import * as compiledConfiguration from "../../src/configuration/compiledConfiguration.js";
import * as configuration from "../../src/configuration/index.js";
import * as workspaces from "../../src/workspaces/index.js";
import * as configurations from "../harness/configurations.js";

const routes = { closed: { public: false }, open: { public: true } };

function createCompiled(keysByWorkspace: Readonly<Record<string, readonly string[]>>, rank?: string) {
    const entries = Object.entries(keysByWorkspace).map(([name, keys]) => [name, { keyDigests: keys.map(workspaces.computeKeyDigest), rank }] as const);
    const document = configuration.checkDocument({ ...configurations.createTestConfiguration({ upstreams: { "a-1": "127.0.0.1:1" } }), workspaces: Object.fromEntries(entries) })._unsafeUnwrap();
    return compiledConfiguration.createCompiledConfiguration({ version: 1, changeId: "c", chunks: {}, recent: [] }, document);
}

void tap.test("resolveCaller", async t => {
    const compiled = createCompiled({ first: ["k1", "k2"], second: ["k3"] }, "bulk");
    const resolve = (route: { public: boolean; }, ...authorizations: string[]) => workspaces.resolveCaller(compiled, route, authorizations);
    t.match(resolve(routes.closed, "Bearer k2")._unsafeUnwrap(), { workspace: { name: "first", rankIndex: 2 }, keyDigest: workspaces.computeKeyDigest("k2") });
    t.equal(resolve(routes.closed, "bearer  k3 ")._unsafeUnwrap().workspace?.name, "second", "the scheme has no case");
    const doTest = (name: string, ...authorizations: string[]) => {
        const error = resolve(routes.closed, ...authorizations)._unsafeUnwrapErr();
        t.equal(error.kind, "keyUnknown", name);
        t.notMatch(error.message, /secret/, `${name}: the message has no key`);
    };
    doTest("no key");
    doTest("unknown key", "Bearer secret");
    doTest("another scheme", "Basic k1");
    doTest("a key without scheme", "k1");
    doTest("two headers", "Bearer k1", "Bearer k1");
    doTest("two keys", "Bearer k1 k2");
    doTest("a digest in place of a key", `Bearer ${workspaces.computeKeyDigest("k1")}`);
    doTest("a long key", `Bearer ${"secret".repeat(1_000)}`);
    t.equal(resolve(routes.open, "Bearer secret")._unsafeUnwrap().workspace, undefined, "a public route needs no key");
    t.equal(resolve(routes.open, "Bearer k1")._unsafeUnwrap().workspace?.name, "first", "a public route knows a valid key");
    t.strictSame(workspaces.resolveCaller(createCompiled({}), routes.closed, ["Bearer secret"])._unsafeUnwrap(), { workspace: undefined, keyDigest: undefined }, "no workspaces, no keys");
});

void tap.test("no Authorization header resolves to a workspace that does not hold its key", async t => {
    const compiled = createCompiled({ first: ["k1"], second: ["k2"] });
    fc.assert(fc.property(fc.array(fc.oneof(fc.string({ unit: "binary" }), fc.constantFrom("Bearer k1", "Bearer k2", "Bearer k1,k2"))), authorizations => {
        const name = workspaces.resolveCaller(compiled, routes.closed, authorizations).map(({ workspace }) => workspace?.name).unwrapOr(undefined);
        const expected = authorizations.length === 1 ? { "Bearer k1": "first", "Bearer k2": "second" }[authorizations[0]!] : undefined;
        return name === expected;
    }));
    t.pass();
});

void tap.test("a withdrawn key", async t => {
    const request = { workspace: "first", keyDigest: workspaces.computeKeyDigest("k1") };
    t.equal(workspaces.getWithdrawnKeyError(createCompiled({ first: ["k1"] }), request), undefined);
    t.equal(workspaces.getWithdrawnKeyError(createCompiled({ first: ["k2"] }), request)?.kind, "keyUnknown");
    t.equal(workspaces.getWithdrawnKeyError(createCompiled({ first: [], second: ["k1"] }), request)?.kind, "keyUnknown", "the key has moved to another workspace");
    t.equal(workspaces.getWithdrawnKeyError(createCompiled({ second: ["k2"] }), { workspace: "", keyDigest: undefined }), undefined, "a public route");
});

void tap.test("checkDocument rejects contradictions", async t => {
    const base = configurations.createTestConfiguration({ upstreams: { "a-1": "127.0.0.1:1" } });
    const digest = workspaces.computeKeyDigest("k");
    const doTest = (name: string, entries: object, expected: RegExp) => t.match(configuration.checkDocument({ ...base, workspaces: entries })._unsafeUnwrapErr().message, expected, name);
    doTest("a key of two workspaces", { first: { keyDigests: [digest] }, second: { keyDigests: [digest] } }, /also held by the workspace first/);
    doTest("an unknown rank", { first: { rank: "none" } }, /no such rank/);
    doTest("a key in place of its digest", { first: { keyDigests: ["k"] } }, /SHA-256/);
    t.notMatch(configuration.checkDocument({ ...base, workspaces: { first: { keyDigests: ["sk-1"] } } })._unsafeUnwrapErr().message, /sk-1/, "a key in place of its digest is not repeated");
    doTest("a quota of 0", { first: { quota: { requestsPerSecond: 0 } } }, /requestsPerSecond/);
    doTest("a name with a line break", { "a\nb": {} }, /^workspaces/);
});
