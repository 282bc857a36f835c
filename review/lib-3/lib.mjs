// Stand-ins for a small deployment on loopback addresses: the platform's store, workers, a proxy for connections, clients, and
// the platform that starts the project's program with the command and the settings template of the deploy file. Only Node.js
// itself is needed.
import { spawn } from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

export const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
export const hasTrouble = process.env.TROUBLE !== "0";
export const sleep = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));
/** Milliseconds since the start of this process, on the steady clock. */
export const now = () => performance.now();

/** The case could not run. */
export class CannotRun extends Error {}

/** Waits until a check returns something. */
export async function waitFor(description, check, limitMs = 20_000) {
    const until = now() + limitMs;
    while (now() < until) {
        const result = await check();
        if (result) {
            return result;
        }
        await sleep(20);
    }
    throw new CannotRun(`not within ${limitMs} ms: ${description}`);
}

const cleanups = [];

/** Runs a case: writes record.txt in its folder, ends everything that it started, and exits with 0, 1 or 2. */
export async function runCase(folder, run) {
    const recordFile = fs.createWriteStream(path.join(folder, "record.txt"));
    const record = text => recordFile.write(`${(now() / 1000).toFixed(3).padStart(8)} ${text}\n`);
    record(`${hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)"}, Node.js ${process.version}`);
    let status = 2;
    const limit = setTimeout(() => {
        record("the time limit of 115 s was reached");
        finish(2);
    }, 115_000);
    const finish = async code => {
        clearTimeout(limit);
        for (const cleanup of cleanups.reverse()) {
            await cleanup();
        }
        await new Promise(resolve => recordFile.end(resolve));
        process.exit(code);
    };
    for (const signal of ["SIGTERM", "SIGINT"]) {
        process.on(signal, () => void finish(2));
    }
    // A fault of a stand-in is no broken rule.
    process.on("uncaughtException", error => {
        record(`a fault of this test: ${error.stack}`);
        process.stderr.write(`${error.stack}\n`);
        void finish(2);
    });
    try {
        const broken = await run(record);
        record(broken ? `RULE BROKEN: ${broken}` : "the rule held");
        process.stdout.write(broken ? `rule broken: ${broken}\n` : "the rule held\n");
        status = broken ? 1 : 0;
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
        process.stderr.write(`the case could not run: ${error.stack}\n`);
    }
    await finish(status);
}

function listen(server, host = "127.0.0.1", port = 0) {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve(server.address().port));
    });
}

function readBody(request) {
    return new Promise(resolve => {
        let text = "";
        request.on("data", chunk => text += chunk);
        request.on("end", () => resolve(text));
    });
}

/** The platform's metadata store, as PROTOCOL.md has it. */
export class Store {
    items = new Map();
    events = [];
    revision = 100;
    leases = new Map();
    nextLease = 7;
    waiting = new Set();

    async start() {
        this.server = http.createServer((request, response) => void this.answer(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.port = await listen(this.server);
        cleanups.push(() => this.server.closeAllConnections());
        return this;
    }

    get address() {
        return `127.0.0.1:${this.port}`;
    }

    /** Writes values of the operator or of workers; undefined removes a key. Returns when the store has acknowledged it. */
    write(changes) {
        this.apply(Object.entries(changes).filter(([, value]) => value !== undefined).map(([key, value]) => ({ key, value: Buffer.from(JSON.stringify(value)).toString("base64"), lease: 0 })), Object.entries(changes).filter(([, value]) => value === undefined).map(([key]) => key));
        return now();
    }

    apply(puts, deletes) {
        this.revision += 1;
        for (const { key, value, lease = 0 } of puts) {
            const item = { key, value, revision: this.revision, createRev: this.items.get(key)?.createRev ?? this.revision, lease };
            this.items.set(key, item);
            this.events.push(item);
        }
        for (const key of deletes) {
            if (this.items.delete(key)) {
                this.events.push({ key, revision: this.revision, deleted: true });
            }
        }
        this.waiting.forEach(check => check());
    }

    async answer(request, response) {
        const url = new URL(request.url, "http://store");
        const query = name => url.searchParams.get(name) ?? "";
        const reply = (status, body) => {
            const text = JSON.stringify(body);
            response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
            response.end(text);
        };
        const body = await readBody(request);
        await sleep(4);
        if (url.pathname === "/api/kv-key") {
            const item = this.items.get(query("key"));
            return item === undefined ? reply(404, {}) : reply(200, { ...item, asOf: this.revision });
        }
        if (url.pathname === "/api/kv-range") {
            const keys = [...this.items.keys()].filter(key => key.startsWith(query("prefix")) && key > query("after")).sort();
            return reply(200, { items: keys.slice(0, 500).map(key => this.items.get(key)), hasMore: keys.length > 500, asOf: this.revision });
        }
        if (url.pathname === "/api/kv-watch") {
            const list = () => this.events.filter(event => event.key.startsWith(query("prefix")) && event.revision > Number(query("after")));
            const check = () => {
                if (list().length > 0) {
                    end();
                }
            };
            const end = () => {
                clearTimeout(timer);
                this.waiting.delete(check);
                reply(200, { events: list(), asOf: this.revision });
            };
            const timer = setTimeout(end, Math.min(30_000, Number(query("waitMs"))));
            response.once("close", () => {
                clearTimeout(timer);
                this.waiting.delete(check);
            });
            this.waiting.add(check);
            return check();
        }
        if (url.pathname === "/api/kv-txn") {
            const { expectRev = [], puts = [], deletes = [] } = JSON.parse(body);
            if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
                return reply(404, {});
            }
            if (expectRev.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)) {
                return reply(412, { items: expectRev.flatMap(({ key }) => this.items.get(key) ?? []) });
            }
            this.apply(puts, deletes);
            return reply(200, { revision: this.revision });
        }
        if (url.pathname === "/api/kv-lease") {
            const { ttlMs } = JSON.parse(body);
            this.nextLease += 1;
            this.leases.set(this.nextLease, ttlMs);
            return reply(200, { lease: this.nextLease, ttlMs });
        }
        const lease = Number(url.pathname.split("/").at(-1));
        if (!this.leases.has(lease)) {
            return reply(404, {});
        }
        if (url.pathname.startsWith("/api/kv-lease-end/")) {
            this.leases.delete(lease);
            this.apply([], [...this.items.values()].filter(item => item.lease === lease).map(({ key }) => key));
        }
        return reply(200, {});
    }
}

