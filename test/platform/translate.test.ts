/** Translates the operator's configuration and the workers' entries into the program's own formats. Errors must name the invalid field. */

import fc from "fast-check";
import tap from "tap";
import * as translate from "../../platform/translate.js";
import * as workspaces from "../../src/workspaces/index.js";
import * as platform from "../harness/platform.js";

void tap.test("the operator's configuration", async t => {
    const text = (change: object = {}) => JSON.stringify({ ...platform.createPlatformConfiguration(12, platform.defaultRoutes), ...change });
    const { version, document } = translate.parseConfiguration(text())._unsafeUnwrap();
    t.equal(version, 12);
    t.match(document.routes[1], { name: "order", hosts: [platform.host], repeatable: false, orderKey: "optional", service: "desk", timeoutMs: 4_000, targetLatencyMs: 800, maximumAttempts: 2 });
    t.equal(document.routes[2]?.repeatable, true, "a download may be retried");
    t.match(document.services.desk, { identityHeader: "expect-instance", echoHeader: "request-id", sealHeader: "response-seal", shed: { status: "any", header: "not-executed" }, floor: 0 });
    t.match(document.limits, { bodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 });
    const doTest = (name: string, input: string, expected: RegExp) => t.match(translate.parseConfiguration(input)._unsafeUnwrapErr().message, expected, name);
    doTest("not JSON", "{", /not JSON/);
    doTest("a version that is not a number", text({ version: "12" }), /version: value "12"/);
    doTest("a route without a kind", text({ routes: [{ name: "r", host: "h", prefix: "/a/", service: "desk" }] }), /routes\.0\.kind/);
    doTest("workspaces that are no list", text({ workspaces: {} }), /workspaces/);
    const notRepeated = (name: string, input: string) => t.notMatch(translate.parseConfiguration(input)._unsafeUnwrapErr().message, /secret/, `no key is repeated: ${name}`);
    notRepeated("a key without quotes", text({ workspaces: [{ name: "w", keys: ["secret"] }] }).replace("\"secret\"", "secret"));
    notRepeated("a key in place of a list", text({ workspaces: [{ name: "w", keys: "secret" }] }));
    notRepeated("a text that is a key", "secret");
    doTest("a quota that is no number", text({ workspaces: [{ name: "w", keys: [], requestsPerSecond: "5" }] }), /requestsPerSecond: value "5"/);
    doTest("a route to an unknown service", text({ routes: [{ name: "r", host: "h", prefix: "/a/", kind: "safe", service: "none" }] }), /no such service/);
});

// Guards against a version that is rejected whole for one new thing, so that no instance ever has a configuration, and against
// uploads that are sent twice.
void tap.test("what a newer platform adds is left out, and the rest is used", async t => {
    const route = (kind: string) => ({ name: kind, host: "h", prefix: `/${kind}/`, kind, service: "desk" });
    const { document, omissions } = translate.parseConfiguration(JSON.stringify({ version: 3, baseVersion: 2, services: [{ name: "desk" }], caches: [{ name: "c" }], routes: ["safe", "download", "unsafe", "upload", "often"].map(route) }))
        ._unsafeUnwrap();
    t.strictSame(document.routes.map(({ repeatable }) => repeatable), [true, true, false, false, false]);
    t.match(omissions, [/list caches/, /route often has the unknown kind often/]);
    t.equal(omissions?.length, 2);
});

// Guards against a key or a name that makes the whole version invalid, or that a message repeats.
void tap.test("workspaces", async t => {
    const parse = (entries: readonly object[]) =>
        translate.parseConfiguration(JSON.stringify({ version: 3, services: [{ name: "desk" }], routes: [{ name: "r", host: "h", prefix: "/", kind: "safe", service: "desk", priority: 2 }], workspaces: entries }))._unsafeUnwrap();
    const { document, omissions } = parse([{ name: "first", keys: ["one", "two"], priority: 1, requestsPerSecond: 5, burst: 7 }, { name: "second", keys: ["three"], requestsPerSecond: 0, burst: 9 }]);
    t.strictSame(omissions, []);
    t.strictSame(document.workspaces.first, { keyDigests: ["one", "two"].map(workspaces.computeKeyDigest), rank: "rank-1", quota: { requestsPerSecond: 5, burst: 7 } });
    t.strictSame(document.workspaces.second, { keyDigests: [workspaces.computeKeyDigest("three")], rank: undefined, quota: undefined }, "a rate of 0 is no limit");
    t.strictSame(document.ranks.map(({ name }) => name), ["rank-1", "rank-2"], "a workspace may have a rank that no route has");
    t.equal(document.services.desk?.workspaceHeader, "tenant");
    const odd = parse([{ name: "first", keys: ["one", "se\u0000cret", "one"] }, { name: "first", keys: ["other"] }, { name: "a b", keys: ["x"] }, { name: "second", keys: ["one", "three"] }]);
    t.strictSame(Object.entries(odd.document.workspaces).map(([name, { keyDigests }]) => [name.replace(/\.\..*/, ""), keyDigests.length]), [["first", 1], ["a-b", 0], ["second", 1]]);
    t.equal(Object.keys(parse([{ name: "a b", keys: ["x"] }]).document.workspaces).length, 1, "keys are still needed if every workspace is unusable");
    t.equal(odd.omissions?.length, 4);
    t.notMatch(odd.omissions?.join(" "), /cret|three/, "no key is repeated");
});

