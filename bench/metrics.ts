/** Reads an instance's metrics. */

import type * as fleet from "../test/harness/fleet.js";
import * as processes from "../test/harness/processes.js";

/** What an instance has spent so far. */
export interface ResourceUsage {
    readonly at: number;
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    readonly peerBytesSent: number;
    readonly peerBytesReceived: number;
    readonly storeCalls: number;
}

/** Reads what an instance has spent. */
export async function readResourceUsage(instance: fleet.Instance): Promise<ResourceUsage> {
    const text = (await processes.sendRequest(`http://${instance.ports.operator}/metrics`)).body.toString();
    const sum = (pattern: RegExp) => [...text.matchAll(pattern)].reduce((total, found) => total + Number(found[1]), 0);
    return {
        at: performance.now(),
        cpuSeconds: sum(/^agatebend_process_cpu_seconds_total (\S+)/gm),
        residentBytes: sum(/^agatebend_process_resident_memory_bytes (\S+)/gm),
        peerBytesSent: sum(/^agatebend_peer_bytes_total\{direction="sent"\} (\S+)/gm),
        peerBytesReceived: sum(/^agatebend_peer_bytes_total\{direction="received"\} (\S+)/gm),
        storeCalls: sum(/^agatebend_store_calls_total\{\S+ (\S+)/gm),
    };
}

/** Returns the median of numbers. */
export function getMedian(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}
