/**
 * Stand-ins for the users' platform, and what starts the program before them. Plain Node.js, no dependency.
 * The store, the workers and the clients do what PROTOCOL.md says; names are those of deploy/wire.toml.
 */

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

export const root = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");
export const hasTrouble = process.env.TROUBLE !== "0";
/** Limits of the site quillen-boletin, in milliseconds. */
export const bounds = { drainMs: 2_000, stableWindowMs: 3_000, configApplyMs: 2_000, graceMs: 6_000 };

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const startedAt = performance.now();
/** Milliseconds since the start of the script. */
export const now = () => performance.now() - startedAt;

/** Writes record.txt in the folder of the case. */
export class Record {
    constructor(directory) {
        this.stream = fs.createWriteStream(path.join(directory, "record.txt"));
    }
    write(text) {
        this.stream.write(`${now().toFixed(0).padStart(7)} ${text}\n`);
    }
    close() {
        return new Promise(resolve => this.stream.end(resolve));
    }
}

/** Three octets of loopback addresses that this run uses, so that the fixed port of the deploy file is free. */
const loopbackPrefix = `127.${1 + Math.floor(Math.random() * 254)}.${Math.floor(Math.random() * 255)}`;
let nextHost = 1;
export const createLoopbackAddress = () => `${loopbackPrefix}.${nextHost++}`;

export function findFreePort(host) {
    return new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });
}

function listen(server, host) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
    });
}

function readText(stream) {
    return new Promise((resolve, reject) => {
        let text = "";
        stream.setEncoding("utf8");
        stream.on("data", piece => text += piece);
        stream.on("end", () => resolve(text));
        stream.on("error", reject);
    });
}

/** The platform's key-value store. Each change is acknowledged at the time that `put` returns. */
export class Store {
    items = new Map();
    events = [];
    revision = 100;
    leases = new Map();
    watches = new Set();

    async start() {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 0;
        this.address = await listen(this.server, createLoopbackAddress());
    }
    stop() {
        this.server.closeAllConnections();
        this.server.close();
        this.leases.forEach(({ timer }) => clearTimeout(timer));
    }
    /** A write of the operator or of a worker. */
    put(key, value) {
        this.apply([{ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 }]);
    }
    remove(key) {
        this.apply([{ key }]);
    }
    apply(changes) {
        this.revision += 1;
        for (const { key, value, lease = 0 } of changes) {
            if (value === undefined) {
                if (this.items.delete(key)) {
                    this.events.push({ key, revision: this.revision, deleted: true });
                }
                continue;
            }
            const item = { key, value, revision: this.revision, createRev: this.items.get(key)?.createRev ?? this.revision, lease };
            this.items.set(key, item);
            this.events.push(item);
        }
        [...this.watches].forEach(check => check());
    }
    renew(id, ttlMs) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.set(id, { ttlMs, timer: setTimeout(() => this.endLease(id), ttlMs) });
    }
    endLease(id) {
        clearTimeout(this.leases.get(id)?.timer);
        this.leases.delete(id);
        const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => ({ key }));
        if (keys.length > 0) {
            this.apply(keys);
        }
    }
    async handle(request, response) {
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const body = JSON.parse(await readText(request) || "{}");
        await sleep(4);
        const reply = (status, value = {}) => response.writeHead(status, { "content-type": "application/json", "store-era": "1" }).end(JSON.stringify(value));
        const id = Number(/\d+$/.exec(pathname)?.[0] ?? 0);
        switch (`${request.method} ${pathname.replace(/\/\d+$/, "")}`) {
            case "GET /api/kv-key": {
                const item = this.items.get(searchParams.get("key"));
                return reply(item === undefined ? 404 : 200, { ...item, asOf: this.revision });
            }
            case "GET /api/kv-range": {
                const [prefix, after] = [searchParams.get("prefix") ?? "", searchParams.get("after") ?? ""];
                const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
                return reply(200, { items: found.slice(0, 50), hasMore: found.length > 50, asOf: this.revision });
            }
            case "GET /api/kv-watch":
                return this.watch(searchParams, response, reply);
            case "POST /api/kv-txn": {
                const { expectRev = [], puts = [], deletes = [] } = body;
                if (expectRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
                    return reply(412, { items: expectRev.map(({ key }) => this.items.get(key) ?? { key }) });
                }
                if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
                    return reply(404);
                }
                this.apply([...puts, ...deletes.map(key => ({ key }))]);
                return reply(200, { revision: this.revision });
            }
            case "POST /api/kv-lease":
                this.revision += 1;
                this.renew(this.revision, body.ttlMs);
                return reply(200, { lease: this.revision, ttlMs: body.ttlMs });
            case "POST /api/kv-keep":
                if (!this.leases.has(id)) {
                    return reply(404);
                }
                this.renew(id, this.leases.get(id).ttlMs);
                return reply(200, { ttlMs: this.leases.get(id).ttlMs });
            case "DELETE /api/kv-lease-end":
                this.endLease(id);
                return reply(200);
            default:
                return reply(404);
        }
    }
    watch(searchParams, response, reply) {
        const [prefix, after, waitMs] = [searchParams.get("prefix") ?? "", Number(searchParams.get("after")), Number(searchParams.get("waitMs"))];
        const finish = () => {
            clearTimeout(timer);
            this.watches.delete(check);
            reply(200, { events: this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix)), asOf: this.revision });
        };
        const check = () => this.events.some(({ key, revision }) => revision > after && key.startsWith(prefix)) ? finish() : undefined;
        const timer = setTimeout(finish, Math.min(30_000, waitMs));
        this.watches.add(check);
        response.once("close", () => {
            clearTimeout(timer);
            this.watches.delete(check);
        });
        check();
    }
}

