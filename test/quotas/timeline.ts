/** Virtual time for many tasks. */

/** Runs tasks in order of their millisecond. */
export class Timeline {
    now = 1_000;
    private readonly tasks = new Map<number, (() => void)[]>();

    readonly scheduleOnce = (delayMs: number, task: () => void): () => void => {
        let isCancelled = false;
        const at = this.now + Math.max(1, Math.round(delayMs));
        const due = this.tasks.get(at) ?? [];
        this.tasks.set(at, due);
        due.push(() => isCancelled ? undefined : task());
        return () => {
            isCancelled = true;
        };
    };

    /** Advances the time and runs what becomes due. */
    addTime(durationMs: number): void {
        for (const until = this.now + durationMs; this.now < until;) {
            this.now += 1;
            this.tasks.get(this.now)?.forEach(task => task());
            this.tasks.delete(this.now);
        }
    }
}
