/** Starts instances as processes and calls their ports. */

import * as processes from "./processes.js";

/** The program under test. TEST_PROGRAM may name a build without some mechanism, to verify that its test fails. */
const program = process.env.TEST_PROGRAM ?? "dist/agatebend.cjs";

/** Identity and settings of an instance to start. */
export interface StartInstanceOptions {
    readonly id: string;
    readonly failureDomain: string;
    readonly storeUrl: string;
    readonly seeds: readonly string[];
    /** Additional command-line flags, without the leading dashes. */
    readonly flags?: Readonly<Record<string, string | number>>;
    /** Returns before the ports are open; `ports` then stays empty. */
    readonly skipReadyWait?: boolean;
}

/** The addresses of an instance's ports, as HOST:PORT. */
interface InstancePorts {
    readonly caller: string;
    readonly operator: string;
    readonly peer: string;
}

/** An instance that runs as a process. */
export class Instance {
    ports: InstancePorts = { caller: "", operator: "", peer: "" };

    constructor(readonly id: string, readonly failureDomain: string, readonly process: processes.TestProcess) {}

    /** Sends a request to the callers' port. */
    send(path: string, options: processes.SendRequestOptions = {}): Promise<processes.HttpResponse> {
        return processes.sendRequest(`http://${this.ports.caller}${path}`, options);
    }

    /** Calls an RPC of the operators' port with JSON. */
    async sendOperatorCall(method: string, body: object): Promise<{ readonly status: number; readonly json: Record<string, unknown>; }> {
        const response = await processes.sendRequest(`http://${this.ports.operator}/agatebend.v1.OperatorService/${method}`, { method: "POST", headers: { "content-type": "application/json" }, body: JSON.stringify(body) });
        return { status: response.status, json: JSON.parse(response.body.toString()) as Record<string, unknown> };
    }

    /** Reads the instance's state from `/dump`. */
    async getDump<T = Record<string, never>>(): Promise<T> {
        const response = await processes.sendRequest(`http://${this.ports.operator}/dump`);
        return JSON.parse(response.body.toString()) as T;
    }

    /** Returns the version of the configuration in force. */
    async getConfigurationVersion(): Promise<number> {
        const dump = await this.getDump<{ readonly configuration: { readonly version: number; }; }>();
        return dump.configuration.version;
    }

    /** Requests the addresses of instances and an order key prefix from `/v1/entries`. */
    async getEntries(query = ""): Promise<{ readonly entries: readonly { readonly address: string; readonly instanceId: string; }[]; readonly orderKeyPrefix?: string; readonly keepForMs: number; }> {
        const response = await this.send(`/v1/entries${query}`);
        return JSON.parse(response.body.toString()) as never;
    }

    /** Returns the log lines of an event. */
    listLogs(event: string): readonly processes.LogLine[] {
        return this.process.listLogs(event);
    }
}

/** Starts an instance on free ports; throws if its process ends during the start. */
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
    const args = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
    const instance = new Instance(options.id, options.failureDomain, new processes.TestProcess(process.execPath, [program, "serve", ...args]));
    if (options.skipReadyWait === true) {
        return instance;
    }
    const [operatorPortLine] = await processes.waitFor(`instance ${options.id} starts: ${instance.process.stderrChunks.join("")}`, () => {
        const logs = instance.listLogs("operators-port-open");
        return instance.process.exitCode !== undefined || logs.length > 0 ? logs : undefined;
    });
    if (operatorPortLine === undefined) {
        throw new Error(`instance ${options.id} ended during startup: ${instance.process.stderrChunks.join("")}`);
    }
    const operator = String(operatorPortLine.context.address);
    instance.ports = { caller: String(instance.listLogs("callers-port-open")[0]!.context.address), operator, peer: "" };
    const dump = await instance.getDump<{ readonly peers: { readonly members: readonly { readonly peerAddress: string; }[]; }; }>();
    instance.ports = { ...instance.ports, peer: dump.peers.members[0]!.peerAddress };
    return instance;
}

/** Starts one instance per failure domain and waits until each one sees all others as running. */
export async function startFleet(domains: readonly string[], storeUrl: string, flags: Readonly<Record<string, string | number>> = {}): Promise<readonly Instance[]> {
    const [firstDomain, ...otherDomains] = domains;
    const first = await startInstance({ id: "i1", failureDomain: firstDomain!, storeUrl, seeds: [], flags });
    const otherInstances = await Promise.all(otherDomains.map((failureDomain, index) => startInstance({ id: `i${index + 2}`, failureDomain, storeUrl, seeds: [first.ports.peer], flags })));
    const instances = [first, ...otherInstances];
    await processes.waitFor("all instances see each other as running", async () => {
        const statuses = await Promise.all(instances.map(instance => instance.sendOperatorCall("Status", {})));
        return statuses.every(({ json }) => (json.instances as readonly { state: string; }[]).filter(member => member.state === "running").length === instances.length);
    });
    return instances;
}

/** Applies a configuration through an instance and waits until it is in force on all instances. Returns its version. */
export async function applyConfiguration(instance: Instance, document: object): Promise<number> {
    const { status, json } = await instance.sendOperatorCall("Apply", { configurationJson: JSON.stringify(document), waitMs: 10_000 });
    if (status !== 200 || json.instancesKnown !== json.instancesInForce) {
        throw new Error(`apply: ${status} ${JSON.stringify(json)}`);
    }
    return Number(json.version);
}
