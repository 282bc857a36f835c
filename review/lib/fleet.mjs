// Starts the project's program as the deploy file says, with a rendered settings file, as the platform does.
import child from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";

export const root = path.resolve(import.meta.dirname, "../..");
const bounds = { graceS: 6, retryRatio: 0.2, retryWindowS: 10, retrySlack: 56 };
export const host = "ficu95.example";

/** Finds free ports below the range from which the system takes the ports of outgoing connections, so that none takes one before its process listens. */
export async function findPorts(number) {
    const found = new Set();
    while (found.size < number) {
        const port = 10_000 + Math.floor(Math.random() * 20_000);
        const isFree = await new Promise(resolve => {
            const server = net.createServer().once("error", () => resolve(false)).listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            found.add(port);
        }
    }
    return [...found];
}

function render(template, values) {
    return template.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
        const value = name.split(".").reduce((table, key) => table?.[key], values);
        return value === undefined ? "" : Array.isArray(value) ? value.join(",") : String(value);
    });
}

/** A configuration as the operator writes it, with the names of deploy/wire.toml. */
export function createConfiguration(version, routes, services, limits = {}) {
    return {
        version,
        routes: routes.map(route => ({ host, timeoutMs: 4_000, targetLatencyMs: 800, priority: 1, maximumAttempts: 2, ...route })),
        services: services.map(name => ({ name, healthPath: "/health", connections: 330, protocol: "h1", tls: false })),
        limits: { maxHeaderBytes: 16_384, bodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000, ...limits },
    };
}

export class Instance {
    constructor(name, zone, values, directory) {
        Object.assign(this, { name, zone, values, directory, lines: [], exits: [] });
        this.front = values.listenAddrs.front;
        this.entries = values.listenAddrs.directory;
        this.ready = values.listenAddrs.ready;
        this.settingsFile = path.join(directory, `${name}.conf`);
    }

    start() {
        fs.writeFileSync(this.settingsFile, render(fs.readFileSync(path.join(root, "deploy/settings.template"), "utf8").replace("{{ip}}:9464", "{{operator}}"), this.values));
        const run = /^run = "(.*)"$/m.exec(fs.readFileSync(path.join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
        const { PATH, HOME, LANG } = process.env;
        this.process = child.spawn(run[0], run.slice(1), { cwd: root, env: { PATH, HOME, LANG, AGATEBEND_CONFIG: this.settingsFile }, stdio: ["ignore", "pipe", "pipe"] });
        const started = this.process;
        let rest = "";
        const read = data => {
            const parts = (rest + String(data)).split("\n");
            rest = parts.pop();
            this.lines.push(...parts);
        };
        started.stdout.on("data", read);
        started.stderr.on("data", read);
        started.once("exit", (code, signal) => this.exits.push({ code, signal }));
        return this;
    }

    isRunning() {
        return this.process.exitCode === null && this.process.signalCode === null;
    }

    async isReady() {
        try {
            const response = await fetch(`http://${this.ready}/readyz`, { signal: AbortSignal.timeout(500) });
            return response.status === 200;
        }
        catch {
            return false;
        }
    }

    /** Ends the process that this object started. */
    async end() {
        if (this.process !== undefined && this.isRunning()) {
            const exited = new Promise(resolve => this.process.once("exit", resolve));
            this.process.kill("SIGCONT");
            this.process.kill("SIGKILL");
            await exited;
        }
    }
}

/** Creates the instances of a small deployment: one machine in each zone. */
export async function createInstances(store, zones = ["north", "middle", "south"]) {
    const directory = fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-review-"));
    const ports = await findPorts(zones.length * 5);
    const address = index => `127.0.0.1:${ports[index]}`;
    const seedNodes = zones.map((_, index) => address(index * 5 + 3));
    const instances = zones.map((zone, index) => new Instance(`front-${zone}-${index}`, zone, {
        nodeName: `front-${zone}-${index}`,
        failureDomain: zone,
        listenAddrs: { front: address(index * 5), directory: address(index * 5 + 1), ready: address(index * 5 + 2), control: address(index * 5 + 3) },
        operator: address(index * 5 + 4),
        seedNodes,
        platform: { address: store.address },
        bounds,
    }, directory));
    instances.remove = () => fs.rmSync(directory, { recursive: true, force: true });
    return instances;
}

/** Waits until an instance is ready; the error says how its processes ended and what they wrote last. */
export async function waitUntilReady(instance) {
    try {
        await waitFor(`${instance.name} is ready`, () => instance.isReady());
    }
    catch (error) {
        throw new Error(`${error.message}; its exits: ${JSON.stringify(instance.exits)}; its last lines: ${instance.lines.slice(-3).join(" ")}`);
    }
}

export async function waitFor(what, check, limitMs = 15_000) {
    const until = performance.now() + limitMs;
    while (!await check()) {
        if (performance.now() > until) {
            throw new Error(`it took too long until ${what}`);
        }
        await sleep(50);
    }
}

export const sleep = delayMs => new Promise(resolve => setTimeout(resolve, delayMs));

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(directory, body) {
    const startedAt = performance.now();
    const lines = [];
    const record = text => {
        const line = `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`;
        lines.push(line);
    };
    const cleanups = [];
    const withTrouble = process.env.TROUBLE !== "0";
    let status = 2;
    const limit = setTimeout(() => {
        record("the case took longer than 110 s");
        void finish(2);
    }, 110_000);
    let isFinished = false;
    const finish = async code => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(limit);
        for (const cleanup of cleanups.reverse()) {
            try {
                await cleanup();
            }
            catch (error) {
                record(`while ending: ${error}`);
            }
        }
        record(`exit status ${code}`);
        fs.writeFileSync(path.join(directory, "record.txt"), `${lines.join("\n")}\n`);
        process.exit(code);
    };
    // An exception outside of the case's own promise says nothing about the rule.
    for (const event of ["uncaughtException", "unhandledRejection"]) {
        process.on(event, error => {
            record(`the case could not run: ${error?.stack ?? error}`);
            void finish(2);
        });
    }
    process.on("SIGTERM", () => void finish(2));
    process.on("SIGINT", () => void finish(2));
    try {
        if (!fs.existsSync(path.join(root, "target/agatebend.cjs"))) {
            throw new Error("target/ is missing: build the deploy file first");
        }
        const isBroken = await body({ record, withTrouble, cleanups });
        status = isBroken ? 1 : 0;
        const verdict = isBroken ? "the rule was BROKEN" : "the rule held";
        record(verdict);
        console.log(lines.slice(-12).join("\n"));
    }
    catch (error) {
        record(`the case could not run: ${error?.stack ?? error}`);
        console.log(lines.slice(-3).join("\n"));
    }
    await finish(status);
}
