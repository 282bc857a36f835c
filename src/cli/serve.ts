/** The `serve` command, which runs an instance. */

import { ok, type Result } from "neverthrow";
import * as kernel from "../kernel/index.js";
import "../plugins.js";
import * as settings from "../settings/index.js";
import * as exitStatus from "./exitStatus.js";
import * as settingsFile from "./settingsFile.js";
import * as signals from "./signals.js";

/** How often the settings are read again to detect changes, in milliseconds. */
const settingsPollIntervalMs = 2_000;

/**
 * Runs an instance until SIGTERM, SIGINT or an operator stops it.
 * @param values - Raw settings by name, from flags and environment variables; they override the settings file.
 */
export async function runServe(values: Readonly<Record<string, unknown>>): Promise<void> {
    let stop = (): void => process.exit(exitStatus.exitStatus.success);
    signals.setHandler("SIGTERM", () => stop());
    signals.setHandler("SIGINT", () => stop());
    await signals.waitUntilHandled();
    const readSettings = () => readSettingsFileValues().andThen(fileValues => settings.checkServeSettings({ ...fileValues, ...values }));
    const settingsResult = readSettings();
    if (settingsResult.isErr()) {
        process.stderr.write(`agatebend: invalid settings\n${settingsResult.error.message}\n`);
        process.exitCode = exitStatus.exitStatus.invalid;
        return;
    }
    let instance: kernel.Kernel;
    try {
        instance = new kernel.Kernel(settingsResult.value);
        const started = instance;
        started.addStopListener(() => process.exit(exitStatus.exitStatus.success));
        stop = () => void started.drain();
        await started.start();
    }
    catch (thrown) {
        process.stderr.write(`agatebend: the instance failed to start: ${kernel.errors.getErrorMessage(thrown)}\n`);
        process.exit(exitStatus.exitStatus.failure);
    }
    watchSettings(instance, settingsResult.value, readSettings);
    process.on("uncaughtException", error => {
        instance.context.logger.writeError("uncaught-exception", error.message, { stack: error.stack });
    });
}

type SettingsResult = Result<settings.ServeSettings, kernel.errors.FleetError>;

function readSettingsFileValues(): ReturnType<typeof settingsFile.readSettingsFile> {
    const path = process.env[settingsFile.settingsFileVariable];
    return path === undefined ? ok({}) : settingsFile.readSettingsFile(path);
}

/** Reloads the settings after SIGHUP or a change of the settings file, and applies those that may change at run time. */
function watchSettings(instance: kernel.Kernel, initial: settings.ServeSettings, readSettings: () => SettingsResult): void {
    const { logger, loop } = instance.context;
    let activeSettingsText = JSON.stringify(initial);
    const reload = (cause: string) => {
        const settingsResult = readSettings();
        if (settingsResult.isErr()) {
            logger.writeError("settings-refused", `invalid settings were not applied: ${settingsResult.error.message}`, { cause });
            return;
        }
        const text = JSON.stringify(settingsResult.value);
        const isChanged = text !== activeSettingsText;
        activeSettingsText = text;
        if (isChanged || cause === "signal") {
            logger.writeInfo("settings-read", "the settings were reloaded; a change of the seeds applies now, any other change at the next start", { cause, isChanged });
        }
        instance.setSettings(settingsResult.value);
    };
    signals.setHandler("SIGHUP", () => reload("signal"));
    loop.scheduleRepeatedly(settingsPollIntervalMs, () => reload("file"));
}
