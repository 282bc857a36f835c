/** Translates the operator's configuration and the workers' entries into the program's own formats. Errors must name the invalid field. */

import tap from "tap";
import * as translate from "../../platform/translate.js";
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
    doTest("a route of unknown kind", text({ routes: [{ name: "r", host: "h", prefix: "/a/", kind: "often", service: "desk" }] }), /routes\.0\.kind/);
    doTest("a route to an unknown service", text({ routes: [{ name: "r", host: "h", prefix: "/a/", kind: "safe", service: "none" }] }), /no such service/);
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
