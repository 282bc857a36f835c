/** The command line. */

import yargs, { type Argv } from "yargs";
import * as settings from "../settings/index.js";
import * as clientCommands from "./clientCommands.js";
import * as exitStatus from "./exitStatus.js";
import * as explainCommand from "./explainCommand.js";
import * as inspectionCommands from "./inspectionCommands.js";
import * as serve from "./serve.js";
import * as settingsFile from "./settingsFile.js";

const variablePrefix = "AGATEBEND_";

/** The flags that every client command has, and their defaults. */
const clientFlags = {
    operator: { type: "string", default: "127.0.0.1:9090", describe: "The operators' address of any instance, as HOST:PORT." },
    "secret-file": { type: "string", default: "", describe: "A file with the fleet's shared secret." },
    "tls-authority-file": { type: "string", default: "", describe: "PEM certificates that the operators' port is signed by; plain HTTP where empty." },
    json: { type: "boolean", default: false, describe: "Print JSON for programs." },
} as const;

const changeFlags = {
    "change-id": { type: "string", default: "", describe: "An identifier of the change; repeating it is safe. Random where empty." },
    "wait-ms": { type: "number", default: 5_000, describe: "The longest wait for the change to be in force everywhere, in milliseconds." },
} as const;

const allFlag = { type: "boolean", default: false, describe: "Ask every instance, not one." } as const;

/**
 * Parses the command line and runs its command.
 * @param words - The words after the program's name.
 * @param version - The program's version.
 */
export async function runProgram(words: readonly string[], version: string): Promise<void> {
    const unknown = listUnknownVariables();
    if (unknown.length > 0) {
        process.stderr.write(`agatebend: unknown environment variable ${unknown.join(", ")}; see agatebend COMMAND --help for those there are\n`);
        process.exitCode = exitStatus.exitStatus.invalid;
        return;
    }
    await yargs([...words])
        .scriptName("agatebend")
        .usage("$0 COMMAND [FLAGS]\n\nEvery flag is also an environment variable: --operator is AGATEBEND_OPERATOR.")
        .command("serve", "Run an instance.", addServeFlags, values => serve.runServe(readServeValues(values)))
        .command("apply <file>", "Replace the configuration by a file's.", command =>
            command
                .positional("file", { type: "string", demandOption: true, describe: "The configuration file, JSON." })
                .options(readDefaults({ ...clientFlags, ...changeFlags }))
                .option("base-version", { type: "number", default: 0, describe: "The version that the file is based on; 0 for the one in force." }), values => clientCommands.runApply(values))
        .command("get [section]", "Show a section of an instance's state.", command =>
            command
                .positional("section", { choices: ["configuration", "retired", "instances", "upstreams"] as const, default: "configuration" as const, describe: "What to show." })
                .options(readDefaults(clientFlags)), values => clientCommands.runGet(values))
        .command("retire <features..>", "Retire features; requests that name them are refused everywhere.", command =>
            command
                .positional("features", { type: "string", array: true, demandOption: true, describe: "The features' names." })
                .options(readDefaults({ ...clientFlags, ...changeFlags })), values => clientCommands.runRetire(values))
        .command("drain", "Stop new work to an instance or an upstream.", command =>
            command
                .options(readDefaults({ ...clientFlags, "change-id": changeFlags["change-id"] }))
                .option("instance", { type: "string", default: "", describe: "The instance's identifier; it finishes its work and stops." })
                .option("upstream", { type: "string", default: "", describe: "The upstream, as SERVICE/UPSTREAM." }), values => clientCommands.runDrain(values))
        .command("status", "Show the instances and the versions they have in force.", command => command.options(readDefaults(clientFlags)), values => clientCommands.runStatus(values))
        .command("dump", "Print the whole state of an instance as JSON.", command => command.options(readDefaults(clientFlags)).option("all", allFlag), values => inspectionCommands.runDump(values))
        .command("watch", "Follow the events of an instance, a line each.", command =>
            command
                .options(readDefaults(clientFlags))
                .option("all", allFlag)
                .option("for-ms", { type: "number", default: 0, describe: "How long to watch, in milliseconds; 0 has no end." }), values => inspectionCommands.runWatch(values))
        .command("check <file>", "Check a configuration file; exits with status 2 where it is invalid.", command =>
            command
                .positional("file", { type: "string", demandOption: true, describe: "The configuration file, JSON." })
                .option("json", clientFlags.json), values => clientCommands.runCheck(values))
        .command("explain <files..>", "Tell one request's story from the logs of several instances.", command =>
            command
                .positional("files", { type: "string", array: true, demandOption: true, describe: "Log files, JSON lines." })
                .option("request", { type: "string", demandOption: true, describe: "The request's identifier." }), values => explainCommand.runExplain(values))
        .demandCommand(1, "Name a command.")
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

/** Adds a flag for each setting; the schema checks the values. */
function addServeFlags(command: Argv): Argv {
    return settings.listSettingNames().reduce((extended, settingName) => {
        const schema = settings.serveSettingsSchema.shape[settingName];
        const byDefault = JSON.stringify(schema.parse(undefined));
        return extended.option(settings.getFlagName(settingName), { type: "string", requiresArg: true, describe: `${schema.description} [${settings.getEnvironmentVariableName(settingName)}, default ${byDefault}]` });
    }, command);
}

/** Takes each setting from its flag, or else from its environment variable. */
function readServeValues(values: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
    const pairs = settings.listSettingNames().map(settingName => [settingName, values[settings.getFlagName(settingName)] ?? process.env[settings.getEnvironmentVariableName(settingName)]] as const);
    return Object.fromEntries(pairs.filter(([, value]) => value !== undefined));
}

/** Takes the defaults of client flags from the environment. */
function readDefaults<T extends Readonly<Record<string, { readonly type: string; readonly default: unknown; }>>>(flags: T): T {
    const pairs = Object.entries(flags).map(([flag, definition]) => {
        const text = process.env[getClientVariable(flag)];
        return [flag, text === undefined ? definition : { ...definition, default: parseVariable(definition.type, text) }] as const;
    });
    return Object.fromEntries(pairs) as unknown as T;
}

function parseVariable(type: string, text: string): string | number | boolean {
    if (type === "boolean") {
        return text === "true" || text === "1";
    }
    return type === "number" ? Number(text) : text;
}

function getClientVariable(flag: string): string {
    return `${variablePrefix}${flag.replaceAll("-", "_").toUpperCase()}`;
}

function listUnknownVariables(): readonly string[] {
    const known = new Set([settingsFile.settingsFileVariable, ...settings.listSettingNames().map(settings.getEnvironmentVariableName), ...Object.keys({ ...clientFlags, ...changeFlags }).map(getClientVariable)]);
    return Object.keys(process.env).filter(variable => variable.startsWith(variablePrefix) && !known.has(variable));
}
