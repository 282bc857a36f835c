/**
 * Measures what a configuration with 74,000 workspaces with two keys each takes: time, memory, and the bytes that a change
 * of one key transfers between peers. Run with `node --expose-gc`.
 */

import * as translate from "../platform/translate.js";
import * as chunks from "../src/configuration/chunks.js";
import type * as compiledConfiguration from "../src/configuration/compiledConfiguration.js";
import * as configurationState from "../src/configuration/configurationState.js";
import * as workspaces from "../src/workspaces/index.js";

const workspaceCount = 74_000;
const roundCount = 5;
const lookupCount = 200_000;

declare const gc: (() => void) | undefined;

function createText(version: number, changedKey: string): string {
    return JSON.stringify({
        version,
        routes: [{ name: "r", host: "shop.example", prefix: "/", kind: "safe", service: "desk", priority: 1 }],
        services: [{ name: "desk" }],
        workspaces: Array.from({ length: workspaceCount }, (_, index) => ({
            name: `workspace-${index}`,
            keys: [`key-${index}-a-0123456789abcdef`, index === 7 ? changedKey : `key-${index}-b-0123456789abcdef`],
            priority: index % 3,
            requestsPerSecond: 5,
            burst: 10,
        })),
    });
}

function getMedian(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

function getHeapMegabytes(): number {
    gc?.();
    gc?.();
    const { heapUsed, external } = process.memoryUsage();
    return (heapUsed + external) / 1_048_576;
}

function createHead(version: number, list: readonly chunks.Chunk[]): chunks.ConfigurationHead {
    return { version, changeId: String(version), chunks: Object.fromEntries(list.map(chunk => [chunk.name, chunk.hash])), recent: [] };
}

const state = new configurationState.ConfigurationState();
const times: Record<"translate" | "split" | "apply", number[]> = { translate: [], split: [], apply: [] };
const heapBefore = getHeapMegabytes();
let previousHashes = new Set<string>();
for (let version = 1; version <= roundCount; version += 1) {
    const text = createText(version, `changed-${version}`);
    const startedAt = performance.now();
    const { document } = translate.parseConfiguration(text)._unsafeUnwrap();
    const translatedAt = performance.now();
    const list = chunks.createChunks(document);
    const splitAt = performance.now();
    state.applyVersion(createHead(version, list), new Map(list.map(chunk => [chunk.hash, chunk.text])))._unsafeUnwrap();
    const appliedAt = performance.now();
    times.translate.push(translatedAt - startedAt);
    times.split.push(splitAt - translatedAt);
    times.apply.push(appliedAt - splitAt);
    const changed = list.filter(chunk => !previousHashes.has(chunk.hash));
    const bytes = (each: readonly chunks.Chunk[]) => each.reduce((sum, chunk) => sum + Buffer.byteLength(chunk.text), 0);
    console.log(
        `version ${version}: ${text.length} bytes in the store; ${list.length} chunks of ${bytes(list)} bytes, largest ${Math.max(...list.map(chunk => chunk.text.length))}; not in the version before: ${changed.length} chunks of ${
            bytes(changed)
        } bytes`,
    );
    previousHashes = new Set(list.map(chunk => chunk.hash));
}
console.log(`median of ${roundCount}: translated in ${getMedian(times.translate).toFixed(0)} ms, split in ${getMedian(times.split).toFixed(0)} ms, merged, checked and compiled in ${getMedian(times.apply).toFixed(0)} ms`);
console.log(`memory of the version in force: ${(getHeapMegabytes() - heapBefore).toFixed(1)} MB`);
const compiled: compiledConfiguration.CompiledConfiguration = state.getCurrent()!;
const lookupStartedAt = performance.now();
let found = 0;
for (let index = 0; index < lookupCount; index += 1) {
    found += workspaces.resolveCaller(compiled, { public: false }, [`Bearer key-${index % workspaceCount}-a-0123456789abcdef`]).isOk() ? 1 : 0;
}
console.log(`lookup: ${((performance.now() - lookupStartedAt) * 1_000 / lookupCount).toFixed(2)} microseconds each, ${found} of ${lookupCount} found`);
