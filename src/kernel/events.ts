/** Keeps an instance's recent log records in memory for operators who follow them. */

import type * as logger from "./logger.js";

const maximumRecords = 500;

/** A log record with its sequence number. */
export interface NumberedLogRecord extends logger.LogRecord {
    /** Starts at 1 in each incarnation. */
    readonly sequence: number;
    /** Milliseconds since the Unix epoch. */
    readonly wallTimeMs: number;
}

/** A bounded buffer of the newest log records. */
export class EventLog {
    private readonly records: NumberedLogRecord[] = [];
    private sequence = 0;

    /**
     * Appends a record and removes the oldest one if the buffer is full.
     * @param wallTimeMs - Milliseconds since the Unix epoch.
     */
    addRecord(record: logger.LogRecord, wallTimeMs: number): void {
        this.sequence += 1;
        this.records.push({ ...record, sequence: this.sequence, wallTimeMs });
        if (this.records.length > maximumRecords) {
            this.records.shift();
        }
    }

    /**
     * Returns the buffered records after a sequence number.
     * @param sequence - The last sequence number already read; 0 for all.
     */
    getRecordsAfter(sequence: number): readonly NumberedLogRecord[] {
        return this.records.filter(record => record.sequence > sequence);
    }
}
