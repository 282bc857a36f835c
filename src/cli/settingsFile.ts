/** A file of settings: a line for each, as FLAG=VALUE without the dashes. */

import * as fs from "node:fs";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";

/** The environment variable that names the file. */
export const settingsFileVariable = "AGATEBEND_CONFIG";

/**
 * Reads a file of settings.
 * @param path - The file; lines that are empty or begin with # say nothing, and an empty value leaves the default.
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
 * Parses the lines of a settings file into values by setting name.
 * @param text - The file's text.
 */
export function parseSettings(text: string): Result<Readonly<Record<string, string>>, errors.FleetError> {
    const namesByFlag = new Map(settings.listSettingNames().map(name => [settings.getFlagName(name), name]));
    const values: Record<string, string> = {};
    for (const [index, line] of text.split("\n").entries()) {
        const trimmed = line.trim();
        if (trimmed === "" || trimmed.startsWith("#")) {
            continue;
        }
        const equals = trimmed.indexOf("=");
        const name = namesByFlag.get(trimmed.slice(0, equals).trim());
        if (equals < 0 || name === undefined) {
            return err(errors.createError("settingInvalid", `line ${index + 1}: ${JSON.stringify(trimmed.slice(0, 80))} names no setting; write FLAG=VALUE with a flag of agatebend serve`));
        }
        const value = trimmed.slice(equals + 1).trim();
        if (value !== "") {
            values[name] = value;
        }
    }
    return ok(values);
}
