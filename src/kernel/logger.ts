/** Structured logging in JSON lines, based on roarr. */

import { ROARR, Roarr } from "roarr";
import type * as logSink from "./logSink.js";

/** The log levels, least severe first. */
export const logLevels = ["debug", "info", "warn", "error"] as const;

/** A log level. */
export type LogLevel = (typeof logLevels)[number];

/** The structured fields of a log line. */
export type LogValues = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines; `event` is a stable name that programs may match, `message` is for human readers. */
export interface Logger {
    readonly writeDebug: (event: string, message: string, values?: LogValues) => void;
    readonly writeInfo: (event: string, message: string, values?: LogValues) => void;
    readonly writeWarning: (event: string, message: string, values?: LogValues) => void;
    readonly writeError: (event: string, message: string, values?: LogValues) => void;
}

/** A log line as passed to `onRecord`. */
export interface LogRecord {
    readonly level: LogLevel;
    readonly event: string;
    readonly message: string;
    readonly values: LogValues;
}

/** Options of a logger. */
export interface CreateLoggerOptions {
    /** Lines below this level are discarded. */
    readonly level: LogLevel;
    /** Fields that every line carries. */
    readonly values: LogValues;
    /** Receives the lines; defaults to roarr's own output. */
    readonly sink?: logSink.LogSink;
    /** Called for each line that passes the level, for `agatebend watch`. */
    readonly onRecord?: (record: LogRecord) => void;
}

/** Creates a logger that writes to standard output. */
export function createLogger(options: CreateLoggerOptions): Logger {
    const roarr = Roarr.child({ application: "agatebend", ...options.values });
    const minimumIndex = logLevels.indexOf(options.level);
    let isLowSeverity = false;
    const { sink } = options;
    if (sink !== undefined) {
        ROARR.write = line => sink.writeLine(line, isLowSeverity);
    }
    const createWriter = (level: LogLevel) => (event: string, message: string, values: LogValues = {}) => {
        if (logLevels.indexOf(level) < minimumIndex) {
            return;
        }
        isLowSeverity = logLevels.indexOf(level) < logLevels.indexOf("warn");
        // Roarr treats the message as a printf format string, so percent signs in it are escaped.
        roarr[level]({ event, ...values }, message.replaceAll("%", "%%"));
        options.onRecord?.({ level, event, message, values });
    };
    return {
        writeDebug: createWriter("debug"),
        writeInfo: createWriter("info"),
        writeWarning: createWriter("warn"),
        writeError: createWriter("error"),
    };
}

/** Creates a logger that discards every line. */
export function createSilentLogger(): Logger {
    const writeNothing = () => {};
    return { writeDebug: writeNothing, writeInfo: writeNothing, writeWarning: writeNothing, writeError: writeNothing };
}
