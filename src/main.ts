/** The entry point of the program. */

import "./cli/catchSignals.js";
import "./cli/enableLogs.js";
import * as settingsFile from "./cli/settingsFile.js";
import * as version from "./version.generated.js";

/**
 * Runs the command. `serve` without flags but with a settings file bypasses the command-line parser, because loading the
 * parser would delay startup.
 */
async function runMain(args: readonly string[]): Promise<void> {
    if (args.length === 1 && args[0] === "serve" && process.env[settingsFile.settingsFileVariable] !== undefined) {
        const serve = await import("./cli/serve.js");
        return serve.runServe({});
    }
    const program = await import("./cli/program.js");
    return program.runProgram(args, version.version);
}

void runMain(process.argv.slice(2));
