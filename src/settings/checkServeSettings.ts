/** Checks settings and names what is wrong with them. */

import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import * as errors from "../kernel/errors.js";
import * as serveSettings from "./serveSettings.js";

const maximumShownLength = 80;

/**
 * Describes a zod issue with the field, the value and what is allowed.
 * @param issue - The issue.
 * @param input - The checked input.
 */
export function formatSchemaIssue(issue: z.core.$ZodIssue, input: unknown): string {
    const field = issue.path.map(String).join(".") || "(the document)";
    if (issue.code === "unrecognized_keys") {
        return `${field}: unknown field ${issue.keys.map(key => JSON.stringify(key)).join(", ")}; remove it or correct its name`;
    }
    const value = getValue(input, issue.path);
    const shown = value === undefined ? "missing" : `value ${formatShort(JSON.stringify(value) ?? typeof value)}`;
    return `${field}: ${shown}: ${issue.message}`;
}

/**
 * Checks raw settings.
 * @param raw - Values by setting name, as text from flags and environment.
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
    return checkTogether(parsed.data);
}

function checkTogether(settings: serveSettings.ServeSettings): Result<serveSettings.ServeSettings, errors.FleetError> {
    if (settings.deadAfterMs <= settings.suspectAfterMs) {
        return err(errors.createError("settingInvalid", `--dead-after-ms: value ${settings.deadAfterMs}: must be above --suspect-after-ms, ${settings.suspectAfterMs}`));
    }
    if ((settings.tlsCertificateFile === "") !== (settings.tlsKeyFile === "")) {
        return err(errors.createError("settingInvalid", "--tls-certificate-file and --tls-key-file: set both or neither"));
    }
    return ok(settings);
}

function getValue(input: unknown, path: readonly PropertyKey[]): unknown {
    return path.reduce<unknown>((value, key) => (value as Record<PropertyKey, unknown> | undefined)?.[key], input);
}

function formatShort(text: string): string {
    return text.length <= maximumShownLength ? text : `${text.slice(0, maximumShownLength)}... (${text.length} characters)`;
}
