/** Starts, watches and ends the processes of a test; each process ends with the test, by its own identifier. */

import * as childProcess from "node:child_process";
import * as http from "node:http";

/** The longest wait for a condition, in milliseconds; generous, for a busy machine. */
export const defaultTimeoutMs = 30_000;
const lookMs = 20;

/** A plain HTTP answer. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    /** Whether the body came whole. */
    readonly isComplete: boolean;
}

/** Options of a request. */
export interface SendRequestOptions {
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    readonly agent?: http.Agent;
    readonly timeoutMs?: number;
}

/** Sends a request and reads its whole answer; rejects where none comes. */
export function sendRequest(url: string, options: SendRequestOptions = {}): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
        const request = http.request(url, { method: options.method ?? "GET", headers: options.headers ?? {}, agent: options.agent ?? false }, response => {
            const parts: Buffer[] = [];
            response.on("data", (part: Buffer) => parts.push(part));
            const finish = () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(parts), isComplete: response.complete });
            response.on("end", finish);
            response.on("error", finish);
        });
        request.setTimeout(options.timeoutMs ?? defaultTimeoutMs, () => request.destroy(new Error("timeout")));
        request.on("error", reject);
        request.end(options.body);
    });
}

/** Waits until a check returns something other than undefined or false. */
export async function waitFor<T>(what: string, check: () => T | undefined | false | Promise<T | undefined | false>, waitMs = defaultTimeoutMs): Promise<T> {
    const until = performance.now() + waitMs;
    while (performance.now() < until) {
        const result = await check();
        if (result !== undefined && result !== false) {
            return result;
        }
        await new Promise(resolve => setTimeout(resolve, lookMs));
    }
    throw new Error(`not within ${waitMs} ms: ${what}`);
}

/** A line of an instance's log. */
export interface LogLine {
    readonly context: Record<string, unknown>;
    readonly message: string;
}

/** A process under test. */
export class TestProcess {
    readonly stdoutLines: string[] = [];
    readonly stderrChunks: string[] = [];
    private readonly child: childProcess.ChildProcess;
    private rest = "";
    exitCode: number | string | undefined;

    constructor(command: string, words: readonly string[], environment: Readonly<Record<string, string>> = {}) {
        this.child = childProcess.spawn(command, [...words], { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...environment } });
        this.child.stdout!.on("data", chunk => {
            const parts = (this.rest + String(chunk)).split("\n");
            this.rest = parts.pop()!;
            this.stdoutLines.push(...parts);
        });
        this.child.stderr!.on("data", chunk => this.stderrChunks.push(String(chunk)));
        this.child.on("exit", (code, signal) => {
            this.exitCode = code ?? signal ?? "unknown";
        });
    }

    /** Returns the log lines of an event. */
    listLogs(event: string): readonly LogLine[] {
        return this.stdoutLines.filter(line => line.includes(`"${event}"`)).map(line => JSON.parse(line) as LogLine).filter(line => line.context.event === event);
    }

    /** Returns the process's identifier. */
    getProcessId(): number | undefined {
        return this.child.pid;
    }

    /** Stops or begins again to read the process's output, as a log collector that hangs does. */
    setOutputReading(isReading: boolean): void {
        if (isReading) {
            this.child.stdout!.resume();
            return;
        }
        this.child.stdout!.pause();
    }

    /** Sends a signal to this process alone. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Waits for the exit status. */
    waitForExit(waitMs = defaultTimeoutMs): Promise<number | string> {
        return waitFor<number | string>("the process ends", () => this.exitCode ?? undefined, waitMs).catch(() => "running");
    }

    /** Ends the process at once. */
    async stop(): Promise<void> {
        if (this.exitCode === undefined) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await waitFor("the process is gone", () => this.exitCode !== undefined);
        }
    }
}
