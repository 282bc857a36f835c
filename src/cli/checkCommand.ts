/** The `check` command, which checks a configuration file before it is sent. */

import * as fs from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import * as configuration from "../configuration/index.js";
import * as boundedJson from "../kernel/boundedJson.js";
import * as errors from "../kernel/errors.js";
import * as exitStatus from "./exitStatus.js";
import * as operatorClient from "./operatorClient.js";
import * as output from "./output.js";

/** Options of the `check` command. */
export interface CheckOptions extends Omit<operatorClient.ClientOptions, "operator"> {
    readonly file: string;
    /** A file, or the operator address of an instance, whose configuration the file is compared with; empty for none. */
    readonly against: string;
    /** Whether warnings make the command fail. */
    readonly strict: boolean;
    readonly output: string;
}

type Document = configuration.ConfigurationDocument;

/** The result of reading a document: the document, or why it is none. */
type ReadDocument = Result<Document, readonly configuration.Finding[]>;

/**
 * Checks a configuration file, and compares it with another one or with the version in force at an instance.
 * @param options - The file, what to compare it with, and the form of the output.
 */
export async function runCheck(options: CheckOptions): Promise<void> {
    const isJson = options.json || options.output === "json";
    const document = readDocumentFile(options.file);
    const differences = document.isErr() || options.against === "" ? ok([]) : await listDifferences({ ...options, json: isJson }, document.value);
    if (differences.isErr()) {
        output.printError(differences.error, isJson);
        return;
    }
    const list = document.match(value => [...configuration.listWarnings(value), ...differences.value], problems => problems);
    if (isJson) {
        output.printJson({ valid: document.isOk(), ...document.map(countEntries).unwrapOr({}), findings: list });
    }
    else {
        printText(options.file, document, list);
    }
    process.exitCode = getExitStatus(list, options.strict);
}

/** Returns the exit status of a check: 2 with errors, 1 with warnings if they count, else 0. */
export function getExitStatus(list: readonly configuration.Finding[], isStrict: boolean): number {
    const severities = new Set(list.map(({ severity }) => severity));
    if (severities.has("error")) {
        return exitStatus.exitStatus.invalid;
    }
    return isStrict && severities.has("warning") ? exitStatus.exitStatus.failure : exitStatus.exitStatus.success;
}

function countEntries(document: Document) {
    return {
        services: Object.keys(document.services).length,
        upstreams: Object.values(document.services).reduce((sum, service) => sum + service.upstreams.length, 0),
        routes: document.routes.length,
        ranks: document.ranks.length,
        workspaces: Object.keys(document.workspaces).length,
        retiredFeatures: document.retiredFeatures.length,
    };
}

/** Prints errors to standard error, and all else to standard output. */
function printText(file: string, document: ReadDocument, list: readonly configuration.Finding[]): void {
    if (document.isOk()) {
        process.stdout.write(`${file} is valid\n`);
        output.printTable([countEntries(document.value)]);
    }
    for (const finding of list) {
        const line = `${finding.severity} ${finding.code}: ${configuration.formatFinding(finding)}\n`;
        match(finding.severity)
            .with("error", () => process.stderr.write(line))
            .with("warning", "change", () => process.stdout.write(line))
            .exhaustive();
    }
}

async function listDifferences(options: CheckOptions, document: Document): Promise<Result<readonly configuration.Finding[], errors.FleetError>> {
    const read = fs.existsSync(options.against) ? readDocumentFile(options.against) : await readDocumentInForce(options);
    return read.map(before => configuration.listDifferences(before, document)).mapErr(([problem]) =>
        errors.createError("configurationInvalid", `${options.against}: ${problem === undefined ? "no configuration" : configuration.formatFinding(problem)}`)
    );
}

async function readDocumentInForce(options: CheckOptions): Promise<ReadDocument> {
    const { rpc } = operatorClient.createOperatorClient({ ...options, operator: options.against });
    const response = await operatorClient.runRpcCall(() => rpc.get({ section: "configuration" }));
    return response.mapErr(error => [createUnreadableFinding(error.message)]).andThen(({ json }) => parseDocument(json));
}

function readDocumentFile(file: string): ReadDocument {
    try {
        return parseDocument(fs.readFileSync(file, "utf8"));
    }
    catch (thrown) {
        return err([createUnreadableFinding(`${file}: ${errors.getErrorMessage(thrown)}`)]);
    }
}

function parseDocument(text: string): ReadDocument {
    return boundedJson.parseJson(text).mapErr(error => [createUnreadableFinding(error.message)]).andThen(configuration.findDocumentErrors);
}

function createUnreadableFinding(message: string): configuration.Finding {
    return configuration.createFinding("error", "document-unreadable", "(the document)", message);
}
