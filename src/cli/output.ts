/** Prints the results of commands as text or JSON. */

import type * as errors from "../kernel/errors.js";
import * as exitStatus from "./exitStatus.js";

/** The cells of a table row by column name. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/**
 * Prints rows as a table.
 * @param rows - The rows; the keys of the first row are the columns.
 */
export function printTable(rows: readonly Row[]): void {
    const [first] = rows;
    if (first === undefined) {
        process.stdout.write("(none)\n");
        return;
    }
    const columns = Object.keys(first);
    const lines = [columns.map(column => column.toUpperCase()), ...rows.map(row => columns.map(column => String(row[column] ?? "")))];
    const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]!.length)));
    for (const line of lines) {
        process.stdout.write(`${line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()}\n`);
    }
}

/**
 * Prints a value as indented JSON.
 * @param value - A value that can be represented as JSON; bigints are printed as numbers.
 */
export function printJson(value: unknown): void {
    process.stdout.write(`${JSON.stringify(value, (_, field: unknown) => typeof field === "bigint" ? Number(field) : field, 4)}\n`);
}

/**
 * Prints an error to standard error and sets the exit status.
 * @param error - The error.
 * @param isJson - Whether to print JSON instead of text.
 */
export function printError(error: errors.FleetError, isJson: boolean): void {
    process.stderr.write(isJson ? `${JSON.stringify({ error: error.kind, message: error.message })}\n` : `agatebend: ${error.kind}: ${error.message}\n`);
    const isInvalid = error.kind === "configurationInvalid" || error.kind === "settingInvalid" || error.kind === "badRequest";
    process.exitCode = isInvalid ? exitStatus.exitStatus.invalid : exitStatus.exitStatus.failure;
}
