/** The commands that manage the fleet: apply, get, retire, drain and status. */

import * as fs from "node:fs";
import * as z from "zod";
import * as errors from "../kernel/errors.js";
import type * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";
import * as operatorClient from "./operatorClient.js";
import * as output from "./output.js";

const retiredSectionSchema = z.object({ retiredFeatures: z.array(z.string()), calls: z.array(z.looseObject({ feature: z.string() })) });
const upstreamsSectionSchema = z.record(z.string(), z.object({ upstreams: z.array(z.looseObject({})) }));

/** Options of the commands that change the configuration. */
export interface ChangeOptions extends operatorClient.ClientOptions {
    readonly changeId: string;
    readonly waitMs: number;
}

/**
 * Replaces the configuration with the contents of a file.
 * @param options - The file, the version it is based on, and the client's options.
 */
export async function runApply(options: ChangeOptions & { readonly file: string; readonly baseVersion: number; }): Promise<void> {
    const text = readConfigurationFile(options.file, options.json);
    if (text === undefined) {
        return;
    }
    const { rpc } = operatorClient.createOperatorClient(options);
    const response = await operatorClient.runRpcCall(() => rpc.apply({ configurationJson: text, baseVersion: BigInt(options.baseVersion), changeId: options.changeId, waitMs: options.waitMs }));
    response.match(change => printChange(change, options), error => output.printError(error, options.json));
}

/**
 * Prints a section of an instance's state.
 * @param options - The section and the client's options.
 */
export async function runGet(options: operatorClient.ClientOptions & { readonly section: string; }): Promise<void> {
    const { rpc } = operatorClient.createOperatorClient(options);
    const response = await operatorClient.runRpcCall(() => rpc.get({ section: options.section }));
    response.match(({ version, json }) => {
        const value = JSON.parse(json) as unknown;
        if (options.section === "configuration" || options.json) {
            output.printJson(options.json ? { version, [options.section]: value } : value);
            return;
        }
        process.stdout.write(`version ${version}\n`);
        output.printTable(createTableRows(value));
    }, error => output.printError(error, options.json));
}

/**
 * Retires features.
 * @param options - The features and the client's options.
 */
export async function runRetire(options: ChangeOptions & { readonly features: readonly string[]; }): Promise<void> {
    const { rpc } = operatorClient.createOperatorClient(options);
    const response = await operatorClient.runRpcCall(() => rpc.retire({ features: [...options.features], changeId: options.changeId, waitMs: options.waitMs }));
    response.match(change => printChange(change, options), error => output.printError(error, options.json));
}

/**
 * Drains an instance or an upstream.
 * @param options - What to drain and the client's options.
 */
export async function runDrain(options: operatorClient.ClientOptions & { readonly instance: string; readonly upstream: string; readonly changeId: string; }): Promise<void> {
    if ((options.instance === "") === (options.upstream === "")) {
        output.printError(errors.createError("badRequest", "drain: name either --instance ID or --upstream SERVICE/UPSTREAM"), options.json);
        return;
    }
    const { rpc } = operatorClient.createOperatorClient(options);
    const target = options.instance === "" ? { case: "upstream" as const, value: options.upstream } : { case: "instanceId" as const, value: options.instance };
    const response = await operatorClient.runRpcCall(() => rpc.drain({ target, changeId: options.changeId }));
    response.match(({ detail, version }) => {
        if (options.json) {
            output.printJson({ detail, version });
            return;
        }
        process.stdout.write(`${detail}${version === 0n ? "" : ` (version ${version})`}\n`);
    }, error => output.printError(error, options.json));
}

/**
 * Prints the instances and the configuration version that is active on each of them.
 * @param options - The client's options.
 */
export async function runStatus(options: operatorClient.ClientOptions): Promise<void> {
    const { rpc } = operatorClient.createOperatorClient(options);
    const response = await operatorClient.runRpcCall(() => rpc.status({}));
    response.match(status => {
        if (options.json) {
            output.printJson({
                instanceId: status.instanceId,
                version: status.version,
                instances: status.instances.map(({ instanceId, failureDomain, callerAddress, state, version }) => ({ instanceId, failureDomain, callerAddress, state, version })),
            });
            return;
        }
        process.stdout.write(`${status.instanceId} runs version ${status.version}\n`);
        output.printTable(status.instances.map(({ instanceId, failureDomain, callerAddress, state, version }) => ({ instance: instanceId, domain: failureDomain, callers: callerAddress, state, version: Number(version) })));
    }, error => output.printError(error, options.json));
}

function readConfigurationFile(file: string, isJson: boolean): string | undefined {
    try {
        return fs.readFileSync(file, "utf8");
    }
    catch (thrown) {
        output.printError(errors.createError("configurationInvalid", `${file}: ${errors.getErrorMessage(thrown)}`), isJson);
        return undefined;
    }
}

function printChange(change: operatorPb.ChangeResponse, options: ChangeOptions): void {
    const { version, changeId, instancesKnown, instancesInForce } = change;
    if (options.json) {
        output.printJson({ version, changeId, instancesKnown, instancesInForce });
        return;
    }
    process.stdout.write(`version ${version} (change ${changeId}) accepted; in force at ${instancesInForce} of ${instancesKnown} instances\n`);
}

/** Converts a section into table rows, one for each item; nested values are formatted as JSON. */
function createTableRows(value: unknown): readonly output.Row[] {
    const items = Array.isArray(value) ? value : listSectionItems(value);
    return items.map(item => {
        const fields = Object.entries(item as Record<string, unknown>);
        return Object.fromEntries(fields.map(([name, field]) => [name, typeof field === "object" ? JSON.stringify(field) : field as string | number | boolean]));
    });
}

/** Lists the items of the section `retired` or `upstreams`; retired features without calls are included. */
function listSectionItems(value: unknown): readonly unknown[] {
    const retired = retiredSectionSchema.safeParse(value);
    if (retired.success) {
        const { retiredFeatures, calls } = retired.data;
        const calledFeatures = new Set(calls.map(call => call.feature));
        const uncalledFeatures = retiredFeatures.filter(feature => !calledFeatures.has(feature)).map(feature => ({ feature, workspace: "", caller: "", count: 0, lastWallTimeMs: 0 }));
        return [...calls, ...uncalledFeatures];
    }
    const services = upstreamsSectionSchema.parse(value);
    return Object.entries(services).flatMap(([service, { upstreams }]) => upstreams.map(upstream => ({ service, ...upstream })));
}
