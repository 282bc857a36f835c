/** An open-loop load generator: requests leave at their times whether or not earlier ones were answered. */

import * as http from "node:http";
import * as hdr from "hdr-histogram-js";

/** A request to send. */
export interface LoadRequest {
    readonly url: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    /** What the request is counted under. */
    readonly label: string;
    readonly timeoutMs: number;
}

/** What became of the requests of one label. */
export class LoadCounts {
    readonly latencies = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
    sent = 0;
    ok = 0;
    readonly refused: Record<string, number> = {};

    /** Returns a quantile of the good answers' latencies, in milliseconds. */
    getLatencyMs(percent: number): number {
        return this.latencies.getValueAtPercentile(percent) / 1_000;
    }
}

/** Options of a load. */
export interface RunLoadOptions {
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly createRequest: (index: number) => LoadRequest;
    readonly agent?: http.Agent;
    readonly onEnd?: (request: LoadRequest, result: LoadResult) => void;
}

/** How one request ended. */
export interface LoadResult {
    readonly status: number;
    readonly isComplete: boolean;
    readonly latencyMs: number;
    readonly outcome: string;
    readonly headers: http.IncomingHttpHeaders;
}

/** Sends one request and reads its whole answer; status 0 stands for none. */
export function sendLoadRequest(request: LoadRequest, agent: http.Agent): Promise<LoadResult> {
    const startedAt = performance.now();
    return new Promise(resolve => {
        const finish = (status: number, isWhole: boolean, headers: http.IncomingHttpHeaders) =>
            resolve({ status, isComplete: isWhole, headers, latencyMs: performance.now() - startedAt, outcome: String(headers["x-agatebend-outcome"] ?? "none") });
        const sent = http.request(request.url, { method: request.method ?? "GET", headers: request.headers ?? {}, agent }, response => {
            response.resume();
            response.on("end", () => finish(response.statusCode ?? 0, response.complete, response.headers));
            response.on("error", () => finish(response.statusCode ?? 0, false, response.headers));
        });
        sent.setTimeout(request.timeoutMs, () => sent.destroy(new Error("timeout")));
        sent.on("error", () => finish(0, false, {}));
        sent.end(request.body);
    });
}

/** Runs a load and counts the results by label. */
export async function runLoad(options: RunLoadOptions): Promise<ReadonlyMap<string, LoadCounts>> {
    const counts = new Map<string, LoadCounts>();
    const agent = options.agent ?? new http.Agent({ keepAlive: true, maxSockets: 512 });
    const startedAt = performance.now();
    const total = Math.floor((options.requestsPerSecond * options.durationMs) / 1_000);
    const pending: Promise<void>[] = [];
    for (let index = 0; index < total; index += 1) {
        const dueMs = (index * 1_000) / options.requestsPerSecond - (performance.now() - startedAt);
        if (dueMs > 1) {
            await new Promise(resolve => setTimeout(resolve, dueMs));
        }
        const request = options.createRequest(index);
        const counted = counts.get(request.label) ?? new LoadCounts();
        counts.set(request.label, counted);
        counted.sent += 1;
        pending.push(
            sendLoadRequest(request, agent).then(result => {
                if (result.status >= 200 && result.status < 300 && result.isComplete) {
                    counted.ok += 1;
                    counted.latencies.recordValue(Math.max(1, Math.round(result.latencyMs * 1_000)));
                }
                else {
                    const kind = `${result.status}${result.isComplete ? "" : " broken"} ${String(result.headers["x-agatebend-error"] ?? result.outcome)}`;
                    counted.refused[kind] = (counted.refused[kind] ?? 0) + 1;
                }
                options.onEnd?.(request, result);
            }),
        );
    }
    await Promise.all(pending);
    agent.destroy();
    return counts;
}