/** Forwards connections. `forget` makes all that are open go silent for good, without a reset; new ones work. */
export class ForgetfulProxy {
    pairs = new Set();

    async start(target) {
        const [host, port] = target.split(":");
        this.server = net.createServer(client => {
            const upstream = net.connect(Number(port), host);
            const pair = { client, upstream, isForgotten: false };
            this.pairs.add(pair);
            const pass = (from, to) => {
                from.on("data", data => pair.isForgotten ? undefined : to.write(data));
                from.on("end", () => pair.isForgotten ? undefined : to.end());
                from.on("error", () => {});
                from.on("close", () => {
                    if (!pair.isForgotten) {
                        to.destroy();
                    }
                });
            };
            pass(client, upstream);
            pass(upstream, client);
        });
        this.address = await listen(this.server, createLoopbackAddress());
    }
    forget() {
        const open = [...this.pairs].filter(({ client, isForgotten }) => !isForgotten && !client.destroyed);
        open.forEach(pair => pair.isForgotten = true);
        return open.length;
    }
    /** Resets all open connections on both sides. Returns their number. */
    reset() {
        const open = [...this.pairs].filter(({ client }) => !client.destroyed);
        open.forEach(({ client, upstream }) => {
            client.resetAndDestroy();
            upstream.resetAndDestroy();
        });
        this.pairs.clear();
        return open.length;
    }
    stop() {
        this.pairs.forEach(({ client, upstream }) => {
            client.destroy();
            upstream.destroy();
        });
        this.server.close();
    }
}

/** A sound worker. `runs` lists the requests that it began to work on. */
export class Worker {
    runs = [];
    state = "ready";
    busy = 0;
    seq = 0;

