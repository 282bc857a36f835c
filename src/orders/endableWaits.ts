/** Waits that end early, all at the same time, such as at the end of a shutdown. */

/** Keeps waits for promises, so that they can be ended before the promises settle. */
export class EndableWaits {
    private readonly pending = new Set<() => void>();
    private hasEnded = false;

    /**
     * Waits for a promise.
     * @param start - Creates the promise; not called once the waits have ended.
     * @param createEnded - Creates the result if the waits end before the promise settles.
     */
    async wait<T>(start: () => Promise<T>, createEnded: () => T): Promise<T> {
        if (this.hasEnded) {
            return createEnded();
        }
        const started = start();
        return new Promise((resolve, reject) => {
            const end = () => resolve(createEnded());
            this.pending.add(end);
            started.then(resolve, reject).finally(() => this.pending.delete(end));
        });
    }

    /** Ends all waits, and those that would begin later. Returns the number of waits that were pending. */
    finish(): number {
        this.hasEnded = true;
        const ends = [...this.pending];
        this.pending.clear();
        ends.forEach(end => end());
        return ends.length;
    }
}
