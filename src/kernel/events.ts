/** The recent log records of an instance, kept for operators who follow it. */

import type * as logger from "./logger.js";

const maximumKept = 500;

/** A log record with its position. */
export interface NumberedLogRecord extends logger.LogRecord {
    /** Counts from 1 in this incarnation. */
    readonly sequence: number;
    /** Milliseconds since the Unix epoch. */
    readonly wallTimeMs: number;
}

/** Keeps the newest records. */
export class EventLog {
    private readonly records: NumberedLogRecord[] = [];
    private sequence = 0;

    /**
     * Adds a record and forgets the oldest over the limit.
     * @param record - The log record.
     * @param wallTimeMs - Milliseconds since the epoch.
     */
    addRecord(record: logger.LogRecord, wallTimeMs: number): void {
        this.sequence += 1;
        this.records.push({ ...record, sequence: this.sequence, wallTimeMs });
        if (this.records.length > maximumKept) {
            this.records.shift();
        }
    }

    /**
     * Returns the kept records after a position.
     * @param sequence - The last sequence already seen; 0 for all.
     */
    getRecordsAfter(sequence: number): readonly NumberedLogRecord[] {
        return this.records.filter(record => record.sequence > sequence);
    }
}
