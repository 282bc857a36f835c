/** Invalid settings, configurations, requests and peer frames get a clear error, do not crash the instance and do not reach an upstream. */

import * as net from "node:net";
import * as childProcess from "node:child_process";
import tap from "tap";
import * as wire from "../src/peers/wire.js";
import * as configurations from "./harness/configurations.js";
import * as fleet from "./harness/fleet.js";
import * as processes from "./harness/processes.js";
import * as standIns from "./harness/standIns.js";

const waitMs = 3_000;

/** Sends bytes and returns the bytes received until the connection closes or the wait ends. */
function sendBytes(address: string, bytes: string | Buffer): Promise<string> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = net.connect(Number(port), host);
        let text = "";
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
        });
        socket.on("error", () => {});
        socket.on("close", () => resolve(text));
        socket.setTimeout(waitMs, () => socket.destroy());
        socket.write(bytes);
    });
}

/** Runs the program and returns its exit status and output. */
function runProgram(args: readonly string[], environment: Readonly<Record<string, string>> = {}) {
    const run = childProcess.spawnSync(process.execPath, ["dist/agatebend.cjs", ...args], { encoding: "utf8", env: { ...process.env, ...environment }, timeout: 20_000 });
    return { status: run.status, text: run.stderr + run.stdout };
}

void tap.test("invalid settings", async t => {
    const doTest = (args: readonly string[], expected: RegExp, environment: Readonly<Record<string, string>> = {}) => {
        const { status, text } = runProgram(["serve", ...args], environment);
        t.equal(status, 2, `${args.join(" ")} ${JSON.stringify(environment)}`);
        t.match(text, expected);
    };
    doTest(["--nosuchflag", "1"], /nosuchflag/);
    doTest(["--queue-length", "many"], /--queue-length \(AGATEBEND_QUEUE_LENGTH\): .*"many"/);
    doTest([], /--queue-length.*"-1"/, { AGATEBEND_QUEUE_LENGTH: "-1" });
    doTest(["--caller-listen", "somewhere"], /--caller-listen.*HOST:PORT/);
    doTest(["--caller-listen", "127.0.0.1:99999"], /--caller-listen.*port from 0 to 65535/);
    doTest(["--store", "ftp://x"], /--store.*memory: or an http/);
    doTest(["--suspect-after-ms", "5000", "--dead-after-ms", "4000"], /--dead-after-ms: value 4000: must be above/);
    doTest([], /unknown environment variable AGATEBEND_QUEUE_LENGHT/, { AGATEBEND_QUEUE_LENGHT: "5" });
    doTest(["--instance-id", "x".repeat(200)], /--instance-id/);
    doTest(["--tls-key-file", "key.pem"], /set both or neither/);
});

