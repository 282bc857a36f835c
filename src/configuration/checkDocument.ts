/** Validates a configuration document: the schema first, then the rules that involve several fields. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";
import * as findings from "./findings.js";
import * as schema from "./schema.js";

const maximumReportedProblems = 20;
const versionedDocumentSchema = z.strictObject({ version: z.number().int().positive(), document: z.unknown() });

/**
 * Validates a parsed JSON document and fills in defaults. The error message lists the problems, one a line.
 * @param input - Parsed JSON.
 */
export function checkDocument(input: unknown): Result<schema.ConfigurationDocument, errors.FleetError> {
    return findDocumentErrors(input).mapErr(problems => createInvalidError(problems.map(findings.formatFinding)));
}

/**
 * Validates a parsed JSON document and fills in defaults. Returns all errors if it is invalid.
 * @param input - Parsed JSON.
 */
export function findDocumentErrors(input: unknown): Result<schema.ConfigurationDocument, readonly findings.Finding[]> {
    const parsed = schema.documentSchema.safeParse(input);
    if (!parsed.success) {
        return err(parsed.error.issues.map(issue => {
            const path = issue.path.map(String).join(".") || "(the document)";
            return createError(issue.code === "unrecognized_keys" ? "field-unknown" : "field-invalid", path, settings.formatSchemaIssue(issue, input).slice(path.length + ": ".length));
        }));
    }
    const problems = [
        ...checkRanks(parsed.data),
        ...Object.entries(parsed.data.services).flatMap(([name, service]) => checkService(name, service)),
        ...checkRoutes(parsed.data),
        ...checkWorkspaces(parsed.data),
    ];
    return problems.length === 0 ? ok(parsed.data) : err(problems);
}

/** Parses and validates a document given as JSON text. */
export function parseDocument(text: string): Result<schema.ConfigurationDocument, errors.FleetError> {
    return parseDocumentJson(text).andThen(checkDocument);
}

/** Parses JSON text of the form `{"version": N, "document": {...}}`. The document itself is not validated. */
export function parseVersionedDocument(text: string): Result<z.infer<typeof versionedDocumentSchema>, errors.FleetError> {
    return parseDocumentJson(text).andThen(input => {
        const parsed = versionedDocumentSchema.safeParse(input);
        return parsed.success ? ok(parsed.data) : err(createInvalidError(parsed.error.issues.map(issue => settings.formatSchemaIssue(issue, input))));
    });
}

function parseDocumentJson(text: string): Result<unknown, errors.FleetError> {
    return boundedJson.parseJson(text).mapErr(error => errors.createError("configurationInvalid", error.message));
}

const createError = (code: string, path: string, message: string) => findings.createFinding("error", code, path, message);

function createInvalidError(problems: readonly string[]): errors.FleetError {
    const omitted = problems.length - maximumReportedProblems;
    const lines = omitted > 0 ? [...problems.slice(0, maximumReportedProblems), `and ${omitted} more`] : problems;
    return errors.createError("configurationInvalid", lines.join("\n"));
}

function checkRanks(document: schema.ConfigurationDocument): readonly findings.Finding[] {
    const totalShare = document.ranks.reduce((sum, rank) => sum + rank.guaranteedShare, 0);
    const problems = listDuplicates(document.ranks.map(rank => rank.name)).map(name => createError("rank-name-repeated", "ranks", `the name ${name} is used twice; names must differ`));
    if (totalShare > 1 + Number.EPSILON * document.ranks.length) {
        problems.push(createError("rank-shares-above-one", "ranks", `the guaranteedShare values add up to ${totalShare}; at most 1 is allowed`));
    }
    if (totalShare === 0) {
        problems.push(createError("rank-shares-zero", "ranks", "every guaranteedShare is 0; give at least one rank a share above 0"));
    }
    return problems;
}

