/** Collects news of upstreams, so that one message carries many outcomes of many instances. */

import type * as loop from "../kernel/loop.js";
import type * as healthEstimate from "./healthEstimate.js";

/** What one origin tells of one upstream. */
export interface HealthUpdate {
    /** The instance that saw it, or a failure domain as a whole. */
    readonly origin: string;
    /** The upstream's identifier. */
    readonly upstream: string;
    /** The origin's requests under way there. */
    readonly inFlight: number;
    /** How often each outcome was seen since the origin's last news. */
    readonly counts: Readonly<Record<healthEstimate.Observation, number>>;
    /** When the newest attempt that did not fail was sent, in monotonic milliseconds. */
    readonly goodSentAt: number;
}

/** Options of a buffer. */
export interface CreateHealthUpdateBufferOptions {
    readonly loop: loop.Loop;
    /** How long news is collected, in milliseconds. */
    readonly batchDelayMs: number;
    /** How long news of a failure may wait, in milliseconds. */
    readonly urgentDelayMs: number;
    readonly sendUpdates: (items: readonly HealthUpdate[]) => void;
}

/** News that waits to be sent, one item for each origin and upstream. */
export class HealthUpdateBuffer {
    private items = new Map<string, HealthUpdate>();
    private cancel?: loop.Cancel;
    private isUrgent = false;

    constructor(private readonly options: CreateHealthUpdateBufferOptions) {}

    /**
     * Adds news; the newest load counts, outcomes add up.
     * @param item - The news.
     */
    addUpdate(item: HealthUpdate): void {
        const key = `${item.origin}\0${item.upstream}`;
        const known = this.items.get(key);
        this.items.set(key, known === undefined ? item : mergeItems(known, item));
        this.scheduleSend(item.counts.bad > 0);
    }

    private scheduleSend(isUrgent: boolean): void {
        if (this.cancel !== undefined && (this.isUrgent || !isUrgent)) {
            return;
        }
        this.cancel?.();
        this.isUrgent = isUrgent;
        const { loop: timers, batchDelayMs: collectMs, urgentDelayMs: urgentMs } = this.options;
        this.cancel = timers.scheduleOnce(isUrgent ? urgentMs : collectMs, () => this.sendCollected());
    }

    private sendCollected(): void {
        this.cancel = undefined;
        this.isUrgent = false;
        const items = [...this.items.values()];
        this.items = new Map();
        this.options.sendUpdates(items);
    }
}

function mergeItems(before: HealthUpdate, after: HealthUpdate): HealthUpdate {
    const counts = {
        good: before.counts.good + after.counts.good,
        bad: before.counts.bad + after.counts.bad,
        survived: before.counts.survived + after.counts.survived,
    };
    return { ...after, counts, goodSentAt: Math.max(before.goodSentAt, after.goodSentAt) };
}