void tap.test("invalid input to a running instance", async t => {
    const [upstream] = await standIns.startUpstreams(1);
    const instance = await fleet.startInstance({ id: "i1", failureDomain: "north", storeUrl: "memory:", seeds: [], flags: { "header-timeout-ms": 700, "header-bytes": 8_192, "request-body-bytes": 1_000, "body-idle-timeout-ms": 500 } });
    t.teardown(() => Promise.all([upstream!.process, instance.process].map(testProcess => testProcess.stop())));
    const validConfiguration = configurations.createTestConfiguration({ upstreams: { "north-0": upstream!.getAddress() } });

    await t.test("configurations", async t => {
        const [route] = validConfiguration.routes;
        const [rank] = validConfiguration.ranks;
        const doTest = async (name: string, document: object | string, expected: RegExp) => {
            const { status, json } = await instance.sendOperatorCall("Apply", { configurationJson: typeof document === "string" ? document : JSON.stringify(document) });
            t.equal(status, 400, name);
            t.match(json.message, expected);
        };
        await doTest("not JSON", "{", /not JSON/);
        await doTest("an unknown field", { ...validConfiguration, extra: 1 }, /unknown field "extra"; remove it/);
        await doTest("a wrong type", { ...validConfiguration, routes: [{ ...route, deadlineMs: "soon" }] }, /routes\.0\.deadlineMs: value "soon"/);
        await doTest("two routes for the same requests", { ...validConfiguration, routes: [route, { ...route, name: "again" }] }, /two routes match GET \/read/);
        await doTest("two routes with the same name", { ...validConfiguration, routes: [route, { ...route, pathPrefix: "/other" }] }, /name read is used twice/);
        await doTest("a floor above the number of upstreams", { ...validConfiguration, services: { docs: { ...validConfiguration.services.docs, floor: 9 } } }, /services\.docs\.floor: value 9: must be at most/);
        await doTest(
            "guaranteed shares with a sum above one",
            { ...validConfiguration, ranks: [{ ...rank, guaranteedShare: 0.9 }, { name: "normal", guaranteedShare: 0.9 }, { name: "bulk", guaranteedShare: 0 }] },
            /add up to 1\.8; at most 1/,
        );
        await doTest("guaranteed shares that are all zero", { ...validConfiguration, ranks: validConfiguration.ranks.map(({ name }) => ({ name, guaranteedShare: 0 })) }, /every guaranteedShare is 0/);
        await doTest("an unknown service", { ...validConfiguration, routes: [{ ...route, service: "nowhere" }] }, /no such service; allowed: docs/);
        await doTest("an unknown rank", { ...validConfiguration, routes: [{ ...route, rank: "first" }] }, /no such rank; allowed: urgent, normal, bulk/);
        await doTest("a very long value", { ...validConfiguration, routes: [{ ...route, name: "n".repeat(100_000) }] }, /100002 characters/);
        await doTest("a header with a line break", { ...validConfiguration, services: { docs: { ...validConfiguration.services.docs, drainingHeader: "x\r\ny" } } }, /drainingHeader/);
    });

    await t.test("operator calls", async t => {
        const doTest = async (method: string, body: object, status: number, expected: RegExp) => {
            const response = await instance.sendOperatorCall(method, body);
            t.equal(response.status, status, `${method} ${JSON.stringify(body).slice(0, 60)}`);
            t.match(response.json.message, expected);
        };
        await fleet.applyConfiguration(instance, validConfiguration);
        await doTest("Get", { section: "nothing" }, 400, /section: value "nothing": allowed: configuration/);
        await doTest("Retire", {}, 400, /features: empty/);
        await doTest("Retire", { features: ["two words"] }, 400, /retiredFeatures/);
        await doTest("Drain", {}, 400, /target: missing/);
        await doTest("Drain", { upstream: "docs/none" }, 404, /no upstream docs\/none is configured/);
        await doTest("Drain", { instanceId: "i9" }, 404, /no instance i9 is known; known: i1/);
        await doTest("Apply", { configurationJson: JSON.stringify(validConfiguration), baseVersion: 77 }, 409, /version 1/);
        await doTest("Apply", { changeId: "c".repeat(200) }, 400, /changeId: 200 characters/);
        await doTest("Get", { nosuchfield: 1 }, 400, /nosuchfield/);
    });

    await t.test("caller headers and bodies", async t => {
        const doTest = async (name: string, headers: object, status: number, expected: RegExp, options: processes.SendRequestOptions = {}) => {
            const response = await instance.send("/orders", { method: "POST", body: "x", headers: { "x-agatebend-order-key": "k1", ...headers }, ...options });
            t.equal(response.status, status, name);
            t.match(response.body.toString(), expected);
        };
        await doTest("a deadline that is not a number", { "x-agatebend-deadline-ms": "soon" }, 409, /whole number of milliseconds/);
        await doTest("a deadline of zero", { "x-agatebend-deadline-ms": "0" }, 409, /whole number of milliseconds/);
        await doTest("an invalid workspace", { "x-agatebend-workspace": "a b" }, 409, /x-agatebend-workspace must be/);
        await doTest("a repeated header", { "x-agatebend-workspace": ["a", "b"] }, 409, /stands 2 times/);
        await doTest("two order keys", { "x-agatebend-order-key": ["k1", "k2"] }, 409, /"outcome":"unknown"/);
        await doTest("an invalid order key", { "x-agatebend-order-key": "no spaces" }, 400, /order key must be/);
        await doTest("an incomplete order key prefix", { "x-agatebend-order-key": "i1~1~2" }, 400, /issued prefix/);
        await doTest("a forged order key prefix", { "x-agatebend-order-key": `${((await instance.getEntries()).orderKeyPrefix ?? "").replace(/.$/, "0").replace(/~[^~]+$/, "~0123456789abcdef")}~1` }, 400, /orderKeyInvalid/);
        await doTest("a body over the limit", {}, 409, /larger than 1000 bytes/, { body: "y".repeat(2_000) });
    });

    await t.test("raw HTTP", async t => {
        const arrivedBefore = (await upstream!.getState<{ arrived: number; }>()).arrived;
        const doTest = async (name: string, bytes: string, expected: RegExp) => t.match(await sendBytes(instance.ports.caller, bytes), expected, name);
        const headerEnd = "\r\n\r\n";
        await doTest(
            "both a content length and chunked encoding",
            `POST /free-orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked${headerEnd}0${headerEnd}GET /read/smuggled HTTP/1.1\r\nHost: x${headerEnd}`,
            /^HTTP\/1\.1 400/,
        );
        await doTest("two content lengths", `POST /free-orders HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6${headerEnd}hello`, /^HTTP\/1\.1 400/);
        await doTest("an unknown transfer encoding", `POST /free-orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked${headerEnd}0${headerEnd}`, /^HTTP\/1\.1 400/);
        await doTest("a line break in a header", `GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Bad: a\rb${headerEnd}`, /^HTTP\/1\.1 400/);
        await doTest("a header above the size limit", `GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Big: ${"a".repeat(20_000)}${headerEnd}`, /^HTTP\/1\.1 431/);
        await doTest("a header that is not completed in time", "GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Slow: ", /^HTTP\/1\.1 408/);
        await doTest("a missing host header", `GET /read/1 HTTP/1.1${headerEnd}`, /^HTTP\/1\.1 400/);
        await doTest("an absolute request target", `GET http://elsewhere/read/1 HTTP/1.1\r\nHost: x\r\nConnection: close${headerEnd}`, /^HTTP\/1\.1 400/);
        await doTest("an incomplete body", `POST /free-orders HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\nConnection: close${headerEnd}half`, /^HTTP\/1\.1 400/);
        await doTest("not HTTP", `hello${headerEnd}`, /^HTTP\/1\.1 400/);
        t.equal((await upstream!.getState<{ arrived: number; }>()).arrived, arrivedBefore, "no request reached the upstream");
    });

    await t.test("peer frames", async t => {
        const hello: wire.Message = { type: "hello", version: 1, fleet: "agatebend", instanceId: "evil", incarnation: 1, failureDomain: "x", nonce: "0".repeat(32) };
        const encodeLength = (bytes: number) => {
            const buffer = Buffer.alloc(4);
            buffer.writeUInt32BE(bytes);
            return buffer;
        };
        const doTest = async (name: string, bytes: Buffer, expected: RegExp) => {
            const before = instance.listLogs("peer-rejected").length;
            await sendBytes(instance.ports.peer, bytes);
            const log = await processes.waitFor(`${name} is logged`, () => instance.listLogs("peer-rejected")[before]);
            t.match(log.message, expected, name);
        };
        await doTest("an oversized frame", encodeLength(100_000_000), /announces 100000000 bytes; 4194304 are allowed/);
        await doTest("not CBOR", Buffer.concat([encodeLength(3), Buffer.from([0xff, 0xff, 0xff])]), /is not CBOR/);
        await doTest("not a known message", Buffer.concat([encodeLength(1), Buffer.from([0x01])]), /malformed at/);
        await doTest("a first message other than hello", wire.encodeFrame({ type: "heartbeat", incarnation: 1, heartbeat: 1 }), /first message is heartbeat, not hello/);
        await doTest("an unsupported protocol version", wire.encodeFrame({ ...hello, version: 99 }), /speaks version 99/);
        await doTest("another fleet", wire.encodeFrame({ ...hello, fleet: "others" }), /belongs to the fleet others/);
        await doTest("a proof made with a wrong secret", Buffer.concat([wire.encodeFrame(hello), wire.encodeFrame({ type: "proof", mac: "00" })]), /does not know the shared secret/);
    });
    t.equal((await instance.send("/read/1")).status, 200, "the instance still serves");
    t.equal(instance.process.exitCode, undefined);
});
