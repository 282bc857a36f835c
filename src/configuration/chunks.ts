/** Splits a configuration document into content-addressed chunks, so that a change transfers only the chunks that it modifies. */

import * as crypto from "node:crypto";
import { Result } from "neverthrow";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as errors from "../kernel/errors.js";
import * as schema from "./schema.js";

/** Number of chunks that the routes are distributed over, by a hash of the route name. */
const routeGroupCount = 64;
/** Hexadecimal digits of SHA-256 that are kept. */
const hashLength = 32;

const ranksChunkName = "ranks";
const retiredFeaturesChunkName = "retired";
const callersChunkName = "callers";
const serviceChunkPrefix = "service:";
const routesChunkPrefix = "routes:";
const workspacesChunkPrefix = "workspaces:";
/** Number of chunks that the workspaces are distributed over, by a hash of the workspace name. */
const workspaceGroupCount = 64;

/** One section of a document, for example a service, or one group of its routes. */
export interface Chunk {
    /** Identifies the content within a document, for example `service:NAME`. */
    readonly name: string;
    readonly hash: string;
    /** The content as JSON. */
    readonly text: string;
}

/** The schema of the head: the description of an accepted version, as kept in the store and sent between peers. */
export const configurationHeadSchema = z.strictObject({
    /** Number of the accepted change, counted from 1. */
    version: z.number().int().positive(),
    changeId: z.string().min(1).max(128),
    /** Chunk hashes by chunk name. */
    chunks: z.record(z.string(), z.string()),
    /** The most recent changes, newest last, so that a retried change gets the result of the first attempt. */
    recent: z.array(z.strictObject({ changeId: z.string(), version: z.number() })),
});

/** Describes an accepted configuration version and names its chunks by hash. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/** Computes the hash that identifies a chunk by its text. */
export function computeHash(text: string): string {
    return crypto.createHash("sha256").update(text).digest("hex").slice(0, hashLength);
}

/**
 * Splits a document into chunks.
 * @param document - A validated document.
 */
export function createChunks(document: schema.ConfigurationDocument): readonly Chunk[] {
    const groups = createRouteGroups(document.routes);
    return [
        createChunk(ranksChunkName, document.ranks),
        createChunk(retiredFeaturesChunkName, [...document.retiredFeatures].sort()),
        createChunk(callersChunkName, { callerHeaders: document.callerHeaders, limits: document.limits }),
        ...Object.entries(document.services).map(([name, service]) => createChunk(`${serviceChunkPrefix}${name}`, service)),
        ...[...groups].map(([group, routes]) => createChunk(`${routesChunkPrefix}${group}`, routes)),
        ...[...createWorkspaceGroups(document.workspaces)].map(([group, workspaces]) => createChunk(`${workspacesChunkPrefix}${group}`, Object.fromEntries(workspaces))),
    ];
}

/**
 * Merges chunks into the document that they were split from. The order of the routes is not preserved.
 * @param texts - Chunk texts by chunk name.
 * @returns The document, which is not validated; an `inputMalformed` error if a chunk is not JSON.
 */
export function mergeChunks(texts: ReadonlyMap<string, string>): Result<unknown, errors.FleetError> {
    const values = Result.combine([...texts].map(([name, text]) => boundedJson.parseJson(text).map(value => [name, value] as const)));
    return values.map(createDocument);
}

function createDocument(parsed: readonly (readonly [string, unknown])[]): unknown {
    const byName = new Map(parsed);
    return {
        ranks: byName.get(ranksChunkName),
        retiredFeatures: byName.get(retiredFeaturesChunkName),
        ...byName.get(callersChunkName) as object | undefined,
        services: Object.fromEntries(parsed.filter(([name]) => name.startsWith(serviceChunkPrefix)).map(([name, value]) => [name.slice(serviceChunkPrefix.length), value])),
        routes: parsed.filter(([name]) => name.startsWith(routesChunkPrefix)).flatMap(([, value]) => value as readonly unknown[]),
        workspaces: Object.fromEntries(parsed.filter(([name]) => name.startsWith(workspacesChunkPrefix)).flatMap(([, value]) => Object.entries(value ?? {}))),
    };
}

function computeGroup(name: string, groupCount: number): number {
    return crypto.createHash("sha1").update(name).digest().readUInt32BE(0) % groupCount;
}

function createChunk(name: string, value: unknown): Chunk {
    const text = JSON.stringify(value);
    return { name, hash: computeHash(text), text };
}

function createRouteGroups(routes: readonly schema.RouteDefinition[]): ReadonlyMap<number, readonly schema.RouteDefinition[]> {
    const groups = new Map<number, schema.RouteDefinition[]>();
    for (const route of routes) {
        const group = computeGroup(route.name, routeGroupCount);
        const groupRoutes = groups.get(group) ?? [];
        groupRoutes.push(route);
        groups.set(group, groupRoutes);
    }
    return groups;
}

function createWorkspaceGroups(workspaces: schema.ConfigurationDocument["workspaces"]): ReadonlyMap<number, readonly (readonly [string, schema.WorkspaceDefinition])[]> {
    const groups = new Map<number, (readonly [string, schema.WorkspaceDefinition])[]>();
    for (const entry of Object.entries(workspaces)) {
        const group = computeGroup(entry[0], workspaceGroupCount);
        const groupEntries = groups.get(group) ?? [];
        groupEntries.push(entry);
        groups.set(group, groupEntries);
    }
    return groups;
}
