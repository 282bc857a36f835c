/** Writes a change to the platform's store: chunks first, then one compare-and-swap of the head. */

import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import type * as store from "../store/index.js";
import * as chunks from "./chunks.js";
import type * as schema from "./schema.js";

/** How many changes a head remembers. */
const recentKept = 64;
/** The largest value written to the store; the platform takes a megabyte. */
const maximumValueBytes = 1_000_000;
/** Reads made to find out whether a swap whose reply was lost took effect. */
const resolveAttempts = 3;

/** A change to write. */
export interface ConfigurationChange {
    readonly changeId: string;
    readonly document: schema.ConfigurationDocument;
    /** The version that the change is based on. */
    readonly baseVersion: number;
}

/** A change that was accepted. */
export interface AcceptedChange {
    readonly head: chunks.ConfigurationHead;
    /** Chunk texts by hash. */
    readonly texts: ReadonlyMap<string, string>;
    /** Whether the change had been accepted before. */
    readonly isRepeat: boolean;
}

/** The head as the store holds it. */
export interface StoredHead {
    /** Undefined where the store holds none. */
    readonly head?: chunks.ConfigurationHead;
    /** The key's revision; 0 where it does not exist. */
    readonly revision: number;
}

/** Options of a change writer. */
export interface CreateChangeWriterOptions {
    readonly store: store.StoreService;
    /** Returns the version in force at this instance; 0 for none. */
    readonly getActiveVersion: () => number;
    /** Returns the head in force at this instance. */
    readonly getActiveHead: () => chunks.ConfigurationHead | undefined;
}

/** Writes changes. */
export class ChangeWriter {
    constructor(private readonly options: CreateChangeWriterOptions) {}

    /** Returns the key of the head. */
    getHeadKey(): string {
        return `${this.options.store.getPrefix()}configuration/head`;
    }

    /**
     * Returns the key of a chunk.
     * @param hash - Its address.
     */
    getChunkKey(hash: string): string {
        return `${this.options.store.getPrefix()}configuration/chunks/${hash}`;
    }

    /** Reads the head from the store. */
    async readHead(): Promise<Result<StoredHead, errors.FleetError>> {
        const entry = await this.options.store.getEntry(this.getHeadKey());
        return entry.andThen(found => {
            if (found === undefined) {
                return ok({ revision: 0 });
            }
            return parseHead(found.value).map(head => ({ head, revision: found.revision }));
        });
    }

    /**
     * Reads chunks from the store by their hashes.
     * @param hashes - The hashes.
     */
    async readChunks(hashes: readonly string[]): Promise<Result<ReadonlyMap<string, string>, errors.FleetError>> {
        const texts = new Map<string, string>();
        for (const hash of hashes) {
            const entry = await this.options.store.getEntry(this.getChunkKey(hash));
            if (entry.isErr()) {
                return err(entry.error);
            }
            const text = entry.value?.value;
            if (text === undefined || chunks.computeHash(text) !== hash) {
                return err(errors.createError("storeUnavailable", `the store lacks the chunk ${hash}`));
            }
            texts.set(hash, text);
        }
        return ok(texts);
    }

    /**
     * Writes a change; it is accepted once its head is known to be in the store.
     * @param change - The change.
     */
    async writeChange(change: ConfigurationChange): Promise<Result<AcceptedChange, errors.FleetError>> {
        const stored = await this.readHead();
        if (stored.isErr()) {
            return err(createRefusal(stored.error));
        }
        const { head: before, revision } = stored.value;
        const documentChunks = chunks.createChunks(change.document);
        const texts = new Map(documentChunks.map(chunk => [chunk.hash, chunk.text]));
        const repeated = findRecent([before, this.options.getActiveHead()], change.changeId);
        if (repeated !== undefined) {
            return ok({ head: { ...repeated.head, version: repeated.version }, texts, isRepeat: true });
        }
        const newestVersion = Math.max(before?.version ?? 0, this.options.getActiveVersion());
        if (change.baseVersion !== newestVersion) {
            return err(errors.createConflictError(newestVersion));
        }
        const recentBefore = (before !== undefined && before.version >= newestVersion ? before : this.options.getActiveHead())?.recent ?? [];
        const head: chunks.ConfigurationHead = {
            version: newestVersion + 1,
            changeId: change.changeId,
            chunks: Object.fromEntries(documentChunks.map(chunk => [chunk.name, chunk.hash])),
            recent: [...recentBefore, { changeId: change.changeId, version: newestVersion + 1 }].slice(-recentKept),
        };
        const written = await this.writeChunks(documentChunks, new Set(Object.values(before?.chunks ?? {})));
        if (written.isErr()) {
            return err(createRefusal(written.error));
        }
        const accepted = await this.writeHead(head, revision);
        return accepted.map(() => ({ head, texts, isRepeat: false }));
    }

