/**
 * Guards against findings that are missed, that change their code or path, or that valid documents get without a reason, and
 * against differences that only lie in the order of things.
 */

import * as fs from "node:fs";
import tap from "tap";
import * as configuration from "../../src/configuration/index.js";
import * as configurations from "../harness/configurations.js";

type Input = ReturnType<typeof configurations.createTestConfiguration> & Record<string, unknown>;

const digest = (digit: string) => digit.repeat(64);
const createInput = (): Input => configurations.createTestConfiguration({ upstreams: { "a-1": "127.0.0.1:1", "a-2": "127.0.0.1:2", "b-3": "127.0.0.1:3" }, slots: 3, floor: 1 });
const parse = (input: unknown) => configuration.checkDocument(input)._unsafeUnwrap();
const format = (list: readonly configuration.Finding[]) => list.map(({ severity, code, path }) => `${severity} ${code} ${path}`);
const documented = fs.readFileSync("docs/configuration.md", "utf8");

/** Creates an input with one route changed. */
const withRoute = (change: object, index = 0): unknown => {
    const input = createInput();
    return { ...input, routes: input.routes.map((route, position) => position === index ? { ...route, ...change } : route) };
};
const withService = (change: object): unknown => {
    const input = createInput();
    return { ...input, services: { docs: { ...input.services.docs, ...change } } };
};
const withDocument = (change: object): unknown => ({ ...createInput(), ...change });

void tap.test("errors", async t => {
    const doTest = (input: unknown, ...expected: string[]) => {
        const list = configuration.findDocumentErrors(input)._unsafeUnwrapErr();
        t.strictSame(format(list), expected.map(each => `error ${each}`), expected.join());
        list.forEach(({ code }) => t.ok(documented.includes(`\`${code}\``), `${code} is documented`));
        t.equal(configuration.checkDocument(input)._unsafeUnwrapErr().message, list.map(configuration.formatFinding).join("\n"), "the message has the same problems");
    };
    doTest(withRoute({ deadlineMs: "5" }), "field-invalid routes.0.deadlineMs");
    doTest(withRoute({ other: 1 }), "field-unknown routes.0");
    doTest(7, "field-invalid (the document)");
    doTest(withRoute({ rank: "none" }), "rank-unknown routes.0.rank");
    doTest(withRoute({ service: "none" }), "service-unknown routes.0.service");
    doTest(withRoute({ split: [{ service: "docs", weight: 1 }] }), "route-target-unclear routes.0");
    doTest(withRoute({ service: undefined, split: [{ service: "docs", weight: 0 }] }), "split-weights-zero routes.0.split");
    doTest(withRoute({ name: "normal" }), "route-name-repeated routes");
    doTest(withRoute({ pathPrefix: "/normal", methods: ["GET"] }), "route-match-repeated routes");
    doTest(withService({ floor: 4 }), "floor-above-upstreams services.docs.floor");
    doTest(withService({ upstreams: ["1", "1"].map(id => ({ id, address: "127.0.0.1:1", failureDomain: "a" })) }), "upstream-id-repeated services.docs.upstreams", "upstream-address-repeated services.docs.upstreams");
    doTest(withDocument({ ranks: ["urgent", "normal", "bulk"].map(name => ({ name, guaranteedShare: 0.5 })) }), "rank-shares-above-one ranks");
    doTest(withDocument({ ranks: ["urgent", "normal", "bulk"].map(name => ({ name, guaranteedShare: 0 })) }), "rank-shares-zero ranks");
    doTest(withDocument({ ranks: ["urgent", "normal", "bulk", "bulk"].map(name => ({ name, guaranteedShare: 0.1 })) }), "rank-name-repeated ranks");
    doTest(withDocument({ workspaces: { w: { keyDigests: [digest("1")] }, v: { keyDigests: [digest("1")], rank: "none" } } }), "rank-unknown workspaces.v.rank", "key-shared workspaces.v.keyDigests");
});

