/** Checks a configuration document: its schema first, then what its parts say of each other. */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import * as errors from "../kernel/errors.js";
import * as settings from "../settings/index.js";
import * as schema from "./schema.js";

const maximumReported = 20;
const envelopeSchema = z.strictObject({ version: z.number().int().positive(), document: z.unknown() });

/**
 * Checks a document.
 * @param input - Parsed JSON.
 */
export function checkDocument(input: unknown): Result<schema.ConfigurationDocument, errors.FleetError> {
    const parsed = schema.documentSchema.safeParse(input);
    if (!parsed.success) {
        return createFailure(parsed.error.issues.map(issue => settings.formatSchemaIssue(issue, input)));
    }
    const problems = [
        ...checkRanks(parsed.data),
        ...Object.entries(parsed.data.services).flatMap(([name, service]) => checkService(name, service)),
        ...checkRoutes(parsed.data),
    ];
    return problems.length === 0 ? ok(parsed.data) : createFailure(problems);
}

/**
 * Parses and checks a document's text.
 * @param text - JSON.
 */
export function parseDocument(text: string): Result<schema.ConfigurationDocument, errors.FleetError> {
    return parseJson(text).andThen(checkDocument);
}

/**
 * Parses a document that stands beside its version; the document itself is not checked.
 * @param text - JSON.
 */
export function parseVersionedDocument(text: string): Result<z.infer<typeof envelopeSchema>, errors.FleetError> {
    return parseJson(text).andThen(input => {
        const parsed = envelopeSchema.safeParse(input);
        return parsed.success ? ok(parsed.data) : createFailure(parsed.error.issues.map(issue => settings.formatSchemaIssue(issue, input)));
    });
}

function parseJson(text: string): Result<unknown, errors.FleetError> {
    try {
        return ok(JSON.parse(text));
    }
    catch (thrown) {
        return err(errors.createError("configurationInvalid", `the document is not JSON: ${errors.getErrorMessage(thrown)}`));
    }
}

function createFailure(problems: readonly string[]): Result<never, errors.FleetError> {
    const more = problems.length - maximumReported;
    const lines = more > 0 ? [...problems.slice(0, maximumReported), `and ${more} more`] : problems;
    return err(errors.createError("configurationInvalid", lines.join("\n")));
}

function checkRanks(document: schema.ConfigurationDocument): readonly string[] {
    const total = document.ranks.reduce((sum, rank) => sum + rank.guaranteedShare, 0);
    const problems = listRepeated(document.ranks.map(rank => rank.name)).map(name => `ranks: the name ${name} is used twice; names must differ`);
    if (total > 1 + Number.EPSILON * document.ranks.length) {
        problems.push(`ranks: the guaranteedShare values add up to ${total}; at most 1 is allowed`);
    }
    if (total === 0) {
        problems.push("ranks: every guaranteedShare is 0; give at least one rank a share above 0");
    }
    return problems;
}

function checkService(name: string, service: schema.ServiceDefinition): readonly string[] {
    const field = `services.${name}`;
    const problems = [
        ...listRepeated(service.upstreams.map(upstream => upstream.id)).map(id => `${field}.upstreams: the id ${id} is used twice; ids must differ`),
        ...listRepeated(service.upstreams.map(upstream => upstream.address)).map(address => `${field}.upstreams: the address ${address} is used twice; addresses must differ`),
    ];
    if (service.floor > service.upstreams.length) {
        problems.push(`${field}.floor: value ${service.floor}: must be at most the number of upstreams, ${service.upstreams.length}`);
    }
    return problems;
}

function checkRoutes(document: schema.ConfigurationDocument): readonly string[] {
    const ranks = new Set(document.ranks.map(rank => rank.name));
    const problems = listRepeated(document.routes.map(route => route.name)).map(name => `routes: the name ${name} is used twice; names must differ`);
    const matches = document.routes.flatMap(route => listHosts(route).flatMap(host => route.methods.map(method => `${method} ${host}${route.pathPrefix}`)));
    problems.push(...listRepeated(matches).map(match => `routes: two routes match ${match}; one of them must go`));
    for (const [index, route] of document.routes.entries()) {
        problems.push(...checkTargets(route, `routes.${index}`, document));
        if (!ranks.has(route.rank)) {
            problems.push(`routes.${index}.rank: value "${route.rank}": no such rank; allowed: ${[...ranks].join(", ")}`);
        }
    }
    return problems;
}

function checkTargets(route: schema.RouteDefinition, field: string, document: schema.ConfigurationDocument): readonly string[] {
    if ((route.service === undefined) === (route.split.length === 0)) {
        return [`${field}: give either service or split`];
    }
    const allowed = Object.keys(document.services).join(", ");
    const named = route.service === undefined ? route.split.map((part, index) => ({ at: `${field}.split.${index}.service`, service: part.service })) : [{ at: `${field}.service`, service: route.service }];
    const problems = named.filter(({ service }) => !Object.hasOwn(document.services, service)).map(({ at, service }) => `${at}: value "${service}": no such service; allowed: ${allowed}`);
    const weight = route.split.reduce((sum, part) => sum + part.weight, 0);
    return route.split.length > 0 && weight === 0 ? [...problems, `${field}.split: every weight is 0; give at least one part a weight above 0`] : problems;
}

function listHosts(route: schema.RouteDefinition): readonly string[] {
    return route.hosts.length === 0 ? [""] : route.hosts;
}

function listRepeated(values: readonly string[]): string[] {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    for (const value of values) {
        (seen.has(value) ? repeated : seen).add(value);
    }
    return [...repeated];
}
