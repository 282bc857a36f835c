/** Reads an instance's resource usage from its metrics. */

import type * as fleet from "../test/harness/fleet.js";
import * as processes from "../test/harness/processes.js";

/** Resource usage of an instance at one point in time; the counters are totals since its start. */
export interface ResourceUsage {
    readonly at: number;
    readonly cpuSeconds: number;
    readonly residentBytes: number;
    readonly peerBytesSent: number;
    readonly peerBytesReceived: number;
    readonly storeCalls: number;
}

/** Reads the current resource usage of an instance. */
export async function readResourceUsage(instance: fleet.Instance): Promise<ResourceUsage> {
    const text = (await processes.sendRequest(`http://${instance.ports.operator}/metrics`)).body.toString();
    const sum = (pattern: RegExp) => [...text.matchAll(pattern)].reduce((total, found) => total + Number(found[1]), 0);
    return {
        at: performance.now(),
        cpuSeconds: sum(/^agatebend_process_cpu_seconds_total (\S+)/gm),
        residentBytes: sum(/^agatebend_process_resident_memory_bytes (\S+)/gm),
        peerBytesSent: sum(/^agatebend_peer_bytes_total\{direction="sent"[^}]*\} (\S+)/gm),
        peerBytesReceived: sum(/^agatebend_peer_bytes_total\{direction="received"[^}]*\} (\S+)/gm),
        storeCalls: sum(/^agatebend_store_calls_total\{\S+ (\S+)/gm),
    };
}

/** Returns the median, or the upper of the two middle values; NaN if there are none. */
export function getMedian(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}