void tap.test("warnings", async t => {
    const doTest = (input: unknown, ...expected: string[]) => {
        const list = configuration.listWarnings(parse(input));
        t.strictSame(format(list), expected.map(each => `warning ${each}`), expected.join() || "none");
        list.forEach(({ code }) => t.ok(documented.includes(`\`${code}\``), `${code} is documented`));
    };
    doTest(createInput());
    for (const name of fs.readdirSync("examples")) {
        doTest(JSON.parse(fs.readFileSync(`examples/${name}/configuration.json`, "utf8")));
    }
    doTest(withRoute({ pathPrefix: "/büro" }), "route-prefix-not-ascii routes.read.pathPrefix");
    doTest(withRoute({ pathPrefix: "/v1/entries/x" }), "route-shadowed routes.read.pathPrefix");
    doTest(withRoute({ pathPrefix: "/v1/entriesx" }));
    doTest(withDocument({ retiredFeatures: ["reading"] }), "route-feature-retired routes.read.feature");
    doTest(withRoute({ service: undefined, split: [{ service: "docs", weight: 1 }, { service: "docs", weight: 0 }] }), "split-weight-zero routes.read.split");
    doTest(withRoute({ public: true }), "public-without-workspaces routes.read.public");
    doTest(withRoute({ timeoutMs: 5_001 }), "timeout-above-deadline routes.read.timeoutMs");
    doTest(withRoute({ timeoutMs: 5_000, targetLatencyMs: 5_000 }));
    doTest(withRoute({ timeoutMs: 1_000, targetLatencyMs: 1_001 }), "target-above-time-limit routes.read.targetLatencyMs");
    doTest(withRoute({ maximumAttempts: 4 }), "attempts-above-upstreams routes.read.maximumAttempts");
    doTest(withRoute({ maximumAttempts: 4 }, 2));
    doTest(withRoute({ hedging: { maximumShare: 0.1 } }));
    doTest(withRoute({ hedging: { maximumShare: 0.1 }, maximumAttempts: 1 }), "hedging-without-attempts routes.read.hedging");
    doTest(withRoute({ hedging: { maximumShare: 0.1 } }, 2), "hedging-of-orders routes.order.hedging");
    doTest(withService({ minimumStallMs: 30_000 }), "stall-above-time-limit services.docs.minimumStallMs");
    doTest(withService({ upstreams: createInput().services.docs.upstreams.map(each => ({ ...each, state: "leaving" })) }), "floor-above-live services.docs.floor");
    doTest(withService({ slots: 331 }), "slots-above-connections services.docs.connections");
    doTest(withService({ workspaceHeader: "x-w" }), "workspace-header-without-workspaces services.docs.workspaceHeader");
    doTest(withDocument({ services: { ...createInput().services, other: { slots: 1, connections: 1, floor: 0 } } }), "service-unused services.other");
    doTest(withDocument({ ranks: [...createInput().ranks, { name: "none", guaranteedShare: 0 }] }), "rank-unused ranks.none");
    doTest(withDocument({ workspaces: { w: {} } }), "workspace-without-keys workspaces.w");
    doTest(withDocument({ workspaces: { w: { keyDigests: [digest("1")], quota: { requestsPerSecond: 0.5 } } } }), "quota-below-one workspaces.w.quota");
    doTest(withDocument({ workspaces: { w: { keyDigests: [digest("1")], quota: { requestsPerSecond: 0.5, burst: 1 } } } }));
    doTest(withDocument({ limits: { bodyBytes: 0 } }), "body-limit-zero limits.bodyBytes");
});