    constructor(store, id, options = {}) {
        this.store = store;
        this.id = id;
        this.options = { service: "desk", slots: 3, workMs: 60, failureDomain: "concepcion", ...options };
        this.born = Date.now();
    }
    async start() {
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
        this.address = await listen(this.server, createLoopbackAddress());
    }
    /**
     * Writes the entry; returns when the store has acknowledged it, in milliseconds of `now`. The later beats, in which only
     * `seq` changes, are left out: "The entry changes when more than `seq` changes" (PROTOCOL.md).
     */
    register(state = this.state) {
        const { service, failureDomain, slots } = this.options;
        this.state = state;
        this.seq += 1;
        this.store.put(`servers/${this.id}`, { service, address: this.address, failureDomain, version: "v1", slots, state, coldLeftMs: 0, seq: this.seq, born: this.born });
        return now();
    }
    /** Leaves without having reported `draining`: its entry is removed, and it goes on serving. Returns when the store has acknowledged that. */
    leave() {
        this.store.remove(`servers/${this.id}`);
        return now();
    }
    async handle(request, response) {
        const headers = { "request-id": request.headers["request-id"] ?? "", ...(this.state === "draining" ? { connection: "close" } : {}) };
        if (request.url === "/health") {
            response.writeHead(this.state === "ready" ? 200 : 503, { "instance-id": this.id }).end();
            return;
        }
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            request.resume();
            response.writeHead(421, { ...headers, "instance-id": this.id }).end();
            return;
        }
        const arrivedAt = now();
        const body = await readText(request).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        if (this.busy >= this.options.slots * 5) {
            response.writeHead(503, { ...headers, "not-executed": "1" }).end();
            return;
        }
        this.busy += 1;
        this.runs.push({ requestId: headers["request-id"], path: request.url, arrivedAt, state: this.state });
        await sleep(this.options.workMs);
        this.busy -= 1;
        const text = `done ${headers["request-id"]} by ${this.id}`;
        response.writeHead(200, { ...headers, "response-seal": `seal-${this.id}`, "content-length": Buffer.byteLength(text) }).end(text);
    }
    stop() {
        this.server.closeAllConnections();
        this.server.close();
    }
}

export const host = "ficu95.example";

/** The operator's configuration. */
export function createConfiguration(version, routes, services = ["desk", "vault"], extra = {}) {
    return {
        version,
        routes: routes.map(route => ({ host, timeoutMs: 2_500, targetLatencyMs: 800, priority: 1, maximumAttempts: 2, ...route })),
        services: services.map(name => ({ name, healthPath: "/health", connections: 330, protocol: "h1", tls: false })),
        limits: { maxHeaderBytes: 16_384, bodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        ...extra,
    };
}

/** Fills deploy/settings.template as the platform does. */
function fillTemplate(fields) {
    const template = fs.readFileSync(path.join(root, "deploy/settings.template"), "utf8");
    return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, name) => {
        const value = name.split(".").reduce((table, key) => table?.[key], fields);
        return Array.isArray(value) ? value.join(",") : String(value ?? "");
    });
}

/** Machines of the system, each with one process of the deploy file's role. */
export class Fleet {
    instances = [];

