/** Reads the settings file, which has one FLAG=VALUE per line; flags are written without leading dashes. */

import * as fs from "node:fs";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";

/** The environment variable that holds the path of the settings file. */
export const settingsFileVariable = "AGATEBEND_CONFIG";

/**
 * Reads a settings file.
 * @param path - The path of the file.
 */
export function readSettingsFile(path: string): Result<Readonly<Record<string, string>>, errors.FleetError> {
    let text: string;
    try {
        text = fs.readFileSync(path, "utf8");
    }
    catch (thrown) {
        return err(errors.createError("settingInvalid", `${path}: ${errors.getErrorMessage(thrown)}`));
    }
    return parseSettings(text).mapErr(error => errors.createError("settingInvalid", `${path}: ${error.message}`));
}

/**
 * Parses a settings file into raw values by setting name. Empty lines and lines that begin with # are ignored. A setting
 * with an empty value is omitted, so that its default applies.
 * @param text - The contents of the file.
 */
export function parseSettings(text: string): Result<Readonly<Record<string, string>>, errors.FleetError> {
    const namesByFlag = new Map(settings.listSettingNames().map(name => [settings.getFlagName(name), name]));
    const values: Record<string, string> = {};
    for (const [index, line] of text.split("\n").entries()) {
        const trimmed = line.trim();
        if (trimmed === "" || trimmed.startsWith("#")) {
            continue;
        }
        const separatorIndex = trimmed.indexOf("=");
        const name = namesByFlag.get(trimmed.slice(0, separatorIndex).trim());
        if (separatorIndex < 0 || name === undefined) {
            return err(errors.createError("settingInvalid", `line ${index + 1}: ${JSON.stringify(trimmed.slice(0, 80))} names no setting; expected FLAG=VALUE, where FLAG is a flag of agatebend serve`));
        }
        const value = trimmed.slice(separatorIndex + 1).trim();
        if (value !== "") {
            values[name] = value;
        }
    }
    return ok(values);
}
