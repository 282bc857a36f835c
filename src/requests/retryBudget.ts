/** Bounds retries to a part of the traffic, so that they cannot amplify an overload. */

/** Retries earned by each first attempt. */
const retriesPerRequest = 0.1;
/** The most that may be saved up, and what a new budget starts with. */
const maximumSaved = 10;

/** Counts the retries that a service may still be sent. */
export class RetryBudget {
    private saved = maximumSaved;

    /** Records a first attempt. */
    addRequest(): void {
        this.saved = Math.min(maximumSaved, this.saved + retriesPerRequest);
    }

    /** Takes one retry; returns whether there was one. */
    acquireRetry(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}