    /**
     * @param storeAddress The store's address, or a function that returns it for the machine with an index.
     * @param limits Limits of a machine that differ from the defaults.
     */
    constructor(storeAddress, record, limits = {}) {
        this.limits = { memoryMb: 714, cpuShare: 0.648, cpuCores: 2, linkMbps: 2400, ...limits };
        this.getStoreAddress = typeof storeAddress === "function" ? storeAddress : () => storeAddress;
        this.record = record;
        this.directory = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    }
    /** Starts `count` machines at the same time. */
    async start(count, zones = ["concepcion", "talcahuano", "chillan"]) {
        for (let index = 0; index < count; index += 1) {
            const ip = createLoopbackAddress();
            const [front, ready, control, directory] = await Promise.all([0, 1, 2, 3].map(() => findFreePort(ip)));
            this.instances.push({ name: `front-${zones[index % zones.length]}-${index + 1}`, zone: zones[index % zones.length], ip, listenAddrs: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}`, directory: `${ip}:${directory}` } });
        }
        this.instances.forEach(instance => this.launch(instance));
        await Promise.all(this.instances.map(instance => this.waitUntilReady(instance)));
    }
    launch(instance) {
        const settingsFile = path.join(this.directory, `${instance.name}.conf`);
        fs.writeFileSync(settingsFile, fillTemplate({
            nodeName: instance.name,
            failureDomain: instance.zone,
            ip: instance.ip,
            listenAddrs: instance.listenAddrs,
            seedNodes: this.instances.slice(0, 3).map(({ listenAddrs }) => listenAddrs.control),
            platform: { address: this.getStoreAddress(this.instances.indexOf(instance)) },
            bounds: { graceS: 6, retryRatio: 0.2, retryWindowS: 10, retrySlack: 56 },
            limits: this.limits,
        }));
        const [command, ...args] = /^run = "(.*)"$/m.exec(fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
        instance.process = childProcess.spawn(command, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, AGATEBEND_CONFIG: settingsFile }, stdio: ["ignore", "pipe", "pipe"] });
        const { process: started } = instance;
        // Whatever ends the script also ends its processes.
        process.once("exit", () => started.kill("SIGKILL"));
        instance.log = "";
        instance.process.stdout.on("data", data => instance.log += data);
        instance.process.stderr.on("data", data => instance.log += data);
        instance.exited = new Promise(resolve => instance.process.once("exit", (code, signal) => {
            this.record.write(`${instance.name} ended with ${signal ?? code}`);
            resolve();
        }));
    }
    async waitUntilReady(instance) {
        const until = now() + 20_000;
        while (now() < until) {
            const response = await send({ address: instance.listenAddrs.ready, path: "/readyz", deadlineMs: 1_000 });
            if (response.status === 200) {
                return;
            }
            await sleep(50);
        }
        throw new Error(`${instance.name} isn't ready: ${instance.log}`);
    }
    async stop() {
        this.instances.forEach(instance => instance.process.exitCode === null ? instance.process.kill("SIGKILL") : undefined);
        await Promise.all(this.instances.map(instance => instance.exited));
        fs.rmSync(this.directory, { recursive: true, force: true });
    }
}

let requestCount = 0;

/** Sends one client attempt on a new connection. Never throws: `status` is 0 without an answer. */
export function send({ address, method = "GET", path: requestPath, body, headers = {}, deadlineMs = 5_000, agent = false, record }) {
    const [hostname, port] = address.split(":");
    const requestId = `q${(requestCount += 1).toString(16).padStart(15, "0")}`;
    const sentAt = now();
    return new Promise(resolve => {
        const finish = result => {
            clearTimeout(timer);
            const answer = { requestId, sentAt, answeredAt: now(), ...result };
            record?.write(`${requestId} ${method} ${requestPath} to ${address} sent at ${sentAt.toFixed(0)}: ${answer.status} ${answer.text?.slice(0, 120).trim() ?? answer.error}`);
            resolve(answer);
        };
        const request = http.request({ host: hostname, port, method, path: requestPath, agent, headers: { host, "request-id": requestId, "deadline-ms": deadlineMs, ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }), ...headers } }, response => {
            readText(response).then(text => finish({ status: response.statusCode, headers: response.headers, text, isComplete: response.complete }), error => finish({ status: 0, error: String(error) }));
        });
        request.on("error", error => finish({ status: 0, error: String(error) }));
        const timer = setTimeout(() => request.destroy(new Error("the deadline passed")), deadlineMs);
        request.end(body);
    });
}

/** Ends the script: 10 if the rule was broken, which run.sh turns into 1, 0 if it held, and anything else if the case could not run. */
export async function runCase(directory, run) {
    const record = new Record(directory);
    const limit = setTimeout(() => {
        record.write("the case took too long");
        process.exit(2);
    }, 110_000);
    for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
        process.once(signal, () => process.exit(2));
    }
    const cleanups = [];
    let status = 2;
    try {
        const failures = await run({ record, addCleanup: cleanup => cleanups.unshift(cleanup) });
        failures.forEach(failure => {
            record.write(`BROKEN: ${failure}`);
            process.stdout.write(`${failure}\n`);
        });
        status = failures.length > 0 ? 10 : 0;
        process.stdout.write(status === 10 ? `the rule was broken ${failures.length} times\n` : "the rule held\n");
    }
    catch (thrown) {
        record.write(`the case could not run: ${thrown?.stack}`);
        process.stderr.write(`the case could not run: ${thrown?.stack}\n`);
    }
    for (const cleanup of cleanups) {
        await cleanup();
    }
    clearTimeout(limit);
    await record.close();
    process.exit(status);
}