    /**
     * Puts a newer head back into a store that holds an older one, as after a restore.
     * @param head - The head in force.
     * @param texts - Its chunks' texts by hash.
     */
    async restoreHead(head: chunks.ConfigurationHead, texts: ReadonlyMap<string, string>): Promise<Result<boolean, errors.FleetError>> {
        const stored = await this.readHead();
        if (stored.isErr()) {
            return err(stored.error);
        }
        if ((stored.value.head?.version ?? 0) >= head.version) {
            return ok(false);
        }
        const all = Object.entries(head.chunks).map(([name, hash]) => ({ name, hash, text: texts.get(hash)! }));
        const written = await this.writeChunks(all, new Set(Object.values(stored.value.head?.chunks ?? {})));
        if (written.isErr()) {
            return err(written.error);
        }
        const swapped = await this.options.store.swapEntry({ key: this.getHeadKey(), expectedRevision: stored.value.revision, value: JSON.stringify(head) });
        return swapped.map(answer => answer.kind === "swapped");
    }

    /** Writes the chunks that the store's head does not name; one that exists already is left as it is. */
    private async writeChunks(all: readonly chunks.Chunk[], present: ReadonlySet<string>): Promise<Result<void, errors.FleetError>> {
        const tooLarge = all.find(chunk => Buffer.byteLength(chunk.text) > maximumValueBytes);
        if (tooLarge !== undefined) {
            return err(errors.createError("configurationInvalid", `the part ${tooLarge.name} takes ${Buffer.byteLength(tooLarge.text)} bytes; the store takes ${maximumValueBytes} in one value`));
        }
        for (const chunk of all.filter(candidate => !present.has(candidate.hash))) {
            const written = await this.writeChunk(chunk);
            if (written.isErr()) {
                return err(written.error);
            }
        }
        return ok(undefined);
    }

    /** Writes a chunk; trying again is safe, since its key is made from its text. */
    private async writeChunk(chunk: chunks.Chunk): Promise<Result<void, errors.FleetError>> {
        const swap = { key: this.getChunkKey(chunk.hash), expectedRevision: 0, value: chunk.text };
        let answer = await this.options.store.swapEntry(swap);
        for (let attempt = 1; attempt < resolveAttempts && answer.isErr(); attempt += 1) {
            answer = await this.options.store.swapEntry(swap);
        }
        return answer.map(() => undefined);
    }

    private async writeHead(head: chunks.ConfigurationHead, revision: number): Promise<Result<void, errors.FleetError>> {
        const swap = { key: this.getHeadKey(), expectedRevision: revision, value: JSON.stringify(head) };
        for (let attempt = 0; attempt < resolveAttempts; attempt += 1) {
            const answer = await this.options.store.swapEntry(swap);
            if (answer.isErr()) {
                continue;
            }
            if (answer.value.kind === "swapped") {
                return ok(undefined);
            }
            // A conflict may be with this writer's own swap, whose reply was lost.
            return resolveConflict(answer.value.current, head);
        }
        const readBack = await this.readHead();
        if (readBack.isOk() && findRecent([readBack.value.head], head.changeId) !== undefined) {
            return ok(undefined);
        }
        if (readBack.isOk() && readBack.value.revision !== revision) {
            return err(errors.createConflictError(readBack.value.head?.version ?? 0));
        }
        return err(errors.createError("changeUnresolved"));
    }
}

/**
 * Parses a stored head.
 * @param text - The stored value.
 */
export function parseHead(text: string): Result<chunks.ConfigurationHead, errors.FleetError> {
    try {
        const parsed = chunks.configurationHeadSchema.safeParse(JSON.parse(text));
        return parsed.success ? ok(parsed.data) : err(errors.createError("storeUnavailable", "the store's configuration head is malformed"));
    }
    catch {
        return err(errors.createError("storeUnavailable", "the store's configuration head is not JSON"));
    }
}

function resolveConflict(current: store.Entry | undefined, head: chunks.ConfigurationHead): Result<void, errors.FleetError> {
    const parsed = current === undefined ? undefined : parseHead(current.value).unwrapOr(undefined);
    if (parsed !== undefined && findRecent([parsed], head.changeId)?.version === head.version) {
        return ok(undefined);
    }
    return err(errors.createConflictError(parsed?.version ?? 0));
}

function findRecent(heads: readonly (chunks.ConfigurationHead | undefined)[], changeId: string): { readonly head: chunks.ConfigurationHead; readonly version: number; } | undefined {
    for (const head of heads) {
        const found = head?.recent.find(change => change.changeId === changeId);
        if (head !== undefined && found !== undefined) {
            return { head, version: found.version };
        }
    }
    return undefined;
}

/** Nothing was written to the head, so the change was surely not accepted. */
function createRefusal(error: errors.FleetError): errors.FleetError {
    return error.kind === "storeUnavailable" ? errors.createError("storeUnavailable", `the change was not accepted: ${error.message}`) : error;
}
