/** Starts stand-ins for external systems as processes and controls them through their control ports. */

import * as processes from "./processes.js";

const program = "dist/tools/test/standins/main.mjs";

/** The port under test and the control port of a stand-in. */
export interface StandInPorts {
    readonly port: number;
    readonly controlPort: number;
}

/** A stand-in that runs in a process of its own or shares one with others. */
export class StandIn {
    constructor(readonly ports: StandInPorts, readonly process: processes.TestProcess) {}

    /** Returns the address as HOST:PORT. */
    getAddress(): string {
        return `127.0.0.1:${this.ports.port}`;
    }

    /** Merges a change into the stand-in's behaviour; some stand-ins also accept actions. */
    async setBehaviour(change: object): Promise<void> {
        await processes.sendRequest(`http://127.0.0.1:${this.ports.controlPort}/`, { method: "POST", body: JSON.stringify(change) });
    }

    /** Returns the state that the control port reports. */
    async getState<T = Record<string, unknown>>(): Promise<T> {
        const response = await processes.sendRequest(`http://127.0.0.1:${this.ports.controlPort}/`);
        return JSON.parse(response.body.toString()) as T;
    }
}

async function startProgram(args: readonly string[]): Promise<{ readonly ports: unknown; readonly process: processes.TestProcess; }> {
    const started = new processes.TestProcess(process.execPath, [program, ...args]);
    const line = await processes.waitFor(`the stand-in ${args.join(" ")} starts: ${started.stderrChunks.join("")}`, () => started.stdoutLines[0]);
    return { ports: JSON.parse(line) as unknown, process: started };
}

/** Starts a stand-in for an etcd store. */
export async function startEtcdStore(): Promise<StandIn> {
    const started = await startProgram(["store"]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts a fault-injecting TCP proxy to an address. */
export async function startFaultProxy(target: string): Promise<StandIn> {
    const started = await startProgram(["faultProxy", target]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts a stand-in for the key-value service of the users' platform. */
export async function startKvStore(): Promise<StandIn> {
    const started = await startProgram(["directoryStore"]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts stand-ins for the workers w0, w1, ... that share one process. */
export async function startWorkers(count: number): Promise<readonly StandIn[]> {
    const started = await startProgram(["workers", String(count)]);
    return (started.ports as readonly StandInPorts[]).map(ports => new StandIn(ports, started.process));
}

/** Starts stand-ins for upstreams that share one process. */
export async function startUpstreams(count: number): Promise<readonly StandIn[]> {
    const started = await startProgram(["upstreams", String(count)]);
    return (started.ports as readonly StandInPorts[]).map(ports => new StandIn(ports, started.process));
}
