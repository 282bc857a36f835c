/** Validation of settings, with error messages that name the field, its value and the allowed values. */

import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import * as errors from "../kernel/errors.js";
import * as serveSettings from "./serveSettings.js";

const maximumValueCharacters = 80;
/** Fields of configurations whose values do not stand in messages, because they are keys or were mistaken for them. */
const secretFields: ReadonlySet<PropertyKey> = new Set(["keys", "keyDigests"]);

/**
 * Formats a zod issue as the field, its value and the allowed values.
 * @param input - The input that was validated, from which the value is taken.
 */
export function formatSchemaIssue(issue: z.core.$ZodIssue, input: unknown): string {
    const field = issue.path.map(String).join(".") || "(the document)";
    if (issue.code === "unrecognized_keys") {
        return `${field}: unknown field ${issue.keys.map(key => JSON.stringify(key)).join(", ")}; remove it or correct its name`;
    }
    const value = getValueAtPath(input, issue.path);
    const isSecret = typeof value === "string" && issue.path.some(part => secretFields.has(part));
    const description = value === undefined ? "missing" : isSecret ? `a string of ${value.length} characters` : `value ${formatValue(value)}`;
    return `${field}: ${description}: ${issue.message}`;
}

/**
 * Validates settings. The error message has one line for each invalid setting.
 * @param raw - Values by setting name, as given by flags and environment variables.
 */
export function checkServeSettings(raw: Readonly<Record<string, unknown>>): Result<serveSettings.ServeSettings, errors.FleetError> {
    const parsed = serveSettings.serveSettingsSchema.safeParse(raw);
    if (!parsed.success) {
        const lines = parsed.error.issues.map(issue => {
            const settingName = String(issue.path[0] ?? "");
            return `--${serveSettings.getFlagName(settingName)} (${serveSettings.getEnvironmentVariableName(settingName)}): ${formatSchemaIssue(issue, raw)}`;
        });
        return err(errors.createError("settingInvalid", lines.join("\n")));
    }
    return checkCombinations(parsed.data);
}

function checkCombinations(settings: serveSettings.ServeSettings): Result<serveSettings.ServeSettings, errors.FleetError> {
    if (settings.deadAfterMs <= settings.suspectAfterMs) {
        return err(errors.createError("settingInvalid", `--dead-after-ms: value ${settings.deadAfterMs}: must be above --suspect-after-ms, ${settings.suspectAfterMs}`));
    }
    if ((settings.tlsCertificateFile === "") !== (settings.tlsKeyFile === "")) {
        return err(errors.createError("settingInvalid", "--tls-certificate-file and --tls-key-file: set both or neither"));
    }
    return ok(settings);
}

function getValueAtPath(input: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], input);
}

/** Formats a value for an error message. A value that is not a plain one is only counted, because it may be large or deep. */
function formatValue(value: unknown): string {
    if (Array.isArray(value)) {
        return `an array of ${value.length} values`;
    }
    if (value instanceof Object) {
        return `an object of ${Object.keys(value).length} fields`;
    }
    return formatTruncated(JSON.stringify(value) ?? typeof value);
}

function formatTruncated(text: string): string {
    return text.length <= maximumValueCharacters ? text : `${text.slice(0, maximumValueCharacters)}... (${text.length} characters)`;
}
