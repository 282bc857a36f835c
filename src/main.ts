/** The program's entry. */

import "./cli/enableLogs.js";
import * as settingsFile from "./cli/settingsFile.js";
import * as version from "./version.generated.js";

/**
 * Runs the command. A bare `serve` whose settings stand in a file needs no command line parser, whose loading would
 * delay each start.
 */
async function runMain(words: readonly string[]): Promise<void> {
    if (words.length === 1 && words[0] === "serve" && process.env[settingsFile.settingsFileVariable] !== undefined) {
        const serve = await import("./cli/serve.js");
        return serve.runServe({});
    }
    const program = await import("./cli/program.js");
    return program.runProgram(words, version.version);
}

void runMain(process.argv.slice(2));
