/** The configuration in force at this instance; its version only rises. */

import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as checkDocument from "./checkDocument.js";
import * as chunks from "./chunks.js";
import * as compiledConfiguration from "./compiledConfiguration.js";

/** Called after a version came into force. */
export type ConfigurationListener = (configuration: compiledConfiguration.CompiledConfiguration) => void;

/** Holds the configuration in force and its chunks. */
export class ConfigurationState {
    private current?: compiledConfiguration.CompiledConfiguration;
    private texts: ReadonlyMap<string, string> = new Map();
    private readonly listeners: ConfigurationListener[] = [];

    /** Returns the configuration in force. */
    getCurrent(): compiledConfiguration.CompiledConfiguration | undefined {
        return this.current;
    }

    /** Returns the version in force; 0 for none. */
    getVersion(): number {
        return this.current?.head.version ?? 0;
    }

    /** Returns the chunks in force: texts by hash. */
    getChunkTexts(): ReadonlyMap<string, string> {
        return this.texts;
    }

    /**
     * Calls back after each new version, and at once where one is in force.
     * @param listener - The callback.
     */
    addListener(listener: ConfigurationListener): void {
        this.listeners.push(listener);
        if (this.current !== undefined) {
            listener(this.current);
        }
    }

    /**
     * Lists the hashes of a head's chunks that are not held here.
     * @param head - The head.
     */
    listMissingChunks(head: chunks.ConfigurationHead): readonly string[] {
        return [...new Set(Object.values(head.chunks))].filter(hash => !this.texts.has(hash));
    }

    /**
     * Puts a version in force if it is newer; returns whether it was.
     * @param head - The version's head.
     * @param received - Texts by hash of the chunks that are not held here.
     */
    applyVersion(head: chunks.ConfigurationHead, received: ReadonlyMap<string, string>): Result<boolean, errors.FleetError> {
        if (head.version <= this.getVersion()) {
            return ok(false);
        }
        const byName = new Map<string, string>();
        const kept = new Map<string, string>();
        for (const [name, hash] of Object.entries(head.chunks)) {
            const text = this.texts.get(hash) ?? received.get(hash);
            if (text === undefined || chunks.computeHash(text) !== hash) {
                return err(errors.createError("configurationInvalid", `the chunk ${name} of version ${head.version} is missing or damaged`));
            }
            byName.set(name, text);
            kept.set(hash, text);
        }
        return checkDocument.checkDocument(chunks.mergeChunks(byName)).map(document => {
            const next = compiledConfiguration.createCompiledConfiguration(head, document);
            this.current = next;
            this.texts = kept;
            this.listeners.forEach(listener => listener(next));
            return true;
        });
    }
}
