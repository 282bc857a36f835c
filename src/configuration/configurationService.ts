/** What operators and other plug-ins use of the configuration. */

import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import * as store from "../store/index.js";
import * as changeWriter from "./changeWriter.js";
import * as checkDocument from "./checkDocument.js";
import * as chunks from "./chunks.js";
import type * as compiledConfiguration from "./compiledConfiguration.js";
import * as configurationMetrics from "./configurationMetrics.js";
import * as configurationState from "./configurationState.js";
import type * as externalConfiguration from "./externalConfiguration.js";
import * as freshnessTracker from "./freshnessTracker.js";
import * as peerSync from "./peerSync.js";
import type * as schema from "./schema.js";
import * as storeSync from "./storeSync.js";

/** Milliseconds between two judgements of freshness. */
const freshnessIntervalMs = 250;
/** How often a change made from the configuration in force is tried again after losing to another. */
const editAttempts = 5;

/** The result of a change. */
export interface ChangeResult {
    readonly version: number;
    readonly changeId: string;
}

/** A change of the document in force; a problem rejects it. */
export type DocumentEdit = (document: schema.ConfigurationDocument) => Result<schema.ConfigurationDocument, errors.FleetError>;

/** Options of the configuration service. */
export interface CreateConfigurationServiceOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly mesh: peers.Mesh;
}

/** The configuration of the fleet as this instance knows it. */
export class ConfigurationService {
    private readonly state = new configurationState.ConfigurationState();
    private readonly writer: changeWriter.ChangeWriter;
    private readonly peerSync: peerSync.PeerSync;
    private readonly storeSync: storeSync.StoreSync;
    private readonly freshness: freshnessTracker.FreshnessTracker;
    private readonly follower: store.PrefixCache;
    private parseExternal: externalConfiguration.ConfigurationParser | undefined;

    constructor(private readonly options: CreateConfigurationServiceOptions) {
        const { context: shared, store: platform, mesh } = options;
        const { state } = this;
        this.freshness = new freshnessTracker.FreshnessTracker({ staleAfterMs: shared.settings.staleAfterMs }, shared.clock.getNow());
        configurationMetrics.createConfigurationGauges(shared, state);
        this.writer = new changeWriter.ChangeWriter({ store: platform, getActiveVersion: () => state.getVersion(), getActiveHead: () => state.getCurrent()?.head });
        this.peerSync = new peerSync.PeerSync({ context: shared, mesh, state });
        this.follower = new store.PrefixCache({ context: shared, store: platform, prefix: shared.settings.configurationKey, onChange: entries => this.receiveExternal(entries.get(shared.settings.configurationKey)) });
        this.storeSync = new storeSync.StoreSync({ context: shared, store: platform, mesh, state, writer: this.writer, isNearlyStale: () => this.freshness.isNearlyStale(shared.clock.getNow()) });
    }

    /**
     * Begins to follow the store and the peers.
     * @param parseExternal - Parses a configuration that another program writes.
     */
    start(parseExternal: externalConfiguration.ConfigurationParser): void {
        const { loop } = this.options.context;
        this.parseExternal = parseExternal;
        this.peerSync.start();
        if (this.isExternal()) {
            this.follower.start();
        }
        else {
            this.storeSync.start();
        }
        loop.scheduleRepeatedly(freshnessIntervalMs, () => this.recordFreshness());
    }

    /** Stops following. */
    stop(): void {
        this.storeSync.stop();
        this.follower.stop();
    }

    /** Returns the configuration in force. */
    getCurrent(): compiledConfiguration.CompiledConfiguration | undefined {
        return this.state.getCurrent();
    }

    /** Returns whether a newer version may be in force elsewhere without this instance having heard of it. */
    isStale(): boolean {
        return this.options.context.settings.store !== "memory:" && this.freshness.isStale(this.options.context.clock.getNow());
    }

    /**
     * Calls back after each new version.
     * @param listener - The callback.
     */
    addListener(listener: configurationState.ConfigurationListener): void {
        this.state.addListener(listener);
    }

    /**
     * Replaces the whole configuration.
     * @param text - The document as JSON.
     * @param baseVersion - The version it is based on; 0 for the one in force here.
     * @param changeId - The operator's identifier of the change; random where empty.
     */
    async applyDocumentText(text: string, baseVersion: number, changeId: string): Promise<Result<ChangeResult, errors.FleetError>> {
        const document = checkDocument.parseDocument(text);
        if (document.isErr()) {
            return err(document.error);
        }
        return this.writeDocument(document.value, baseVersion === 0 ? this.state.getVersion() : baseVersion, changeId);
    }

