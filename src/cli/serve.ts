/** The command that runs an instance. */

import * as kernel from "../kernel/index.js";
import "../plugins.js";
import * as settings from "../settings/index.js";
import * as exitStatus from "./exitStatus.js";

/**
 * Runs an instance until it is told to stop.
 * @param values - Raw settings by name.
 */
export async function runServe(values: Readonly<Record<string, unknown>>): Promise<void> {
    const checked = settings.checkServeSettings(values);
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
        process.stderr.write(`agatebend: the instance could not start: ${kernel.errors.getThrownMessage(thrown)}\n`);
        process.exit(exitStatus.exitStatus.failure);
    }
    const stop = () => void instance.drain();
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    instance.addStopListener(() => process.exit(exitStatus.exitStatus.success));
    process.on("uncaughtException", error => {
        instance.context.logger.writeError("uncaught-exception", error.message, { stack: error.stack });
    });
}
