/** Who still calls retired features. */

/** The most callers counted for one feature. */
const maximumCallers = 100;
/** The most features counted. */
const maximumFeatures = 1_000;

/** Calls of one retired feature by one workspace. */
export interface RetiredFeatureCalls {
    readonly feature: string;
    readonly workspace: string;
    /** The caller's address and user agent. */
    readonly caller: string;
    readonly count: number;
    readonly lastWallTimeMs: number;
}

/** Counts the refused calls. */
export class RetiredFeatureCallCounter {
    private readonly features = new Map<string, Map<string, RetiredFeatureCalls>>();

    /**
     * Counts a refused call.
     * @param call - Its feature, workspace, caller and time.
     */
    recordCall(call: Omit<RetiredFeatureCalls, "count">): void {
        const callers = this.features.get(call.feature) ?? new Map<string, RetiredFeatureCalls>();
        if (!this.features.has(call.feature) && this.features.size >= maximumFeatures) {
            return;
        }
        this.features.set(call.feature, callers);
        const key = `${call.workspace}\0${call.caller}`;
        const known = callers.get(key);
        if (known === undefined && callers.size >= maximumCallers) {
            return;
        }
        callers.set(key, { ...call, count: (known?.count ?? 0) + 1 });
    }

    /** Lists the counts, the most frequent first. */
    listCalls(): readonly RetiredFeatureCalls[] {
        return [...this.features.values()].flatMap(callers => [...callers.values()]).sort((a, b) => b.count - a.count);
    }
}