void tap.test("differences", async t => {
    const doTest = (before: unknown, after: unknown, ...expected: string[]) => {
        const list = configuration.listDifferences(parse(before), parse(after));
        t.strictSame(format(list).sort(), expected.sort(), expected.join() || "none");
        list.forEach(({ code }) => t.ok(documented.includes(`\`${code}\``), `${code} is documented`));
        list.forEach(({ message }) => t.notMatch(message, /1{9}|2{9}/, "no whole digest is shown"));
    };
    const workspaces = { w: { keyDigests: [digest("1"), digest("2")], rank: "bulk" } };
    doTest(createInput(), createInput());
    const input = createInput();
    const reordered = {
        ...input,
        routes: [...input.routes].reverse().map(route => ({ ...route, methods: [...route.methods].reverse() })),
        services: { docs: { ...input.services.docs, upstreams: [...input.services.docs.upstreams].reverse() } },
    };
    doTest({ ...input, workspaces }, { ...reordered, workspaces: { w: { rank: "bulk", keyDigests: [...workspaces.w.keyDigests].reverse() } } });
    doTest(createInput(), withRoute({ maximumAttempts: 3 }));
    doTest(createInput(), withRoute({ deadlineMs: 7 }), "change route-changed routes.read.deadlineMs");
    doTest(createInput(), withRoute({ name: "other" }), "warning route-removed routes.read", "change route-added routes.other");
    doTest(createInput(), withRoute({ repeatable: true }, 2), "change route-changed routes.order.repeatable", "warning route-becomes-repeatable routes.order.repeatable");
    doTest(withDocument({ workspaces }), { ...(withRoute({ public: true }) as object), workspaces }, "change route-changed routes.read.public", "warning route-becomes-public routes.read.public");
    doTest(createInput(), withService({ slots: 4 }), "change service-changed services.docs.slots");
    doTest(
        createInput(),
        withService({ upstreams: [{ id: "a-1", address: "127.0.0.1:9", failureDomain: "a" }, { id: "c", address: "127.0.0.1:4", failureDomain: "a" }] }),
        ...["changed services.docs.upstreams.a-1.address", "removed services.docs.upstreams.a-2", "removed services.docs.upstreams.b-3", "added services.docs.upstreams.c"].map(each => `change upstream-${each}`),
    );
    const other = { other: { slots: 1, connections: 1, floor: 0 } };
    doTest(createInput(), withDocument({ services: { ...createInput().services, ...other } }), "change service-added services.other");
    doTest(withDocument({ services: { ...createInput().services, ...other } }), createInput(), "warning service-removed services.other");
    doTest(createInput(), withDocument({ ranks: [...createInput().ranks].reverse() }), "change rank-changed ranks.urgent.position", "change rank-changed ranks.bulk.position");
    doTest(createInput(), withDocument({ ranks: [...createInput().ranks, { name: "none", guaranteedShare: 0 }] }), "change rank-added ranks.none");
    doTest(withDocument({ ranks: [...createInput().ranks, { name: "none", guaranteedShare: 0 }] }), createInput(), "change rank-removed ranks.none");
    doTest(createInput(), withDocument({ workspaces }), "warning keys-needed workspaces", "change workspace-added workspaces.w", "change key-added workspaces.w.keyDigests", "change key-added workspaces.w.keyDigests");
    doTest(withDocument({ workspaces }), createInput(), "warning keys-not-needed workspaces", "change workspace-removed workspaces.w", "change key-withdrawn workspaces.w.keyDigests", "change key-withdrawn workspaces.w.keyDigests");
    doTest(
        withDocument({ workspaces }),
        withDocument({ workspaces: { w: { ...workspaces.w, keyDigests: [digest("1")], quota: { requestsPerSecond: 5 } }, v: { keyDigests: [digest("2")] } } }),
        "change workspace-changed workspaces.w.quota",
        "change workspace-added workspaces.v",
        "warning key-moved workspaces.v.keyDigests",
    );
    doTest(createInput(), withDocument({ retiredFeatures: ["proofs"] }), "change feature-retired retiredFeatures");
    doTest(withDocument({ retiredFeatures: ["proofs"] }), createInput(), "warning feature-restored retiredFeatures");
    doTest(createInput(), withDocument({ limits: { bodyBytes: 5 }, callerHeaders: { deadline: "d" } }), "change limits-changed limits.bodyBytes", "change caller-headers-changed callerHeaders.deadline");
});
