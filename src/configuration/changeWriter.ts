/** Writes configuration changes to the store: the chunks of the document first, then the head by compare-and-swap. */

import { err, ok, type Result } from "neverthrow";
import * as boundedJson from "../kernel/boundedJson.js";
import * as errors from "../kernel/errors.js";
import type * as store from "../store/index.js";
import * as chunks from "./chunks.js";
import type * as schema from "./schema.js";

/** Number of recent changes that a head lists, so that a retried change is recognized. */
const maximumRecentChanges = 64;
/** The largest value that is written to the store. The platform accepts values of up to one megabyte. */
const maximumValueBytes = 1_000_000;
/** Maximum number of attempts at a write to which the store does not respond. */
const maximumSwapAttempts = 3;

/** A configuration change to write. */
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
    readonly chunkTexts: ReadonlyMap<string, string>;
    /** Whether a change with the same identifier was accepted earlier. */
    readonly isDuplicate: boolean;
}

/** The configuration head as read from the store. */
export interface StoredHead {
    /** Undefined if the store has no head. */
    readonly head?: chunks.ConfigurationHead;
    /** The revision of the head's key; 0 if the key does not exist. */
    readonly revision: number;
}

/** Options of a change writer. */
export interface CreateChangeWriterOptions {
    readonly store: store.StoreService;
    /** Returns the version that is active on this instance; 0 if there is none. */
    readonly getActiveVersion: () => number;
    /** Returns the head of the version that is active on this instance. */
    readonly getActiveHead: () => chunks.ConfigurationHead | undefined;
}

/** Reads the configuration from the store and writes changes to it. */
export class ChangeWriter {
    constructor(private readonly options: CreateChangeWriterOptions) {}

    /** Returns the store key of the head. */
    getHeadKey(): string {
        return `${this.options.store.getPrefix()}configuration/head`;
    }

    /** Returns the store key of the chunk with a hash. */
    getChunkKey(hash: string): string {
        return `${this.options.store.getPrefix()}configuration/chunks/${hash}`;
    }

    /** Reads the head; fails if the stored value is malformed. */
    async readHead(): Promise<Result<StoredHead, errors.FleetError>> {
        const entry = await this.options.store.getEntry(this.getHeadKey());
        return entry.andThen(found => {
            if (found === undefined) {
                return ok({ revision: 0 });
            }
            return parseHead(found.value).map(head => ({ head, revision: found.revision }));
        });
    }

    /** Reads chunks by their hashes; fails if one is missing or does not match its hash. */
    async readChunks(hashes: readonly string[]): Promise<Result<ReadonlyMap<string, string>, errors.FleetError>> {
        const texts = new Map<string, string>();
        for (const hash of hashes) {
            const entry = await this.options.store.getEntry(this.getChunkKey(hash));
            if (entry.isErr()) {
                return err(entry.error);
            }
            const text = entry.value?.value;
            if (text === undefined || chunks.computeHash(text) !== hash) {
                return err(errors.createError("storeUnavailable", `chunk ${hash} is missing from the store or does not match its hash`));
            }
            texts.set(hash, text);
        }
        return ok(texts);
    }

    /**
     * Writes a change. The change is accepted once its head is known to be in the store. Fails with
     * `configurationConflict` if another change was accepted first, and with `changeUnresolved` if the outcome is unknown.
     */
    async writeChange(change: ConfigurationChange): Promise<Result<AcceptedChange, errors.FleetError>> {
        const stored = await this.readHead();
        if (stored.isErr()) {
            return err(createNotAcceptedError(stored.error));
        }
        const { head: storedHead, revision } = stored.value;
        const documentChunks = chunks.createChunks(change.document);
        const chunkTexts = new Map(documentChunks.map(chunk => [chunk.hash, chunk.text]));
        const duplicate = findRecentChange([storedHead, this.options.getActiveHead()], change.changeId);
        if (duplicate !== undefined) {
            return ok({ head: { ...duplicate.head, version: duplicate.version }, chunkTexts, isDuplicate: true });
        }
        const newestVersion = Math.max(storedHead?.version ?? 0, this.options.getActiveVersion());
        if (change.baseVersion !== newestVersion) {
            return err(errors.createConflictError(newestVersion));
        }
        const previousChanges = (storedHead !== undefined && storedHead.version >= newestVersion ? storedHead : this.options.getActiveHead())?.recent ?? [];
        const head: chunks.ConfigurationHead = {
            version: newestVersion + 1,
            changeId: change.changeId,
            chunks: Object.fromEntries(documentChunks.map(chunk => [chunk.name, chunk.hash])),
            recent: [...previousChanges, { changeId: change.changeId, version: newestVersion + 1 }].slice(-maximumRecentChanges),
        };
        const written = await this.writeChunks(documentChunks, new Set(Object.values(storedHead?.chunks ?? {})));
        if (written.isErr()) {
            return err(createNotAcceptedError(written.error));
        }
        const accepted = await this.writeHead(head, revision);
        return accepted.map(() => ({ head, chunkTexts, isDuplicate: false }));
    }

