/** Defines the command line: commands, flags and their environment variables. */

import yargs, { type Argv } from "yargs";
import * as settings from "../settings/index.js";
import * as checkCommand from "./checkCommand.js";
import * as clientCommands from "./clientCommands.js";
import * as exitStatus from "./exitStatus.js";
import * as explainCommand from "./explainCommand.js";
import * as inspectionCommands from "./inspectionCommands.js";
import * as serve from "./serve.js";
import * as settingsFile from "./settingsFile.js";

const environmentVariablePrefix = "AGATEBEND_";

/** The flags that all client commands share. */
const clientFlags = {
    operator: { type: "string", default: "127.0.0.1:9090", describe: "The operator address of any instance, as HOST:PORT." },
    "secret-file": { type: "string", default: "", describe: "A file with the shared secret of the fleet; none if empty." },
    "tls-authority-file": { type: "string", default: "", describe: "A file with the PEM certificate of the authority that signed the instance's certificate; plain HTTP if empty." },
    json: { type: "boolean", default: false, describe: "Print JSON instead of text." },
} as const;

const changeFlags = {
    "change-id": { type: "string", default: "", describe: "An identifier of the change, which makes retries safe; random if empty." },
    "wait-ms": { type: "number", default: 5_000, describe: "How long to wait for the change to become active on all instances, in milliseconds." },
} as const;

const allFlag = { type: "boolean", default: false, describe: "Ask all instances instead of one." } as const;

/**
 * Parses the command line and runs its command.
 * @param args - The arguments after the program's name.
 * @param version - The program's version.
 */
export async function runProgram(args: readonly string[], version: string): Promise<void> {
    const unknownVariables = listUnknownEnvironmentVariables();
    if (unknownVariables.length > 0) {
        process.stderr.write(`agatebend: unknown environment variable ${unknownVariables.join(", ")}; agatebend COMMAND --help lists the flags and their variables\n`);
        process.exitCode = exitStatus.exitStatus.invalid;
        return;
    }
    await yargs([...args])
        .scriptName("agatebend")
        .usage("$0 COMMAND [FLAGS]\n\nEvery flag is also an environment variable: --operator is AGATEBEND_OPERATOR.")
        .command("serve", "Run an instance.", addServeFlags, values => serve.runServe(readServeValues(values)))
        .command("apply <file>", "Replace the configuration with the contents of a file.", command =>
            command
                .positional("file", { type: "string", demandOption: true, describe: "The configuration file, as JSON." })
                .options(applyEnvironmentDefaults({ ...clientFlags, ...changeFlags }))
                .option("base-version", { type: "number", default: 0, describe: "The version that the file is based on; 0 for the active one." }), values => clientCommands.runApply(values))
        .command("get [section]", "Show one section of the state of an instance.", command =>
            command
                .positional("section", { choices: ["configuration", "retired", "instances", "upstreams"] as const, default: "configuration" as const, describe: "The section to show." })
                .options(applyEnvironmentDefaults(clientFlags)), values => clientCommands.runGet(values))
        .command("retire <features..>", "Retire features; all instances reject requests for them.", command =>
            command
                .positional("features", { type: "string", array: true, demandOption: true, describe: "The names of the features." })
                .options(applyEnvironmentDefaults({ ...clientFlags, ...changeFlags })), values => clientCommands.runRetire(values))
        .command("drain", "Stop sending new requests to an instance or an upstream.", command =>
            command
                .options(applyEnvironmentDefaults({ ...clientFlags, "change-id": changeFlags["change-id"] }))
                .option("instance", { type: "string", default: "", describe: "The identifier of an instance; it finishes its requests in flight and stops." })
                .option("upstream", { type: "string", default: "", describe: "An upstream, as SERVICE/UPSTREAM." }), values => clientCommands.runDrain(values))
        .command("status", "Show the instances and the configuration version that is active on each of them.", command => command.options(applyEnvironmentDefaults(clientFlags)), values => clientCommands.runStatus(values))
        .command("dump", "Print the complete state of an instance as JSON.", command => command.options(applyEnvironmentDefaults(clientFlags)).option("all", allFlag), values => inspectionCommands.runDump(values))
        .command("watch", "Print the events of an instance as they occur, one per line.", command =>
            command
                .options(applyEnvironmentDefaults(clientFlags))
                .option("all", allFlag)
                .option("for-ms", { type: "number", default: 0, describe: "How long to watch, in milliseconds; 0 watches until interrupted." }), values => inspectionCommands.runWatch(values))
        .command("check <file>", "Check a configuration file before it is sent; the exit status is 2 if it is invalid, and 1 if it has warnings and --strict is given.", command =>
            command
                .positional("file", { type: "string", demandOption: true, describe: "The configuration file, as JSON." })
                .options(applyEnvironmentDefaults({ "secret-file": clientFlags["secret-file"], "tls-authority-file": clientFlags["tls-authority-file"], json: clientFlags.json }))
                .option("against", { type: "string", default: "", describe: "A configuration file, or the operator address of an instance, to list the differences from." })
                .option("strict", { type: "boolean", default: false, describe: "Fail if there are warnings." })
                .option("output", { choices: ["text", "json"] as const, default: "text" as const, describe: "The form of the output; json is the same as --json." }), values => checkCommand.runCheck(values))
        .command("explain <files..>", "Print the log lines of several instances that explain one request.", command =>
            command
                .positional("files", { type: "string", array: true, demandOption: true, describe: "Log files with one JSON object per line." })
                .option("request", { type: "string", demandOption: true, describe: "The identifier of the request." }), values => explainCommand.runExplain(values))
        .demandCommand(1, "A command is required.")
        .strict()
        .version(version)
        .help()
        .wrap(160)
        .fail((message, error) => {
            process.stderr.write(`agatebend: ${message ?? error?.message}\nSee agatebend --help.\n`);
            process.exit(exitStatus.exitStatus.invalid);
        })
        .parseAsync();
}

