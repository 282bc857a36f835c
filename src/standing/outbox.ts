/** Collects news of upstreams for some of the peers, so that one message carries several outcomes. */

import type * as loop from "../kernel/loop.js";
import type * as pool from "../pool/index.js";
import type * as belief from "./belief.js";

/** What has happened at an upstream since the last message. */
export interface CollectedNews {
    readonly target: pool.Upstream;
    readonly counts: Readonly<Record<belief.Observation, number>>;
    /** When the newest attempt that did not fail was sent, in monotonic milliseconds. */
    readonly goodSentAt: number;
}

/** Options of an outbox. */
export interface CreateOutboxOptions {
    readonly loop: loop.Loop;
    /** How long news is collected, in milliseconds. */
    readonly collectMs: number;
    /** How long news of a failure may wait, in milliseconds. */
    readonly urgentMs: number;
    readonly sendNews: (news: readonly CollectedNews[]) => void;
}

interface Collected {
    readonly counts: Record<belief.Observation, number>;
    goodSentAt: number;
}

/** News that waits to be sent. */
export class Outbox {
    private collected = new Map<pool.Upstream, Collected>();
    private cancel?: loop.Cancel;
    private isUrgent = false;

    constructor(private readonly options: CreateOutboxOptions) {}

    /**
     * Adds an upstream whose load has changed.
     * @param target - The upstream.
     */
    addLoad(target: pool.Upstream): void {
        this.getCollected(target);
        this.scheduleSend(false);
    }

    /**
     * Adds an outcome.
     * @param target - The upstream.
     * @param observation - The outcome.
     * @param sentAt - When the attempt was sent, in monotonic milliseconds.
     */
    addObservation(target: pool.Upstream, observation: belief.Observation, sentAt: number): void {
        const collected = this.getCollected(target);
        collected.counts[observation] += 1;
        if (observation !== "bad") {
            collected.goodSentAt = Math.max(collected.goodSentAt, sentAt);
        }
        this.scheduleSend(observation === "bad");
    }

    private getCollected(target: pool.Upstream): Collected {
        const known = this.collected.get(target) ?? { counts: { good: 0, bad: 0, survived: 0 }, goodSentAt: -Infinity };
        this.collected.set(target, known);
        return known;
    }

    private scheduleSend(isUrgent: boolean): void {
        if (this.cancel !== undefined && (this.isUrgent || !isUrgent)) {
            return;
        }
        this.cancel?.();
        this.isUrgent = isUrgent;
        const { loop: timers, collectMs, urgentMs } = this.options;
        this.cancel = timers.scheduleOnce(isUrgent ? urgentMs : collectMs, () => this.sendCollected());
    }

    private sendCollected(): void {
        this.cancel = undefined;
        this.isUrgent = false;
        const news = [...this.collected].map(([target, { counts, goodSentAt }]) => ({ target, counts, goodSentAt }));
        this.collected = new Map();
        this.options.sendNews(news);
    }
}
