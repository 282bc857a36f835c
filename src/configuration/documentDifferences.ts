/** Lists the differences in meaning between two configuration documents. The order of routes, upstreams, keys and fields has no meaning. */

import { isDeepStrictEqual } from "node:util";
import * as findings from "./findings.js";
import type * as schema from "./schema.js";

/** Digests are shortened in messages to this many digits. */
const shownDigestLength = 8;

/** Named entries of a section, such as routes by name. */
type Entries = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/**
 * Lists the differences from one document to another. Those that let requests be executed which were not before, or more than
 * once, or that stop requests from being served, are warnings.
 * @param before - The document in force, validated.
 * @param after - The new document, validated.
 */
export function listDifferences(before: schema.ConfigurationDocument, after: schema.ConfigurationDocument): readonly findings.Finding[] {
    return [
        ...listEntryDifferences("routes", createRouteEntries(before), createRouteEntries(after)),
        ...listEntryDifferences("services", createServiceEntries(before), createServiceEntries(after)),
        ...Object.keys(after.services).filter(name => Object.hasOwn(before.services, name)).flatMap(name =>
            listEntryDifferences(`services.${name}.upstreams`, createUpstreamEntries(before.services[name]!), createUpstreamEntries(after.services[name]!))
        ),
        ...listEntryDifferences("ranks", createRankEntries(before), createRankEntries(after)),
        ...listWorkspaceDifferences(before, after),
        ...listFeatureDifferences(before, after),
        ...listFieldDifferences("callerHeaders", before.callerHeaders, after.callerHeaders, "caller-headers-changed"),
        ...listFieldDifferences("limits", before.limits, after.limits, "limits-changed"),
        ...listRouteRisks(before, after),
    ];
}

const change = (code: string, path: string, message: string) => findings.createFinding("change", code, path, message);
const warning = (code: string, path: string, message: string) => findings.createFinding("warning", code, path, message);

function createRouteEntries({ routes }: schema.ConfigurationDocument): Entries {
    return Object.fromEntries(routes.map(({ name, ...route }) => [name, { ...route, hosts: [...route.hosts].sort(), methods: [...new Set(route.methods)].sort() }]));
}

function createServiceEntries({ services }: schema.ConfigurationDocument): Entries {
    return Object.fromEntries(Object.entries(services).map(([name, service]) => [name, removeField(service, "upstreams")]));
}

function removeField(entry: object, removed: string): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(entry).filter(([field]) => field !== removed));
}

function createUpstreamEntries({ upstreams }: schema.ServiceDefinition): Entries {
    return Object.fromEntries(upstreams.map(({ id, ...upstream }) => [id, upstream]));
}

/** The position of a rank is its urgency. */
function createRankEntries({ ranks }: schema.ConfigurationDocument): Entries {
    return Object.fromEntries(ranks.map(({ name, guaranteedShare }, position) => [name, { guaranteedShare, position }]));
}

/** Lists the entries that were added, removed or changed. A section's code is the singular of its last name. */
function listEntryDifferences(section: string, before: Entries, after: Entries): readonly findings.Finding[] {
    const kind = section.split(".").at(-1)!.replace(/s$/, "");
    const removed = Object.keys(before).filter(name => !Object.hasOwn(after, name)).map(name => (kind === "route" || kind === "service" ? warning : change)(`${kind}-removed`, `${section}.${name}`, `the ${kind} is removed`));
    const rest = Object.entries(after).flatMap(([name, entry]) => {
        const path = `${section}.${name}`;
        return Object.hasOwn(before, name) ? listFieldDifferences(path, before[name]!, entry, `${kind}-changed`) : [change(`${kind}-added`, path, `the ${kind} is added`)];
    });
    return [...removed, ...rest];
}

function listFieldDifferences(path: string, before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>, code: string): readonly findings.Finding[] {
    const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return fields.filter(field => !isDeepStrictEqual(before[field], after[field])).map(field => change(code, `${path}.${field}`, `${formatValue(before[field])} becomes ${formatValue(after[field])}`));
}

function formatValue(value: unknown): string {
    return value === undefined ? "nothing" : JSON.stringify(value);
}

function listWorkspaceDifferences(before: schema.ConfigurationDocument, after: schema.ConfigurationDocument): readonly findings.Finding[] {
    const [hadWorkspaces, hasWorkspaces] = [before, after].map(({ workspaces }) => Object.keys(workspaces).length > 0);
    const createEntries = ({ workspaces }: schema.ConfigurationDocument): Entries => Object.fromEntries(Object.entries(workspaces).map(([name, workspace]) => [name, removeField(workspace, "keyDigests")]));
    const ownersBefore = listKeyOwners(before);
    const ownersAfter = listKeyOwners(after);
    const format = (digest: string) => `the key whose digest begins with ${digest.slice(0, shownDigestLength)}`;
    return [
        ...(hasWorkspaces === true && hadWorkspaces === false ? [warning("keys-needed", "workspaces", "requests to routes that are not public need a key from this version on")] : []),
        ...(hasWorkspaces === false && hadWorkspaces === true ? [warning("keys-not-needed", "workspaces", "no request needs a key any more")] : []),
        ...listEntryDifferences("workspaces", createEntries(before), createEntries(after)),
        ...[...ownersBefore].filter(([digest]) => !ownersAfter.has(digest)).map(([digest, owner]) => change("key-withdrawn", `workspaces.${owner}.keyDigests`, `${format(digest)} is withdrawn`)),
        ...[...ownersAfter].filter(([digest]) => !ownersBefore.has(digest)).map(([digest, owner]) => change("key-added", `workspaces.${owner}.keyDigests`, `${format(digest)} is added`)),
        ...[...ownersAfter].filter(([digest, owner]) => ownersBefore.has(digest) && ownersBefore.get(digest) !== owner).map(([digest, owner]) =>
            warning("key-moved", `workspaces.${owner}.keyDigests`, `${format(digest)} belonged to the workspace ${ownersBefore.get(digest)}`)
        ),
    ];
}

function listKeyOwners({ workspaces }: schema.ConfigurationDocument): ReadonlyMap<string, string> {
    return new Map(Object.entries(workspaces).flatMap(([name, { keyDigests }]) => keyDigests.map(digest => [digest, name] as const)));
}

function listFeatureDifferences(before: schema.ConfigurationDocument, after: schema.ConfigurationDocument): readonly findings.Finding[] {
    const [retiredBefore, retiredAfter] = [new Set(before.retiredFeatures), new Set(after.retiredFeatures)];
    return [
        ...[...retiredAfter].filter(feature => !retiredBefore.has(feature)).map(feature => change("feature-retired", "retiredFeatures", `requests of the feature ${feature} are refused`)),
        ...[...retiredBefore].filter(feature => !retiredAfter.has(feature)).map(feature => warning("feature-restored", "retiredFeatures", `requests of the feature ${feature} are served again`)),
    ];
}

function listRouteRisks(before: schema.ConfigurationDocument, after: schema.ConfigurationDocument): readonly findings.Finding[] {
    const routesBefore = new Map(before.routes.map(route => [route.name, route]));
    return after.routes.flatMap(({ name, repeatable, public: isPublic }) => {
        const former = routesBefore.get(name);
        return [
            ...(former?.repeatable === false && repeatable ? [warning("route-becomes-repeatable", `routes.${name}.repeatable`, "requests of the route may be executed more than once from this version on")] : []),
            ...(former?.public === false && isPublic && Object.keys(before.workspaces).length > 0 ? [warning("route-becomes-public", `routes.${name}.public`, "requests of the route need no key from this version on")] : []),
        ];
    });
}
