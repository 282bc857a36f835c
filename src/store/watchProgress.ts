/** When the store last answered a watch, and whether its next answer is overdue. */

import type * as clock from "../kernel/clock.js";

/** How late the store's answer may be until it is taken for silent. */
const slackMs = 500;

/** Follows the answers of the store; times are in monotonic milliseconds. */
export class WatchProgress {
    private lastAnswerAt = -Infinity;
    private dueAt = -Infinity;

    constructor(private readonly time: clock.Clock) {}

    /** Records an answer, and the time in which the next one is due at the latest. */
    recordAnswer(dueMs: number): void {
        this.lastAnswerAt = this.time.getNow();
        this.dueAt = this.lastAnswerAt + dueMs;
    }

    /** Records that a call has failed. */
    recordFailure(): void {
        this.dueAt = -Infinity;
    }

    /** Records that the watch has ended. */
    recordEnd(): void {
        this.lastAnswerAt = -Infinity;
        this.dueAt = -Infinity;
    }

    /** Returns the milliseconds since the last answer; infinite without one. */
    getAgeMs(): number {
        return this.time.getNow() - this.lastAnswerAt;
    }

    /** Returns whether the store answers as it should. */
    isProgressing(): boolean {
        return this.time.getNow() <= this.dueAt + slackMs;
    }
}