/** Forwards connections to an address. */
export class Proxy {
    pairs = new Set();

    constructor(target, host = "127.0.0.1") {
        this.target = target;
        this.host = host;
    }

    async start(port = 0) {
        const [host, targetPort] = this.target.split(":");
        this.server = net.createServer({ allowHalfOpen: false }, client => {
            const server = net.connect({ host, port: Number(targetPort) });
            const pair = { client, server, isSilent: false };
            this.pairs.add(pair);
            for (const [from, to] of [[client, server], [server, client]]) {
                from.setNoDelay(true);
                from.on("data", chunk => pair.isSilent ? undefined : to.write(chunk));
                from.on("error", () => {});
                // Of a silent connection neither end hears anything, not even that the other has closed it.
                from.on("close", () => pair.isSilent ? undefined : to.destroy());
            }
        });
        this.port = await listen(this.server, this.host, port);
        cleanups.push(() => this.pairs.forEach(({ client, server }) => [client, server].forEach(socket => socket.destroy())));
        return this;
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    /** Lets the connections that are open now go silent for good; new ones work. Returns their number. */
    silence() {
        const open = [...this.pairs].filter(({ client, isSilent }) => !client.destroyed && !isSilent);
        open.forEach(pair => pair.isSilent = true);
        return open.length;
    }
}

/** Fills in the settings template as DEPLOY.md has it, as far as the template of this project uses it. */
function renderTemplate(text, fields) {
    return text.replaceAll(/\{\{([\w.]+)\}\}/g, (_, name) => {
        const value = name.split(".").reduce((table, key) => table?.[key], fields);
        return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });
}

const deployFile = () => fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8");

/** A machine with one process of the project's program. */
export class Machine {
    output = "";
    ends = [];

    constructor(record, index, options) {
        Object.assign(this, { record, index, options });
        this.name = `front-a-${index + 1}`;
        this.ip = options.ips[index];
        this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
        cleanups.push(() => fs.rmSync(this.folder, { recursive: true, force: true }));
        const ports = { front: 8144, ready: 8140, control: 8146, directory: 8143 };
        this.addresses = Object.fromEntries(Object.entries(ports).map(([role, port]) => [role, `${this.ip}:${port}`]));
        const fields = {
            nodeName: this.name,
            ip: this.ip,
            failureDomain: options.zones?.[index] ?? "a",
            listenAddrs: this.addresses,
            seedNodes: options.ips.slice(0, 3).map(ip => `${ip}:${options.seedPort ?? 8146}`),
            platform: { address: options.storeAddresses[index] },
            bounds: { graceS: 6, retryRatio: 0.2, retryWindowS: 10, retrySlack: 56, ...options.bounds },
            limits: { memoryMb: 714, cpuShare: 0.648, cpuCores: 2, linkMbps: 2_400, ...options.limits },
        };
        this.settingsFile = path.join(this.folder, "node.conf");
        fs.writeFileSync(this.settingsFile, renderTemplate(fs.readFileSync(path.join(root, /^template = "(.*)"$/m.exec(deployFile())[1]), "utf8"), fields) + (options.extra?.[index] ?? ""));
    }

