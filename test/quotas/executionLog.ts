/** Checks what was executed against the bound of a quota. */

import type * as quotaLimits from "../../src/quotas/quotaLimits.js";

const windowMs = 5_000;

/** Counts what was executed by workspace, and how far it exceeds the bound of the page. */
export class ExecutionLog {
    private readonly times = new Map<string, number[]>();

    /** Records an execution. */
    addExecution(workspace: string, now: number): void {
        const times = this.times.get(workspace) ?? [];
        this.times.set(workspace, times);
        times.push(now);
    }

    /** Returns the number of executions of a workspace. */
    countExecutions(workspace: string): number {
        return this.times.get(workspace)?.length ?? 0;
    }

    /** Returns by how many requests the worst window exceeds a bound; negative if none does. */
    computeExcess(workspace: string, bound: number): number {
        const times = this.times.get(workspace) ?? [];
        let first = 0;
        let most = 0;
        times.forEach((time, index) => {
            while (times[first]! <= time - windowMs) {
                first += 1;
            }
            most = Math.max(most, index - first + 1);
        });
        return most - bound;
    }
}

/** The bound that must never be exceeded in a window of 5 s, with or without its tolerance. */
export function computeBound({ requestsPerSecond, burst }: quotaLimits.Quota, hasTolerance = true): number {
    const limit = requestsPerSecond * windowMs / 1_000 + burst;
    return hasTolerance ? limit * 1.1 + 20 : limit;
}
