/** Splits a document into content-addressed chunks, so that a change moves only what it changes. */

import * as crypto from "node:crypto";
import { z } from "zod";
import * as schema from "./schema.js";

/** Routes are spread over this many chunks by their names' hashes. */
const routeGroups = 64;
const hashLength = 32;

const ranksName = "ranks";
const retiredName = "retired";
const callersName = "callers";
const servicePrefix = "service:";
const routesPrefix = "routes:";

/** A piece of a document. */
export interface Chunk {
    /** What it holds, unique in a document. */
    readonly name: string;
    readonly hash: string;
    /** JSON. */
    readonly text: string;
}

/** The newest accepted configuration, as the store and the peers hold it. */
export const configurationHeadSchema = z.strictObject({
    /** Counts accepted changes from 1. */
    version: z.number().int().positive(),
    changeId: z.string().min(1).max(128),
    /** Chunk hashes by chunk name. */
    chunks: z.record(z.string(), z.string()),
    /** The newest changes, this one last, so that a repeated change gets its first answer. */
    recent: z.array(z.strictObject({ changeId: z.string(), version: z.number() })),
});

/** The newest accepted configuration's description. */
export type ConfigurationHead = z.infer<typeof configurationHeadSchema>;

/**
 * Computes the address of a chunk's text.
 * @param text - JSON.
 */
export function computeHash(text: string): string {
    return crypto.createHash("sha256").update(text).digest("hex").slice(0, hashLength);
}

/**
 * Splits a document.
 * @param document - A checked document.
 */
export function createChunks(document: schema.ConfigurationDocument): readonly Chunk[] {
    const groups = createGroups(document.routes);
    return [
        createChunk(ranksName, document.ranks),
        createChunk(retiredName, [...document.retiredFeatures].sort()),
        createChunk(callersName, { callerHeaders: document.callerHeaders, limits: document.limits }),
        ...Object.entries(document.services).map(([name, service]) => createChunk(`${servicePrefix}${name}`, service)),
        ...[...groups].map(([group, routes]) => createChunk(`${routesPrefix}${group}`, routes)),
    ];
}

/**
 * Joins chunks into the document they were split from, but for the order of its routes.
 * @param texts - Chunk texts by chunk name.
 */
export function mergeChunks(texts: ReadonlyMap<string, string>): unknown {
    const parsed = [...texts].map(([name, text]) => [name, JSON.parse(text) as unknown] as const);
    const byName = new Map(parsed);
    return {
        ranks: byName.get(ranksName),
        retiredFeatures: byName.get(retiredName),
        ...byName.get(callersName) as object | undefined,
        services: Object.fromEntries(parsed.filter(([name]) => name.startsWith(servicePrefix)).map(([name, value]) => [name.slice(servicePrefix.length), value])),
        routes: parsed.filter(([name]) => name.startsWith(routesPrefix)).flatMap(([, value]) => value as readonly unknown[]),
    };
}

function computeGroup(routeName: string): number {
    return crypto.createHash("sha1").update(routeName).digest().readUInt32BE(0) % routeGroups;
}

function createChunk(name: string, value: unknown): Chunk {
    const text = JSON.stringify(value);
    return { name, hash: computeHash(text), text };
}

function createGroups(routes: readonly schema.RouteDefinition[]): ReadonlyMap<number, readonly schema.RouteDefinition[]> {
    const groups = new Map<number, schema.RouteDefinition[]>();
    for (const route of routes) {
        const group = computeGroup(route.name);
        const members = groups.get(group) ?? [];
        members.push(route);
        groups.set(group, members);
    }
    return groups;
}
