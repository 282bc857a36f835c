/** Prints results for people or programs. */

import type * as errors from "../kernel/errors.js";
import * as exitStatus from "./exitStatus.js";

/** A row of a table; values print as they are. */
export type Row = Readonly<Record<string, string | number | boolean>>;

/**
 * Prints rows as a table.
 * @param rows - The rows; the first one's keys are the heading.
 */
export function printTable(rows: readonly Row[]): void {
    const [first] = rows;
    if (first === undefined) {
        process.stdout.write("(nothing)\n");
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
 * Prints a value as JSON.
 * @param value - Plain data.
 */
export function printJson(value: unknown): void {
    process.stdout.write(`${JSON.stringify(value, (_, field: unknown) => typeof field === "bigint" ? Number(field) : field, 4)}\n`);
}

/**
 * Prints an error and sets the exit status.
 * @param error - The error.
 * @param isJson - Whether to print JSON for programs.
 */
export function printError(error: errors.FleetError, isJson: boolean): void {
    process.stderr.write(isJson ? `${JSON.stringify({ error: error.kind, message: error.message })}\n` : `agatebend: ${error.kind}: ${error.message}\n`);
    const isInvalid = error.kind === "configurationInvalid" || error.kind === "settingInvalid" || error.kind === "badRequest";
    process.exitCode = isInvalid ? exitStatus.exitStatus.invalid : exitStatus.exitStatus.failure;
}