function checkService(name: string, service: schema.ServiceDefinition): readonly findings.Finding[] {
    const field = `services.${name}`;
    const problems = [
        ...listDuplicates(service.upstreams.map(upstream => upstream.id)).map(id => createError("upstream-id-repeated", `${field}.upstreams`, `the id ${id} is used twice; ids must differ`)),
        ...listDuplicates(service.upstreams.map(upstream => upstream.address)).map(address => createError("upstream-address-repeated", `${field}.upstreams`, `the address ${address} is used twice; addresses must differ`)),
    ];
    if (service.floor > service.upstreams.length) {
        problems.push(createError("floor-above-upstreams", `${field}.floor`, `value ${service.floor}: must be at most the number of upstreams, ${service.upstreams.length}`));
    }
    return problems;
}

function checkRoutes(document: schema.ConfigurationDocument): readonly findings.Finding[] {
    const ranks = new Set(document.ranks.map(rank => rank.name));
    const problems = listDuplicates(document.routes.map(route => route.name)).map(name => createError("route-name-repeated", "routes", `the name ${name} is used twice; names must differ`));
    const matches = document.routes.flatMap(route => listHosts(route).flatMap(host => route.methods.map(method => `${method} ${host}${route.pathPrefix}`)));
    problems.push(...listDuplicates(matches).map(match => createError("route-match-repeated", "routes", `two routes match ${match}; remove one of them`)));
    for (const [index, route] of document.routes.entries()) {
        problems.push(...checkTargets(route, `routes.${index}`, document));
        if (!ranks.has(route.rank)) {
            problems.push(createError("rank-unknown", `routes.${index}.rank`, `value "${route.rank}": no such rank; allowed: ${[...ranks].join(", ")}`));
        }
    }
    return problems;
}

function checkWorkspaces(document: schema.ConfigurationDocument): readonly findings.Finding[] {
    const ranks = new Set(document.ranks.map(rank => rank.name));
    const problems: findings.Finding[] = [];
    const ownerByDigest = new Map<string, string>();
    for (const [name, { keyDigests, rank }] of Object.entries(document.workspaces)) {
        if (rank !== undefined && !ranks.has(rank)) {
            problems.push(createError("rank-unknown", `workspaces.${name}.rank`, `value "${rank}": no such rank; allowed: ${[...ranks].join(", ")}`));
        }
        for (const digest of keyDigests) {
            const owner = ownerByDigest.get(digest);
            if (owner !== undefined) {
                problems.push(createError("key-shared", `workspaces.${name}.keyDigests`, `the digest beginning with ${digest.slice(0, 8)} is also held by the workspace ${owner}; a key names one workspace`));
            }
            ownerByDigest.set(digest, name);
        }
    }
    return problems;
}

function checkTargets(route: schema.RouteDefinition, field: string, document: schema.ConfigurationDocument): readonly findings.Finding[] {
    if ((route.service === undefined) === (route.split.length === 0)) {
        return [createError("route-target-unclear", field, "give either service or split")];
    }
    const allowed = Object.keys(document.services).join(", ");
    const references = route.service === undefined ? route.split.map((target, index) => ({ at: `${field}.split.${index}.service`, service: target.service })) : [{ at: `${field}.service`, service: route.service }];
    const problems = references.filter(({ service }) => !Object.hasOwn(document.services, service)).map(({ at, service }) => createError("service-unknown", at, `value "${service}": no such service; allowed: ${allowed}`));
    const totalWeight = route.split.reduce((sum, target) => sum + target.weight, 0);
    return route.split.length > 0 && totalWeight === 0 ? [...problems, createError("split-weights-zero", `${field}.split`, "every weight is 0; give at least one service a weight above 0")] : problems;
}

function listHosts(route: schema.RouteDefinition): readonly string[] {
    return route.hosts.length === 0 ? [""] : route.hosts;
}

function listDuplicates(values: readonly string[]): string[] {
    const seen = new Set<string>();
    const duplicates = new Set<string>();
    for (const value of values) {
        (seen.has(value) ? duplicates : seen).add(value);
    }
    return [...duplicates];
}
