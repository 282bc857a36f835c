/** JSON-lines logging over roarr. */

import { ROARR, Roarr } from "roarr";
import type * as logSink from "./logSink.js";

/** The severities, least severe first. */
export const logLevels = ["debug", "info", "warn", "error"] as const;

/** A severity. */
export type LogLevel = (typeof logLevels)[number];

/** The values that a log line carries besides its message. */
export type LogValues = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines; `event` is a stable name that programs may match. */
export interface Logger {
    readonly writeDebug: (event: string, message: string, values?: LogValues) => void;
    readonly writeInfo: (event: string, message: string, values?: LogValues) => void;
    readonly writeWarning: (event: string, message: string, values?: LogValues) => void;
    readonly writeError: (event: string, message: string, values?: LogValues) => void;
}

/** A log line as given to a listener. */
export interface LogRecord {
    readonly level: LogLevel;
    readonly event: string;
    readonly message: string;
    readonly values: LogValues;
}

/** Options of a logger. */
export interface CreateLoggerOptions {
    /** The least severe level that is written. */
    readonly level: LogLevel;
    /** Values that every line carries. */
    readonly values: LogValues;
    /** Where the lines go; roarr's own output where omitted. */
    readonly sink?: logSink.LogSink;
    /** Called with each written line, for `agatebend watch`. */
    readonly onRecord?: (record: LogRecord) => void;
}

/**
 * Creates a logger that writes to standard output.
 * @param options - The level and the values of every line.
 */
export function createLogger(options: CreateLoggerOptions): Logger {
    const roarr = Roarr.child({ application: "agatebend", ...options.values });
    const minimum = logLevels.indexOf(options.level);
    let isQuiet = false;
    const { sink } = options;
    if (sink !== undefined) {
        ROARR.write = line => sink.writeLine(line, isQuiet);
    }
    const createWriter = (level: LogLevel) => (event: string, message: string, values: LogValues = {}) => {
        if (logLevels.indexOf(level) < minimum) {
            return;
        }
        isQuiet = logLevels.indexOf(level) < logLevels.indexOf("warn");
        // Roarr formats its message as printf does, so a percent sign in a value would be taken for a field.
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

/** Creates a logger that writes nothing. */
export function createSilentLogger(): Logger {
    const writeNothing = () => {};
    return { writeDebug: writeNothing, writeInfo: writeNothing, writeWarning: writeNothing, writeError: writeNothing };
}
