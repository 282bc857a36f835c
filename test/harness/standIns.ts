/** Starts stand-ins as processes and drives them over their control ports. */

import * as processes from "./processes.js";

const program = "dist/tools/test/standins/main.mjs";

/** A stand-in's ports. */
export interface StandInPorts {
    readonly port: number;
    readonly controlPort: number;
}

/** A running stand-in. */
export class StandIn {
    constructor(readonly ports: StandInPorts, readonly process: processes.TestProcess) {}

    /** Returns its address as HOST:PORT. */
    getAddress(): string {
        return `127.0.0.1:${this.ports.port}`;
    }

    /** Changes its behaviour. */
    async setBehaviour(change: object): Promise<void> {
        await processes.sendRequest(`http://127.0.0.1:${this.ports.controlPort}/`, { method: "POST", body: JSON.stringify(change) });
    }

    /** Returns its state. */
    async getState<T = Record<string, unknown>>(): Promise<T> {
        const answer = await processes.sendRequest(`http://127.0.0.1:${this.ports.controlPort}/`);
        return JSON.parse(answer.body.toString()) as T;
    }
}

async function startPorts(words: readonly string[]): Promise<{ readonly ports: unknown; readonly process: processes.TestProcess; }> {
    const started = new processes.TestProcess(process.execPath, [program, ...words]);
    const line = await processes.waitFor(`the stand-in ${words.join(" ")} starts: ${started.stderrChunks.join("")}`, () => started.stdoutLines[0]);
    return { ports: JSON.parse(line) as unknown, process: started };
}

/** Starts a store. */
export async function startEtcdStore(): Promise<StandIn> {
    const started = await startPorts(["store"]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts a fault-injecting proxy to an address. */
export async function startFaultProxy(target: string): Promise<StandIn> {
    const started = await startPorts(["faultProxy", target]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts a store of the users' platform. */
export async function startKvStore(): Promise<StandIn> {
    const started = await startPorts(["directoryStore"]);
    return new StandIn(started.ports as StandInPorts, started.process);
}

/** Starts workers w0, w1, ... that share one process. */
export async function startWorkers(count: number): Promise<readonly StandIn[]> {
    const started = await startPorts(["workers", String(count)]);
    return (started.ports as readonly StandInPorts[]).map(ports => new StandIn(ports, started.process));
}

/** Starts upstreams that share one process. */
export async function startUpstreams(count: number): Promise<readonly StandIn[]> {
    const started = await startPorts(["upstreams", String(count)]);
    return (started.ports as readonly StandInPorts[]).map(ports => new StandIn(ports, started.process));
}
