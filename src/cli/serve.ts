/** The command that runs an instance. */

import { ok, type Result } from "neverthrow";
import * as kernel from "../kernel/index.js";
import "../plugins.js";
import * as settings from "../settings/index.js";
import * as exitStatus from "./exitStatus.js";
import * as settingsFile from "./settingsFile.js";

/** Milliseconds between two looks at whether the settings file has changed without a signal. */
const fileLookMs = 2_000;

/**
 * Runs an instance until it is told to stop.
 * @param values - Raw settings by name, from flags and environment; they go before those of the settings file.
 */
export async function runServe(values: Readonly<Record<string, unknown>>): Promise<void> {
    const readSettings = () => readFileValues().andThen(fromFile => settings.checkServeSettings({ ...fromFile, ...values }));
    const checked = readSettings();
    if (checked.isErr()) {
        process.stderr.write(`agatebend: invalid settings\n${checked.error.message}\n`);
        process.exitCode = exitStatus.exitStatus.invalid;
        return;
    }
    let instance: kernel.Kernel;
    try {
        instance = new kernel.Kernel(checked.value);
        await instance.start();
    }
    catch (thrown) {
        process.stderr.write(`agatebend: the instance could not start: ${kernel.errors.getErrorMessage(thrown)}\n`);
        process.exit(exitStatus.exitStatus.failure);
    }
    watchSettings(instance, checked.value, readSettings);
    const stop = () => void instance.drain();
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    instance.addStopListener(() => process.exit(exitStatus.exitStatus.success));
    process.on("uncaughtException", error => {
        instance.context.logger.writeError("uncaught-exception", error.message, { stack: error.stack });
    });
}

type CheckedSettings = Result<settings.ServeSettings, kernel.errors.FleetError>;

function readFileValues(): ReturnType<typeof settingsFile.readSettingsFile> {
    const path = process.env[settingsFile.settingsFileVariable];
    return path === undefined ? ok({}) : settingsFile.readSettingsFile(path);
}

/** Reads the settings again after SIGHUP or a change of their file, and applies what may change in a running process. */
function watchSettings(instance: kernel.Kernel, initial: settings.ServeSettings, readSettings: () => CheckedSettings): void {
    const { logger, loop } = instance.context;
    let inForce = JSON.stringify(initial);
    const reload = (cause: string) => {
        const read = readSettings();
        if (read.isErr()) {
            logger.writeError("settings-refused", `the changed settings are left out: ${read.error.message}`, { cause });
            return;
        }
        const text = JSON.stringify(read.value);
        const isChanged = text !== inForce;
        inForce = text;
        if (isChanged || cause === "signal") {
            logger.writeInfo("settings-read", "the settings were read again; a change of seeds is in force, any other at the next start", { cause, isChanged });
        }
        instance.setSettings(read.value);
    };
    process.on("SIGHUP", () => reload("signal"));
    loop.scheduleRepeatedly(fileLookMs, () => reload("file"));
}
