/** Starts instances as processes and talks to their ports. */

import * as processes from "./processes.js";

/** The program under test; another build of it may be named to see a test fail without a mechanism. */
const program = process.env.TEST_PROGRAM ?? "dist/agatebend.cjs";

/** Options of an instance. */
export interface StartInstanceOptions {
    readonly id: string;
    readonly failureDomain: string;
    readonly storeUrl: string;
    readonly seeds: readonly string[];
    /** Further flags, without the dashes. */
    readonly flags?: Readonly<Record<string, string | number>>;
    /** Leaves out the wait until the ports are open. */
    readonly skipReadyWait?: boolean;
}

/** The ports of an instance. */
interface InstancePorts {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}

/** A running instance. */
export class Instance {
    ports: InstancePorts = { caller: "", operator: "", peer: "" };

    constructor(readonly id: string, readonly failureDomain: string, readonly process: processes.TestProcess) {}

    /** Sends a caller's request. */
    send(path: string, options: processes.SendRequestOptions = {}): Promise<processes.HttpResponse> {
        return processes.sendRequest(`http://${this.ports.caller}${path}`, options);
    }

    /** Calls the operators' RPC with JSON. */
    async sendOperatorCall(method: string, body: object): Promise<{ readonly status: number; readonly json: Record<string, unknown>; }> {
        const answer = await processes.sendRequest(`http://${this.ports.operator}/agatebend.v1.OperatorService/${method}`, { method: "POST", headers: { "content-type": "application/json" }, body: JSON.stringify(body) });
        return { status: answer.status, json: JSON.parse(answer.body.toString()) as Record<string, unknown> };
    }

    /** Reads the dump. */
    async getDump<T = Record<string, never>>(): Promise<T> {
        const answer = await processes.sendRequest(`http://${this.ports.operator}/dump`);
        return JSON.parse(answer.body.toString()) as T;
    }

    /** Returns the configuration version in force. */
    async getConfigurationVersion(): Promise<number> {
        const dump = await this.getDump<{ readonly configuration: { readonly version: number; }; }>();
        return dump.configuration.version;
    }

    /** Asks for addresses and an order key prefix. */
    async getEntries(query = ""): Promise<{ readonly entries: readonly { readonly address: string; readonly instanceId: string; }[]; readonly orderKeyPrefix?: string; readonly keepForMs: number; }> {
        const answer = await this.send(`/v1/entries${query}`);
        return JSON.parse(answer.body.toString()) as never;
    }

    /** Returns the log lines of an event. */
    listLogs(event: string): readonly processes.LogLine[] {
        return this.process.listLogs(event);
    }
}

/** Starts an instance on free ports. */
export async function startInstance(options: StartInstanceOptions): Promise<Instance> {
    const flags: Record<string, string | number> = {
        "instance-id": options.id,
        "failure-domain": options.failureDomain,
        "caller-listen": "127.0.0.1:0",
        "peer-listen": "127.0.0.1:0",
        "operator-listen": "127.0.0.1:0",
        "entries-ttl-ms": 500,
        store: options.storeUrl,
        ...(options.seeds.length === 0 ? {} : { seeds: options.seeds.join(",") }),
        ...options.flags,
    };
    const words = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
    const started = new Instance(options.id, options.failureDomain, new processes.TestProcess(process.execPath, [program, "serve", ...words]));
    if (options.skipReadyWait === true) {
        return started;
    }
    const [operators] = await processes.waitFor(`instance ${options.id} starts: ${started.process.stderrChunks.join("")}`, () => {
        const logs = started.listLogs("operators-port-open");
        return started.process.exitCode !== undefined || logs.length > 0 ? logs : undefined;
    });
    if (operators === undefined) {
        throw new Error(`instance ${options.id} ended: ${started.process.stderrChunks.join("")}`);
    }
    const operator = String(operators.context.address);
    started.ports = { caller: String(started.listLogs("callers-port-open")[0]!.context.address), operator, peer: "" };
    const dump = await started.getDump<{ readonly peers: { readonly members: readonly { readonly peerAddress: string; }[]; }; }>();
    started.ports = { ...started.ports, peer: dump.peers.members[0]!.peerAddress };
    return started;
}

/** Starts instances that know each other, and waits until each hears all. */
export async function startFleet(domains: readonly string[], storeUrl: string, flags: Readonly<Record<string, string | number>> = {}): Promise<readonly Instance[]> {
    const [firstDomain, ...others] = domains;
    const first = await startInstance({ id: "i1", failureDomain: firstDomain!, storeUrl, seeds: [], flags });
    const rest = await Promise.all(others.map((failureDomain, index) => startInstance({ id: `i${index + 2}`, failureDomain, storeUrl, seeds: [first.ports.peer], flags })));
    const all = [first, ...rest];
    await processes.waitFor("all instances hear each other", async () => {
        const statuses = await Promise.all(all.map(instance => instance.sendOperatorCall("Status", {})));
        return statuses.every(({ json }) => (json.instances as readonly { state: string; }[]).filter(member => member.state === "running").length === all.length);
    });
    return all;
}

/** Applies a configuration at an instance and waits until it is in force everywhere. */
export async function applyConfiguration(instance: Instance, document: object): Promise<number> {
    const { status, json } = await instance.sendOperatorCall("Apply", { configurationJson: JSON.stringify(document), waitMs: 10_000 });
    if (status !== 200 || json.instancesKnown !== json.instancesInForce) {
        throw new Error(`apply: ${status} ${JSON.stringify(json)}`);
    }
    return Number(json.version);
}