    /**
     * Writes a head back to a store that holds an older one, for example after the store was restored from a backup.
     * Returns whether the head was written.
     * @param head - The active head.
     * @param chunkTexts - The texts of the head's chunks by hash.
     */
    async restoreHead(head: chunks.ConfigurationHead, chunkTexts: ReadonlyMap<string, string>): Promise<Result<boolean, errors.FleetError>> {
        const stored = await this.readHead();
        if (stored.isErr()) {
            return err(stored.error);
        }
        if ((stored.value.head?.version ?? 0) >= head.version) {
            return ok(false);
        }
        const headChunks = Object.entries(head.chunks).map(([name, hash]) => ({ name, hash, text: chunkTexts.get(hash)! }));
        const written = await this.writeChunks(headChunks, new Set(Object.values(stored.value.head?.chunks ?? {})));
        if (written.isErr()) {
            return err(written.error);
        }
        const swapped = await this.options.store.swapEntry({ key: this.getHeadKey(), expectedRevision: stored.value.revision, value: JSON.stringify(head) });
        return swapped.map(result => result.kind === "swapped");
    }

    /** Writes the chunks that the stored head does not reference. A chunk that exists already is left unchanged. */
    private async writeChunks(documentChunks: readonly chunks.Chunk[], storedHashes: ReadonlySet<string>): Promise<Result<void, errors.FleetError>> {
        const tooLarge = documentChunks.find(chunk => Buffer.byteLength(chunk.text) > maximumValueBytes);
        if (tooLarge !== undefined) {
            return err(errors.createError("configurationInvalid", `chunk ${tooLarge.name} is ${Buffer.byteLength(tooLarge.text)} bytes; the store accepts at most ${maximumValueBytes} bytes per value`));
        }
        for (const chunk of documentChunks.filter(candidate => !storedHashes.has(candidate.hash))) {
            const written = await this.writeChunk(chunk);
            if (written.isErr()) {
                return err(written.error);
            }
        }
        return ok(undefined);
    }

    /** Writes one chunk. Retries are safe because the key is the hash of the content. */
    private async writeChunk(chunk: chunks.Chunk): Promise<Result<void, errors.FleetError>> {
        const swap = { key: this.getChunkKey(chunk.hash), expectedRevision: 0, value: chunk.text };
        let result = await this.options.store.swapEntry(swap);
        for (let attempt = 1; attempt < maximumSwapAttempts && result.isErr(); attempt += 1) {
            result = await this.options.store.swapEntry(swap);
        }
        return result.map(() => undefined);
    }

    private async writeHead(head: chunks.ConfigurationHead, revision: number): Promise<Result<void, errors.FleetError>> {
        const key = this.getHeadKey();
        let expectedRevision = revision;
        for (let attempt = 0; attempt < maximumSwapAttempts; attempt += 1) {
            const result = await this.options.store.swapEntry({ key, expectedRevision, value: JSON.stringify(head) });
            if (result.isErr()) {
                continue;
            }
            if (result.value.kind === "swapped") {
                return ok(undefined);
            }
            const { current } = result.value;
            if (current === undefined || !isBase(current, head)) {
                // The conflict may be with an earlier attempt by this writer whose response was lost.
                return resolveConflict(current, head);
            }
            // Another instance has written the base version back to a store that had lost it.
            expectedRevision = current.revision;
        }
        const readBack = await this.readHead();
        if (readBack.isOk() && findRecentChange([readBack.value.head], head.changeId) !== undefined) {
            return ok(undefined);
        }
        if (readBack.isOk() && readBack.value.revision !== expectedRevision) {
            return err(errors.createConflictError(readBack.value.head?.version ?? 0));
        }
        return err(errors.createError("changeUnresolved"));
    }
}

/** Parses the stored value of the head. */
export function parseHead(text: string): Result<chunks.ConfigurationHead, errors.FleetError> {
    const parsed = boundedJson.parseJson(text).map(value => chunks.configurationHeadSchema.safeParse(value).data);
    if (parsed.isErr()) {
        return err(errors.createError("storeUnavailable", `the configuration head in the store cannot be read: ${parsed.error.message}`));
    }
    return parsed.value === undefined ? err(errors.createError("storeUnavailable", "the configuration head in the store is malformed")) : ok(parsed.value);
}

/** Returns whether a stored head is the version that a new head follows. */
function isBase(entry: store.Entry, { version, recent }: chunks.ConfigurationHead): boolean {
    const stored = parseHead(entry.value).unwrapOr(undefined);
    return stored?.version === version - 1 && recent.some(change => change.version === stored.version && change.changeId === stored.changeId);
}

function resolveConflict(current: store.Entry | undefined, head: chunks.ConfigurationHead): Result<void, errors.FleetError> {
    const parsed = current === undefined ? undefined : parseHead(current.value).unwrapOr(undefined);
    if (parsed !== undefined && findRecentChange([parsed], head.changeId)?.version === head.version) {
        return ok(undefined);
    }
    return err(errors.createConflictError(parsed?.version ?? 0));
}

function findRecentChange(heads: readonly (chunks.ConfigurationHead | undefined)[], changeId: string): { readonly head: chunks.ConfigurationHead; readonly version: number; } | undefined {
    for (const head of heads) {
        const found = head?.recent.find(change => change.changeId === changeId);
        if (head !== undefined && found !== undefined) {
            return { head, version: found.version };
        }
    }
    return undefined;
}

/** Creates the error for a change that was not accepted because its head was not written. */
function createNotAcceptedError(error: errors.FleetError): errors.FleetError {
    return error.kind === "storeUnavailable" ? errors.createError("storeUnavailable", `the change was not accepted: ${error.message}`) : error;
}
