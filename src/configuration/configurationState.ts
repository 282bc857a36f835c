/** The configuration that is active (in force) on this instance. Its version never decreases. */

import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as checkDocument from "./checkDocument.js";
import * as chunks from "./chunks.js";
import * as compiledConfiguration from "./compiledConfiguration.js";

/** Called after a version became active. */
export type ConfigurationListener = (configuration: compiledConfiguration.CompiledConfiguration) => void;

/** Holds the active configuration and its chunks. */
export class ConfigurationState {
    private current?: compiledConfiguration.CompiledConfiguration;
    private chunkTexts: ReadonlyMap<string, string> = new Map();
    private readonly listeners: ConfigurationListener[] = [];

    /** Returns the active configuration; undefined before the first. */
    getCurrent(): compiledConfiguration.CompiledConfiguration | undefined {
        return this.current;
    }

    /** Returns the active version; 0 before the first. */
    getVersion(): number {
        return this.current?.head.version ?? 0;
    }

    /** Returns the chunk texts of the active version by hash. */
    getChunkTexts(): ReadonlyMap<string, string> {
        return this.chunkTexts;
    }

    /** Calls a listener after each new version, and immediately if a version is active. */
    addListener(listener: ConfigurationListener): void {
        this.listeners.push(listener);
        if (this.current !== undefined) {
            listener(this.current);
        }
    }

    /** Lists the hashes of a head's chunks that the active version does not contain. */
    listMissingChunks(head: chunks.ConfigurationHead): readonly string[] {
        return [...new Set(Object.values(head.chunks))].filter(hash => !this.chunkTexts.has(hash));
    }

    /**
     * Activates a version if it is newer than the active one; returns whether it was. Fails with `configurationInvalid`
     * if a chunk is missing or damaged, or if the document is invalid.
     * @param head - The head of the version.
     * @param received - The texts, by hash, of the chunks that `listMissingChunks` names.
     */
    applyVersion(head: chunks.ConfigurationHead, received: ReadonlyMap<string, string>): Result<boolean, errors.FleetError> {
        if (head.version <= this.getVersion()) {
            return ok(false);
        }
        const textsByName = new Map<string, string>();
        const textsByHash = new Map<string, string>();
        for (const [name, hash] of Object.entries(head.chunks)) {
            const text = this.chunkTexts.get(hash) ?? received.get(hash);
            if (text === undefined || chunks.computeHash(text) !== hash) {
                return err(errors.createError("configurationInvalid", `chunk ${name} of version ${head.version} is missing or does not match its hash`));
            }
            textsByName.set(name, text);
            textsByHash.set(hash, text);
        }
        return chunks.mergeChunks(textsByName).andThen(checkDocument.checkDocument).map(document => {
            const next = compiledConfiguration.createCompiledConfiguration(head, document);
            this.current = next;
            this.chunkTexts = textsByHash;
            this.listeners.forEach(listener => listener(next));
            return true;
        });
    }
}
