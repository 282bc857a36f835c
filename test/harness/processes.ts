/** Starts, observes and ends the processes of a test, each by its own process identifier. */

import * as childProcess from "node:child_process";
import * as http from "node:http";

/** The default time limit of requests and waits; long enough for a busy machine. */
export const defaultTimeoutMs = 30_000;
const pollIntervalMs = 20;

/** An HTTP response with its buffered body. */
export interface HttpResponse {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: Buffer;
    /** Whether the body was received completely. */
    readonly isComplete: boolean;
}

/** Contents of a request; by default a GET on a new connection. */
export interface SendRequestOptions {
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string | Buffer;
    readonly agent?: http.Agent;
    readonly timeoutMs?: number;
}

/** Sends a request and reads the response to its end. Rejects if no response begins. */
export function sendRequest(url: string, options: SendRequestOptions = {}): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
        const request = http.request(url, { method: options.method ?? "GET", headers: options.headers ?? {}, agent: options.agent ?? false }, response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            const finish = () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks), isComplete: response.complete });
            response.on("end", finish);
            response.on("error", finish);
        });
        request.setTimeout(options.timeoutMs ?? defaultTimeoutMs, () => request.destroy(new Error("timeout")));
        request.on("error", reject);
        request.end(options.body);
    });
}

/** Polls a check until it returns a value other than undefined or false. Throws after the time limit. */
export async function waitFor<T>(description: string, check: () => T | undefined | false | Promise<T | undefined | false>, waitMs = defaultTimeoutMs): Promise<T> {
    const timeoutAt = performance.now() + waitMs;
    while (performance.now() < timeoutAt) {
        const result = await check();
        if (result !== undefined && result !== false) {
            return result;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    throw new Error(`condition not met within ${waitMs} ms: ${description}`);
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
    private incompleteLine = "";
    exitCode: number | string | undefined;

    constructor(command: string, args: readonly string[], environment: Readonly<Record<string, string>> = {}) {
        this.child = childProcess.spawn(command, [...args], { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...environment } });
        this.child.stdout!.on("data", chunk => {
            const lines = (this.incompleteLine + String(chunk)).split("\n");
            this.incompleteLine = lines.pop()!;
            this.stdoutLines.push(...lines);
        });
        this.child.stderr!.on("data", chunk => this.stderrChunks.push(String(chunk)));
        this.child.on("exit", (code, signal) => {
            this.exitCode = code ?? signal ?? "unknown";
        });
    }

    /** Returns the log lines whose context names the event. */
    listLogs(event: string): readonly LogLine[] {
        return this.stdoutLines.filter(line => line.includes(`"${event}"`)).map(line => JSON.parse(line) as LogLine).filter(line => line.context.event === event);
    }

    /** Returns the operating system's process identifier; undefined if the process did not start. */
    getProcessId(): number | undefined {
        return this.child.pid;
    }

    /** Pauses or resumes reading of the standard output. Paused reading simulates a log collector that hangs. */
    setOutputReading(isReading: boolean): void {
        if (isReading) {
            this.child.stdout!.resume();
            return;
        }
        this.child.stdout!.pause();
    }

    /** Sends a signal to this process only. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child.kill(signal);
    }

    /** Returns the exit status or the signal that ended the process, or "running" after the time limit. */
    waitForExit(waitMs = defaultTimeoutMs): Promise<number | string> {
        return waitFor<number | string>("the process ends", () => this.exitCode ?? undefined, waitMs).catch(() => "running");
    }

    /** Kills the process, also when it is suspended, and waits until it has ended. */
    async stop(): Promise<void> {
        if (this.exitCode === undefined) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await waitFor("the killed process has ended", () => this.exitCode !== undefined);
        }
    }
}