    start() {
        const [command, ...words] = /^run = "(.*)"$/m.exec(deployFile())[1].split(" ");
        const child = spawn(command, words, { cwd: root, stdio: ["ignore", "pipe", "pipe"], env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? "C.UTF-8", AGATEBEND_CONFIG: this.settingsFile } });
        this.child = child;
        this.startedAt = now();
        this.output = "";
        child.stdout.on("data", chunk => this.output += chunk);
        child.stderr.on("data", chunk => this.output += chunk);
        child.on("exit", (code, signal) => {
            this.ends.push({ at: now(), code, signal });
            this.record(`${this.name} ended (${signal ?? code})`);
        });
        this.record(`${this.name} (${this.ip}) started as process ${child.pid}: ${[command, ...words].join(" ")}`);
        cleanups.push(async () => {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
                await new Promise(resolve => child.once("exit", resolve));
            }
        });
        return this;
    }

    async isReady() {
        return (await send({ address: this.addresses.ready, path: "/readyz", limitMs: 1_000 })).status === 200;
    }
}

/** Loopback addresses, one for each machine, that nothing listens on. */
export function createIps(count) {
    const second = 64 + process.pid % 150;
    const third = 1 + Math.floor(Math.random() * 250);
    return Array.from({ length: count }, (_, index) => `127.${second}.${third}.${index + 11}`);
}

/** Sends a request on a new connection, or through an agent, and returns what came back. */
export function send({ address, method = "GET", path: requestPath, headers = {}, body, agent = false, limitMs = 30_000 }) {
    const [host, port] = address.split(":");
    const sentAt = now();
    return new Promise(resolve => {
        const finish = result => resolve({ sentAt, endedAt: now(), ...result });
        const request = http.request({ host, port, method, path: requestPath, headers, agent }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            const end = () => finish({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isComplete: response.complete });
            response.on("end", end);
            response.on("error", end);
        });
        request.setTimeout(limitMs, () => request.destroy(new Error("no answer in time")));
        request.on("error", error => finish({ status: 0, error: error.message }));
        request.end(body);
    });
}

/** A worker: serves its slots, queues some more, checks the expected instance, echoes the request's id, and seals its answers. */
export class Worker {
    busy = 0;
    queue = [];
    arrivals = [];
    isLeaving = false;

    constructor(record, { id, service, slots = 3, workMs = 100, host = "127.0.0.1", zone = "a", bodyBytes = 200 }) {
        Object.assign(this, { record, id, service, slots, workMs, host, zone, bodyBytes });
    }

    async start() {
        this.server = http.createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 10_000;
        this.port = await listen(this.server, this.host);
        this.born = Date.now();
        cleanups.push(() => this.server.closeAllConnections());
        return this;
    }

    get address() {
        return `${this.host}:${this.port}`;
    }

    /** The worker's entry in the directory. */
    createEntry(state = "ready", seq = 1) {
        return { service: this.service, address: this.address, failureDomain: this.zone, version: "v1", slots: this.slots, state, coldLeftMs: 0, seq, born: this.born };
    }

    async serve(request, response) {
        const requestId = request.headers["request-id"];
        const arrival = { requestId, at: now(), path: request.url, headers: request.headers, isRun: false };
        this.arrivals.push(arrival);
        response.setHeader("request-id", requestId ?? "");
        if (this.isLeaving) {
            response.setHeader("server-leaving", "1");
        }
        await readBody(request);
        if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
            arrival.outcome = "421";
            response.writeHead(421, { "not-executed": "1", "instance-id": this.id, "content-length": 0 }).end();
            return;
        }
        if (this.busy >= this.slots) {
            if (this.queue.length >= 12) {
                arrival.outcome = "503 not executed";
                response.writeHead(503, { "not-executed": "1", "content-length": 0 }).end();
                return;
            }
            await new Promise(resolve => this.queue.push(resolve));
        }
        this.busy += 1;
        arrival.isRun = true;
        this.record(`${this.id} (${this.service}) runs ${requestId}`);
        await this.work(request, response, arrival);
        this.busy -= 1;
        this.queue.shift()?.();
    }

    async work(_request, response, arrival) {
        await sleep(this.workMs);
        arrival.outcome = "200";
        response.writeHead(200, { "response-seal": `seal-${this.id}-${this.bodyBytes}`, "content-length": this.bodyBytes });
        response.end("x".repeat(this.bodyBytes));
    }
}

/** Creates a configuration of the operator. */
export function createConfiguration(version, { host, routes, services, limits = {} }) {
    return {
        version,
        routes: routes.map(route => ({ host, timeoutMs: 4_000, targetLatencyMs: 800, priority: 1, maximumAttempts: 2, ...route })),
        services: services.map(name => ({ name, healthPath: "/health", connections: 330 })),
        limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, ...limits },
    };
}