void tap.test("a worker's entry", async t => {
    const entry = { service: "desk", address: "10.0.0.1:8080", failureDomain: "north", version: "v1", slots: 3, state: "ready", coldLeftMs: 0, seq: 4, born: 1_700_000_000_000 };
    t.strictSame(translate.parseWorkerEntry("servers/i-1", JSON.stringify(entry))._unsafeUnwrap(), {
        service: "desk",
        definition: { id: "i-1", address: "10.0.0.1:8080", failureDomain: "north", state: "live", slots: 3, startedAtMs: 1_700_000_000_000 },
        sequence: 4,
    });
    t.equal(translate.parseWorkerEntry("servers/i-1", JSON.stringify({ ...entry, state: "draining" }))._unsafeUnwrap().definition.state, "leaving");
    const doTest = (change: object, expected: RegExp) => t.match(translate.parseWorkerEntry("servers/i-1", JSON.stringify({ ...entry, ...change }))._unsafeUnwrapErr().message, expected, JSON.stringify(change));
    doTest({ state: "resting" }, /state: value "resting"/);
    doTest({ slots: "3" }, /slots: value "3"/);
    doTest({ address: undefined }, /address: missing/);
    doTest({ address: "somewhere" }, /address: value "somewhere"/);
    t.match(translate.parseWorkerEntry("servers/i-1", "\u0000")._unsafeUnwrapErr().message, /not JSON/);
});

// Guards against a configuration that is turned away whole for one name, although the platform allows it.
void tap.test("any name of the platform is served", async t => {
    const oddNames = ["__proto__", "constructor", "a b", "ñandú", "-a", "x".repeat(200), "a..0123456789abcdef", "\ud800", "/", "日本"];
    const nameArbitrary = fc.oneof(fc.constantFrom(...oddNames), fc.string({ unit: "binary", minLength: 1, maxLength: 200 }).filter(name => name.length <= 200));
    const namesArbitrary = fc.uniqueArray(nameArbitrary, { minLength: 1, maxLength: 5 });
    fc.assert(fc.property(namesArbitrary, namesArbitrary, nameArbitrary, nameArbitrary, (services, routes, host, path) => {
        const text = JSON.stringify({
            version: 1,
            services: services.map(name => ({ name })),
            routes: routes.map((name, index) => ({ name, host, prefix: `/${index}/${path}`, kind: "safe", split: services.map(service => ({ service, weight: 1 })) })),
        });
        const { document } = translate.parseConfiguration(text)._unsafeUnwrap();
        const known = Object.keys(document.services);
        const entry = { address: "10.0.0.1:8080", failureDomain: "north", slots: 3, state: "ready" };
        const discovered = services.map(service => translate.parseWorkerEntry("servers/i-1", JSON.stringify({ ...entry, service }))._unsafeUnwrap().service);
        return known.length === services.length && document.routes.length === routes.length && discovered.every(service => known.includes(service));
    }));
    const createDocument = (route: object) =>
        translate.parseConfiguration(JSON.stringify({ version: 1, services: [{ name: "desk" }], routes: [{ name: "r", host: "h", prefix: "/", kind: "safe", service: "desk", ...route }] }))._unsafeUnwrap().document;
    const doTest = (route: object, expected: object) => t.match(createDocument(route).routes[0], expected, JSON.stringify(route));
    doTest({ name: "plain-name.1" }, { name: "plain-name.1" });
    doTest({ name: "Órdenes de envío" }, { name: /^rdenes-de-env-o\.\.[0-9a-f]{16}$/ });
    doTest({ host: "My_Shop.example:8080" }, { hosts: ["my_shop.example"] });
    doTest({ host: "bücher.example" }, { hosts: ["xn--bcher-kva.example"] });
    doTest({ host: "[2001:DB8::1]" }, { hosts: ["[2001:db8::1]"] });
    doTest({ host: "no such host" }, { hosts: [/\.\.[0-9a-f]{16}$/] });
    doTest({ prefix: "/órdenes de?#/" }, { pathPrefix: "/%C3%B3rdenes%20de%3F%23/" });
});