    /**
     * Changes the configuration in force; tries again on top of a change that came first.
     * @param edit - The change.
     * @param changeId - The operator's identifier of the change; random where empty.
     */
    async applyEdit(edit: DocumentEdit, changeId: string): Promise<Result<ChangeResult, errors.FleetError>> {
        const id = changeId === "" ? this.options.context.randomness.getIdentifier(8) : changeId;
        let last: Result<ChangeResult, errors.FleetError> = err(errors.createError("notConfigured"));
        for (let attempt = 0; attempt < editAttempts; attempt += 1) {
            const current = this.state.getCurrent();
            const edited = current === undefined ? err(errors.createError("notConfigured")) : edit(current.document).andThen(checkDocument.checkDocument);
            if (current === undefined || edited.isErr()) {
                return edited.isErr() ? err(edited.error) : last;
            }
            last = await this.writeDocument(edited.value, current.head.version, id);
            if (last.isOk() || last.error.kind !== "configurationConflict") {
                return last;
            }
            await this.readNewer();
        }
        return last;
    }

    /**
     * Counts the instances that have reported a version, or a later one, in force.
     * @param version - The version.
     */
    getRolloutProgress(version: number): { readonly known: number; readonly inForce: number; } {
        const known = this.options.mesh.listMembers().filter(member => member.state !== "suspect");
        return { known: known.length, inForce: known.filter(member => member.configurationVersion >= version).length };
    }

    /** Returns the configuration's state for the dump. */
    getDump(): unknown {
        const current = this.state.getCurrent();
        return {
            version: this.state.getVersion(),
            changeId: current?.head.changeId,
            chunks: current === undefined ? 0 : Object.keys(current.head.chunks).length,
            bytes: [...this.state.getChunkTexts().values()].reduce((sum, text) => sum + text.length, 0),
            isWatchingStore: this.storeSync.isWatcher(),
            isStale: this.isStale(),
            retiredFeatures: current?.document.retiredFeatures ?? [],
        };
    }

    private async writeDocument(document: schema.ConfigurationDocument, baseVersion: number, changeId: string): Promise<Result<ChangeResult, errors.FleetError>> {
        const { logger, randomness } = this.options.context;
        if (this.isExternal()) {
            return err(errors.createError("configurationElsewhere"));
        }
        const id = changeId === "" ? randomness.getIdentifier(8) : changeId;
        const accepted = await this.writer.writeChange({ document, baseVersion, changeId: id });
        if (accepted.isErr()) {
            logger.writeWarning("configuration-refused", accepted.error.message, { changeId: id, kind: accepted.error.kind });
            return err(accepted.error);
        }
        const { head, texts, isRepeat } = accepted.value;
        if (!isRepeat) {
            const adopted = this.state.applyVersion(head, texts);
            logger.writeInfo("configuration-accepted", `version ${head.version} was accepted`, { version: head.version, changeId: id });
            return adopted.map(() => ({ version: head.version, changeId: id }));
        }
        return ok({ version: head.version, changeId: id });
    }

    private isExternal(): boolean {
        return this.options.context.settings.configurationKey !== "";
    }

    private receiveExternal(entry: store.Entry | undefined): void {
        const { logger, settings } = this.options.context;
        if (entry === undefined || this.parseExternal === undefined) {
            return;
        }
        const adopted = this.parseExternal(entry.value).andThen(({ version, document }) => {
            const split = chunks.createChunks(document);
            const head = { version, changeId: `revision-${entry.revision}`, chunks: Object.fromEntries(split.map(chunk => [chunk.name, chunk.hash])), recent: [] };
            return this.state.applyVersion(head, new Map(split.map(chunk => [chunk.hash, chunk.text])));
        });
        if (adopted.isErr()) {
            logger.writeError("configuration-refused", `the value of ${settings.configurationKey} is left out: ${adopted.error.message}`, { key: settings.configurationKey, revision: entry.revision, kind: adopted.error.kind });
            return;
        }
        if (adopted.value) {
            logger.writeInfo("configuration-in-force", `version ${this.state.getVersion()} is in force`, { version: this.state.getVersion(), revision: entry.revision, source: "store" });
        }
    }

    private async readNewer(): Promise<void> {
        const stored = await this.writer.readHead();
        const head = stored.isOk() ? stored.value.head : undefined;
        if (head !== undefined && head.version > this.state.getVersion()) {
            const texts = await this.writer.readChunks(this.state.listMissingChunks(head));
            texts.andThen(received => this.state.applyVersion(head, received));
        }
    }

    private recordFreshness(): void {
        const { mesh, context: shared, store: platform } = this.options;
        const others = mesh.listMembers().filter(member => member.instanceId !== shared.identity.instanceId);
        const audible = others.filter(member => member.state !== "suspect");
        const heard = audible.map(member => member.instanceId);
        const isBehind = audible.some(member => member.configurationVersion > this.state.getVersion());
        const leaving = others.filter(member => member.state === "draining").map(member => member.instanceId);
        this.freshness.recordObservation({ reachableIds: heard, drainingIds: leaving, timeSinceStoreSuccessMs: platform.getTimeSinceSuccessMs(), isBehind }, shared.clock.getNow());
    }
}

/** The key of the configuration service. */
export const configurationKey = serviceRegistry.createServiceKey<ConfigurationService>("configuration");
