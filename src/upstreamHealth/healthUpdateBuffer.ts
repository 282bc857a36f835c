/** Buffers health updates, so that one message carries many outcomes from many instances. */

import type * as loop from "../kernel/loop.js";
import type * as healthEstimate from "./healthEstimate.js";

/** The load and the outcomes that one origin reports for one upstream. */
export interface HealthUpdate {
    /** The instance that observed the outcomes, or a whole failure domain. */
    readonly origin: string;
    /** The identifier of the upstream. */
    readonly upstream: string;
    /** The number of requests that the origin has in flight at the upstream. */
    readonly inFlight: number;
    /** The number of attempts with each outcome since the origin's last update. */
    readonly counts: Readonly<Record<healthEstimate.Observation, number>>;
    /** When the newest attempt that did not fail was sent, in monotonic milliseconds. */
    readonly newestGoodSentAt: number;
}

/** Options of a health update buffer. */
export interface CreateHealthUpdateBufferOptions {
    readonly loop: loop.Loop;
    /** How long updates are buffered. */
    readonly batchDelayMs: number;
    /** How long an update that reports a failure is buffered at most. */
    readonly urgentDelayMs: number;
    readonly sendUpdates: (updates: readonly HealthUpdate[]) => void;
}

/** Holds the updates to be sent, merged into one for each origin and upstream. */
export class HealthUpdateBuffer {
    private updates = new Map<string, HealthUpdate>();
    private cancelSend?: loop.Cancel;
    private isSendUrgent = false;

    constructor(private readonly options: CreateHealthUpdateBufferOptions) {}

    /** Adds an update. The newest number of in-flight requests replaces the previous one; outcome counts are added up. */
    addUpdate(update: HealthUpdate): void {
        const key = `${update.origin}\0${update.upstream}`;
        const buffered = this.updates.get(key);
        this.updates.set(key, buffered === undefined ? update : mergeUpdates(buffered, update));
        this.scheduleSend(update.counts.bad > 0);
    }

    private scheduleSend(isUrgent: boolean): void {
        if (this.cancelSend !== undefined && (this.isSendUrgent || !isUrgent)) {
            return;
        }
        this.cancelSend?.();
        this.isSendUrgent = isUrgent;
        const { loop: timers, batchDelayMs, urgentDelayMs } = this.options;
        this.cancelSend = timers.scheduleOnce(isUrgent ? urgentDelayMs : batchDelayMs, () => this.sendBuffered());
    }

    private sendBuffered(): void {
        this.cancelSend = undefined;
        this.isSendUrgent = false;
        const updates = [...this.updates.values()];
        this.updates = new Map();
        this.options.sendUpdates(updates);
    }
}

function mergeUpdates(before: HealthUpdate, after: HealthUpdate): HealthUpdate {
    const counts = {
        good: before.counts.good + after.counts.good,
        bad: before.counts.bad + after.counts.bad,
        survived: before.counts.survived + after.counts.survived,
    };
    return { ...after, counts, newestGoodSentAt: Math.max(before.newestGoodSentAt, after.newestGoodSentAt) };
}