/** Adds a string flag for each setting; the settings schema validates the values later. */
function addServeFlags(command: Argv): Argv {
    return settings.listSettingNames().reduce((commandWithFlags, settingName) => {
        const schema = settings.serveSettingsSchema.shape[settingName];
        const defaultText = JSON.stringify(schema.parse(undefined));
        return commandWithFlags.option(settings.getFlagName(settingName), { type: "string", requiresArg: true, describe: `${schema.description} [${settings.getEnvironmentVariableName(settingName)}, default ${defaultText}]` });
    }, command);
}

/** Reads each setting from its flag or, if that is absent, from its environment variable. */
function readServeValues(values: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    const pairs = settings.listSettingNames().map(settingName => [settingName, values[settings.getFlagName(settingName)] ?? process.env[settings.getEnvironmentVariableName(settingName)]] as const);
    return Object.fromEntries(pairs.filter(([, value]) => value !== undefined));
}

/** Replaces the defaults of client flags with the values of their environment variables. */
function applyEnvironmentDefaults<T extends Readonly<Record<string, { readonly type: string; readonly default: unknown; }>>>(flags: T): T {
    const pairs = Object.entries(flags).map(([flag, definition]) => {
        const text = process.env[getClientVariableName(flag)];
        return [flag, text === undefined ? definition : { ...definition, default: parseEnvironmentValue(definition.type, text) }] as const;
    });
    return Object.fromEntries(pairs) as unknown as T;
}

function parseEnvironmentValue(type: string, text: string): string | number | boolean {
    if (type === "boolean") {
        return text === "true" || text === "1";
    }
    return type === "number" ? Number(text) : text;
}

function getClientVariableName(flag: string): string {
    return `${environmentVariablePrefix}${flag.replaceAll("-", "_").toUpperCase()}`;
}

function listUnknownEnvironmentVariables(): readonly string[] {
    const knownVariables = new Set([settingsFile.settingsFileVariable, ...settings.listSettingNames().map(settings.getEnvironmentVariableName), ...Object.keys({ ...clientFlags, ...changeFlags }).map(getClientVariableName)]);
    return Object.keys(process.env).filter(variable => variable.startsWith(environmentVariablePrefix) && !knownVariables.has(variable));
}
