/** Counts calls of retired features by caller, so that operators can see who still uses them. */

/** The maximum number of callers counted for one feature; calls of further callers are not counted. */
const maximumCallersPerFeature = 100;
/** The maximum number of features counted; calls of further features are not counted. */
const maximumFeatures = 1_000;

/** The calls of one retired feature by one caller in one workspace. */
export interface RetiredFeatureCalls {
    readonly feature: string;
    readonly workspace: string;
    /** The caller's address and user agent. */
    readonly caller: string;
    readonly count: number;
    /** The time of the last call, in milliseconds since the Unix epoch. */
    readonly lastWallTimeMs: number;
}

/** Counts rejected calls of retired features. */
export class RetiredFeatureCallCounter {
    private readonly callsByFeature = new Map<string, Map<string, RetiredFeatureCalls>>();

    /**
     * Counts a rejected call.
     * @param call - The call; its time becomes the time of the caller's last call.
     */
    recordCall(call: Omit<RetiredFeatureCalls, "count">): void {
        const callsByCaller = this.callsByFeature.get(call.feature) ?? new Map<string, RetiredFeatureCalls>();
        if (!this.callsByFeature.has(call.feature) && this.callsByFeature.size >= maximumFeatures) {
            return;
        }
        this.callsByFeature.set(call.feature, callsByCaller);
        const key = `${call.workspace}\0${call.caller}`;
        const existing = callsByCaller.get(key);
        if (existing === undefined && callsByCaller.size >= maximumCallersPerFeature) {
            return;
        }
        callsByCaller.set(key, { ...call, count: (existing?.count ?? 0) + 1 });
    }

    /** Lists the counts in descending order. */
    listCalls(): readonly RetiredFeatureCalls[] {
        return [...this.callsByFeature.values()].flatMap(callsByCaller => [...callsByCaller.values()]).sort((a, b) => b.count - a.count);
    }
}
