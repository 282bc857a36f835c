/** Starts the program with the platform's adapters against stand-ins for the platform's store and workers. */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as ports from "./ports.js";
import * as processes from "./processes.js";
import * as standIns from "./standIns.js";

const program = process.env.TEST_PLATFORM_PROGRAM ?? "dist/agatebend-platform.cjs";
/** The command that starts Node.js, such as `taskset -c 6,7 node`. */
const [nodeCommand = process.execPath, ...nodeCommandArguments] = process.env.TEST_PLATFORM_NODE?.split(" ") ?? [];
/** The host name that the routes of the test configuration match. */
export const host = "shop.example";

/** A route in the platform's configuration format. */
export interface TestRoute {
    readonly name: string;
    readonly prefix: string;
    readonly kind: "safe" | "unsafe" | "download" | "upload";
    readonly service?: string;
    readonly split?: readonly { readonly service: string; readonly weight: number; }[];
    readonly timeoutMs?: number;
    readonly maximumAttempts?: number;
    readonly priority?: number;
    readonly public?: boolean;
}

/** A workspace in the platform's configuration format. */
export interface TestWorkspace {
    readonly name: string;
    readonly keys: readonly string[];
    readonly priority?: number;
}

/** Creates a configuration in the format that the platform's store holds. */
export function createPlatformConfiguration(version: number, routes: readonly TestRoute[], workspaces: readonly TestWorkspace[] = []): object {
    return {
        version,
        routes: routes.map(route => ({ host, timeoutMs: 4_000, targetLatencyMs: 800, priority: 1, maximumAttempts: 2, ...route })),
        services: ["desk", "vault"].map(name => ({ name, healthPath: "/health", connections: 330, protocol: "h1", tls: false })),
        ...(workspaces.length === 0 ? {} : { workspaces }),
        limits: { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    };
}

/** Routes for lookups, orders and downloads, used by most tests. */
export const defaultRoutes: readonly TestRoute[] = [
    { name: "look", prefix: "/look/", kind: "safe", service: "desk" },
    { name: "order", prefix: "/order/", kind: "unsafe", service: "desk" },
    { name: "file", prefix: "/file/", kind: "download", service: "vault" },
];

/** An instance on the platform. Its process can be restarted at the same addresses. */
export class PlatformInstance {
    process: processes.TestProcess;
    /** Output lines of the processes before the last restart. */
    readonly previousLines: string[] = [];

    constructor(
        readonly id: string,
        readonly addresses: { readonly caller: string; readonly entries: string; readonly ready: string; readonly peer: string; readonly operator: string; readonly settingsFile: string; },
        private readonly nodeArguments: readonly string[] = [],
    ) {
        this.process = this.createProcess();
    }

    /** Starts a new process after the previous one has ended. */
    restart(): void {
        this.previousLines.push(...this.process.stdoutLines);
        this.process = this.createProcess();
    }

    private createProcess(): processes.TestProcess {
        return new processes.TestProcess(nodeCommand, [...nodeCommandArguments, ...this.nodeArguments, program, "serve"], { AGATEBEND_CONFIG: this.addresses.settingsFile });
    }

    /** Sends a request to the callers' port, with a random request identifier by default. */
    send(requestPath: string, options: processes.SendRequestOptions & { readonly requestId?: string; readonly deadlineMs?: number; } = {}): Promise<processes.HttpResponse> {
        const { requestId = `r-${Math.random().toString(36).slice(2)}`, deadlineMs = 4_000, ...sendOptions } = options;
        return processes.sendRequest(`http://${this.addresses.caller}${requestPath}`, { ...sendOptions, headers: { host, "request-id": requestId, "deadline-ms": deadlineMs, ...sendOptions.headers } });
    }

    /** Returns the log lines of an event. */
    listLogs(event: string): readonly processes.LogLine[] {
        return this.process.listLogs(event);
    }
}

/** Stand-ins for the platform's store and workers, and the instances started against them. */
export class TestPlatform {
    private readonly instances: PlatformInstance[] = [];
    private startedCount = 0;

    constructor(readonly store: standIns.StandIn, readonly workers: readonly standIns.StandIn[]) {}

    /** Writes a worker's entry to the upstream directory in the store. */
    async registerWorker(index: number, overrides: object = {}): Promise<void> {
        const entry = { service: "desk", address: this.workers[index]!.getAddress(), failureDomain: "north", version: "v1", slots: 3, state: "ready", coldLeftMs: 0, seq: 1, ...overrides };
        await this.store.setBehaviour({ put: { [`servers/w${index}`]: entry } });
    }

    /**
     * Starts an instance. It finds the instances started before it through the store.
     * @param failureDomain - Its failure domain.
     * @param flags - Settings that replace the test defaults.
     * @param nodeArguments - Arguments of Node.js itself.
     */
    async startInstance(failureDomain = "north", flags: Readonly<Record<string, string | number>> = {}, nodeArguments: readonly string[] = []): Promise<PlatformInstance> {
        const id = `front-${this.startedCount}`;
        this.startedCount += 1;
        const [caller, entries, ready, peer, operator] = await Promise.all(Array.from({ length: 5 }, async () => `127.0.0.1:${await ports.findFreePort()}`)) as [string, string, string, string, string];
        const settingsFile = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "agatebend-")), "node.conf");
        const values: Record<string, string | number> = {
            "instance-id": id,
            "failure-domain": failureDomain,
            "caller-listen": caller,
            "entries-listen": entries,
            "ready-listen": ready,
            "peer-listen": peer,
            "operator-listen": operator,
            store: `kv://${this.store.getAddress()}`,
            "configuration-key": "op/config",
            "upstream-directory": "servers/",
            "store-timeout-ms": 500,
            "store-calls-per-second": 100,
            detection: "fresh",
            "slot-sharing": "random",
            "gossip-interval-ms": 1_000,
            "maximum-peer-links": 20,
            "suspect-after-ms": 4_500,
            "entries-ttl-ms": 200,
            "entries-grace-ms": 400,
            "drain-timeout-ms": 3_000,
            "member-lease-s": 600,
            "retry-slack": 300,
            ...flags,
        };
        fs.writeFileSync(settingsFile, Object.entries(values).map(([flag, value]) => `${flag}=${value}\n`).join(""));
        const instance = new PlatformInstance(id, { caller, entries, ready, peer: String(values["peer-listen"]), operator, settingsFile }, nodeArguments);
        this.instances.push(instance);
        await processes.waitFor(`instance ${id} starts: ${instance.process.stderrChunks.join("")}`, () => instance.process.exitCode !== undefined || instance.listLogs("instance-started").length > 0);
        return instance;
    }

    /** Ends all processes of the test. */
    async stop(): Promise<void> {
        await Promise.all([...this.instances.map(instance => instance.process), this.store.process, ...this.workers.slice(0, 1).map(worker => worker.process)].map(testProcess => testProcess.stop()));
    }
}

/** Starts a store that holds a configuration, and registers workers of the service `desk`. */
export async function startPlatform(workers: number, routes: readonly TestRoute[] = defaultRoutes): Promise<TestPlatform> {
    const [store, workerStandIns] = await Promise.all([standIns.startKvStore(), standIns.startWorkers(workers)]);
    const testPlatform = new TestPlatform(store, workerStandIns);
    await store.setBehaviour({ put: { "op/config": createPlatformConfiguration(7, routes) } });
    for (let index = 0; index < workers; index += 1) {
        await testPlatform.registerWorker(index);
    }
    return testPlatform;
}

/** Waits until an instance is ready and has discovered workers. */
export async function waitUntilReady(instance: PlatformInstance): Promise<void> {
    await processes.waitFor(`${instance.id} is ready`, async () => (await processes.sendRequest(`http://${instance.addresses.ready}/readyz`)).status === 200 && instance.listLogs("upstream-found").length > 0);
}
