/** An open-loop load generator: requests are sent on schedule, whether or not earlier ones have completed. */

import * as http from "node:http";
import * as hdr from "hdr-histogram-js";

/** A request to send. */
export interface LoadRequest {
    readonly url: string;
    readonly method?: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    /** Name under which the result is counted. */
    readonly label: string;
    readonly timeoutMs: number;
}

/** Result counts of the requests with one label. */
export class LoadCounts {
    readonly latencies = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
    sent = 0;
    ok = 0;
    readonly refused: Record<string, number> = {};

    /** Returns a percentile of the latencies of successful requests, in milliseconds. */
    getLatencyMs(percent: number): number {
        return this.latencies.getValueAtPercentile(percent) / 1_000;
    }
}

/** Options of `runLoad`. */
export interface RunLoadOptions {
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly createRequest: (index: number) => LoadRequest;
    readonly agent?: http.Agent;
    readonly onEnd?: (request: LoadRequest, result: LoadResult) => void;
}

/** The result of one request. */
export interface LoadResult {
    readonly status: number;
    readonly isComplete: boolean;
    readonly latencyMs: number;
    readonly outcome: string;
    readonly headers: http.IncomingHttpHeaders;
}

/** Sends one request and reads the complete response; the status is 0 if there is no response. */
export function sendLoadRequest(request: LoadRequest, agent: http.Agent): Promise<LoadResult> {
    const startedAt = performance.now();
    return new Promise(resolve => {
        const finish = (status: number, isComplete: boolean, headers: http.IncomingHttpHeaders) =>
            resolve({ status, isComplete, headers, latencyMs: performance.now() - startedAt, outcome: String(headers["x-agatebend-outcome"] ?? "none") });
        const sentRequest = http.request(request.url, { method: request.method ?? "GET", headers: request.headers ?? {}, agent }, response => {
            response.resume();
            response.on("end", () => finish(response.statusCode ?? 0, response.complete, response.headers));
            response.on("error", () => finish(response.statusCode ?? 0, false, response.headers));
        });
        sentRequest.setTimeout(request.timeoutMs, () => sentRequest.destroy(new Error("timeout")));
        sentRequest.on("error", () => finish(0, false, {}));
        sentRequest.end(request.body);
    });
}

/** Sends requests at a constant rate and counts the results by label. */
export async function runLoad(options: RunLoadOptions): Promise<ReadonlyMap<string, LoadCounts>> {
    const counts = new Map<string, LoadCounts>();
    const agent = options.agent ?? new http.Agent({ keepAlive: true, maxSockets: 512 });
    const startedAt = performance.now();
    const total = Math.floor((options.requestsPerSecond * options.durationMs) / 1_000);
    const pendingRequests: Promise<void>[] = [];
    for (let index = 0; index < total; index += 1) {
        const dueMs = (index * 1_000) / options.requestsPerSecond - (performance.now() - startedAt);
        if (dueMs > 1) {
            await new Promise(resolve => setTimeout(resolve, dueMs));
        }
        const request = options.createRequest(index);
        const counted = counts.get(request.label) ?? new LoadCounts();
        counts.set(request.label, counted);
        counted.sent += 1;
        pendingRequests.push(
            sendLoadRequest(request, agent).then(result => {
                if (result.status >= 200 && result.status < 300 && result.isComplete) {
                    counted.ok += 1;
                    counted.latencies.recordValue(Math.max(1, Math.round(result.latencyMs * 1_000)));
                }
                else {
                    const kind = `${result.status}${result.isComplete ? "" : " incomplete"} ${String(result.headers["x-agatebend-error"] ?? result.outcome)}`;
                    counted.refused[kind] = (counted.refused[kind] ?? 0) + 1;
                }
                options.onEnd?.(request, result);
            }),
        );
    }
    await Promise.all(pendingRequests);
    agent.destroy();
    return counts;
}
