/** Publishes the weight of this instance among the entry points, if the settings give its capacity. */

import type * as context from "../kernel/context.js";
import * as heldBytes from "../kernel/heldBytes.js";
import type * as peers from "../peers/index.js";
import * as serveSettings from "../settings/index.js";
import * as entryWeight from "./entryWeight.js";

/** The interval between two observations of the event loop's delay. */
const sampleIntervalMs = 200;
/** A longer delay counts as this one, so that the weight recovers within seconds after the process was suspended. */
const maximumDelayMs = 500;
/** The weight of a new sample in the average delay, which thus covers about two seconds. */
const sampleWeight = 0.1;
/** The shortest time between two changes of the published weight. */
const publishIntervalMs = 2_000;

/** Options of the reporter. */
export interface CreateEntryWeightReporterOptions {
    readonly context: Pick<context.Context, "clock" | "loop" | "settings" | "heldBytes" | "logger">;
    readonly mesh: Pick<peers.Mesh, "setMember">;
    /** Returns the number of callers' requests in flight. */
    readonly countInFlight: () => number;
}

/** Observes the load of this instance and publishes its weight. */
export class EntryWeightReporter {
    private averageDelayMs = 0;
    private lastSampleAt = 0;
    private published?: number;
    private publishedAt = -Infinity;

    constructor(private readonly options: CreateEntryWeightReporterOptions) {}

    /** Publishes the weight, now and after changes of the load. Does nothing if the settings give no capacity. */
    start(): void {
        const { context: { clock, loop, settings } } = this.options;
        const capacity = serveSettings.computeCapacity(settings);
        if (capacity === undefined) {
            return;
        }
        this.lastSampleAt = clock.getNow();
        this.publishWeight(capacity);
        loop.scheduleRepeatedly(sampleIntervalMs, () => {
            this.recordDelay();
            this.publishWeight(capacity);
        });
    }

    private recordDelay(): void {
        const now = this.options.context.clock.getNow();
        const delayMs = Math.min(maximumDelayMs, Math.max(0, now - this.lastSampleAt - sampleIntervalMs));
        this.averageDelayMs += (delayMs - this.averageDelayMs) * sampleWeight;
        this.lastSampleAt = now;
    }

    private publishWeight(capacity: number): void {
        const { context: { clock, settings, heldBytes: held, logger }, mesh, countInFlight } = this.options;
        const now = clock.getNow();
        if (now - this.publishedAt < publishIntervalMs) {
            return;
        }
        const load = { delayMs: this.averageDelayMs, inFlight: countInFlight(), heldFraction: Math.min(1, held.getBytes() / heldBytes.computeLimitBytes(settings)) };
        const weight = entryWeight.computeWeight(capacity, load, this.published);
        if (weight !== this.published) {
            logger.writeInfo("entry-weight-changed", `this instance now has the weight ${weight} among the entry points`, { weight, before: this.published, ...load });
            this.published = weight;
            this.publishedAt = now;
            mesh.setMember({ weight });
        }
    }
}
