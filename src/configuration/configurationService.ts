/** The service through which operators and other plug-ins read and change the configuration. */

import { err, ok, type Result } from "neverthrow";
import type * as promClient from "prom-client";
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

const freshnessCheckIntervalMs = 250;
/** Maximum number of attempts to apply an edit that conflicts with other changes. */
const maximumEditAttempts = 5;

/** How many of a version's unused entries its log line describes. */
const maximumLoggedOmissions = 5;

/** An accepted change. */
export interface ChangeResult {
    readonly version: number;
    readonly changeId: string;
}

/** Derives a new document from the active one; an error rejects the change. */
export type DocumentEdit = (document: schema.ConfigurationDocument) => Result<schema.ConfigurationDocument, errors.FleetError>;

/** Options of the configuration service. */
export interface CreateConfigurationServiceOptions {
    readonly context: context.Context;
    readonly store: store.StoreService;
    readonly mesh: peers.Mesh;
}

/** Keeps the configuration of this instance current and writes changes to the store. */
export class ConfigurationService {
    private readonly state = new configurationState.ConfigurationState();
    private readonly writer: changeWriter.ChangeWriter;
    private readonly peerSync: peerSync.PeerSync;
    private readonly storeSync: storeSync.StoreSync;
    private readonly freshness: freshnessTracker.FreshnessTracker;
    private readonly externalCache: store.PrefixCache;
    private readonly omissionCounter: promClient.Counter;
    private parseExternalConfiguration: externalConfiguration.ConfigurationParser | undefined;

    constructor(private readonly options: CreateConfigurationServiceOptions) {
        const { context, store: storeService, mesh } = options;
        const { state } = this;
        this.freshness = new freshnessTracker.FreshnessTracker({ staleAfterMs: context.settings.staleAfterMs }, context.clock.getNow());
        configurationMetrics.createConfigurationGauges(context, state);
        this.omissionCounter = configurationMetrics.createOmissionCounter(context);
        this.writer = new changeWriter.ChangeWriter({ store: storeService, getActiveVersion: () => state.getVersion(), getActiveHead: () => state.getCurrent()?.head });
        this.peerSync = new peerSync.PeerSync({ context, mesh, state });
        this.externalCache = new store.PrefixCache({
            context,
            store: storeService,
            prefix: context.settings.configurationKey,
            decideOrder: () => "newer",
            onChange: entries => this.applyExternalEntry(entries.get(context.settings.configurationKey)),
        });
        this.storeSync = new storeSync.StoreSync({ context, store: storeService, mesh, state, writer: this.writer, isNearlyStale: () => this.freshness.isNearlyStale(context.clock.getNow()) });
    }

    /**
     * Starts to follow the store and the peers.
     * @param parseExternalConfiguration - Parses a configuration that another program writes to the store.
     */
    start(parseExternalConfiguration: externalConfiguration.ConfigurationParser): void {
        const { loop } = this.options.context;
        this.parseExternalConfiguration = parseExternalConfiguration;
        this.peerSync.start();
        if (this.isExternal()) {
            this.externalCache.start();
        }
        else {
            this.storeSync.start();
        }
        loop.scheduleRepeatedly(freshnessCheckIntervalMs, () => this.recordFreshness());
    }

    /** Stops following the store. */
    stop(): void {
        this.storeSync.stop();
        this.externalCache.stop();
    }

    /** Stops or resumes the watch of a configuration that another program writes, while peers send its versions. */
    setStoreWatch(isNeeded: boolean): void {
        if (!this.isExternal()) {
            return;
        }
        if (isNeeded) {
            this.externalCache.restartWatch();
        }
        else {
            this.externalCache.stopWatch();
        }
    }

    /** Returns the active configuration; undefined before the first. */
    getCurrent(): compiledConfiguration.CompiledConfiguration | undefined {
        return this.state.getCurrent();
    }

    /** Returns whether a newer version may be active elsewhere without this instance knowing of it. */
    isStale(): boolean {
        return this.options.context.settings.store !== "memory:" && this.freshness.isStale(this.options.context.clock.getNow());
    }

    /** Calls a listener after each new version, and immediately if a version is active. */
    addListener(listener: configurationState.ConfigurationListener): void {
        this.state.addListener(listener);
    }

    /**
     * Replaces the whole configuration.
     * @param text - The document as JSON.
     * @param baseVersion - The version that the document is based on; 0 for the active one.
     * @param changeId - The operator's identifier of the change; generated if empty.
     */
    async applyDocumentText(text: string, baseVersion: number, changeId: string): Promise<Result<ChangeResult, errors.FleetError>> {
        const document = checkDocument.parseDocument(text);
        if (document.isErr()) {
            return err(document.error);
        }
        return this.writeDocument(document.value, baseVersion === 0 ? this.state.getVersion() : baseVersion, changeId);
    }

    /**
     * Edits the active configuration. After a conflict with another change, the edit is applied to the newer version.
     * @param changeId - The operator's identifier of the change; generated if empty.
     */
    async applyEdit(edit: DocumentEdit, changeId: string): Promise<Result<ChangeResult, errors.FleetError>> {
        const id = changeId === "" ? this.options.context.randomness.getIdentifier(8) : changeId;
        let lastResult: Result<ChangeResult, errors.FleetError> = err(errors.createError("notConfigured"));
        for (let attempt = 0; attempt < maximumEditAttempts; attempt += 1) {
            const current = this.state.getCurrent();
            const edited = current === undefined ? err(errors.createError("notConfigured")) : edit(current.document).andThen(checkDocument.checkDocument);
            if (current === undefined || edited.isErr()) {
                return edited.isErr() ? err(edited.error) : lastResult;
            }
            lastResult = await this.writeDocument(edited.value, current.head.version, id);
            if (lastResult.isOk() || lastResult.error.kind !== "configurationConflict") {
                return lastResult;
            }
            await this.readNewerVersion();
        }
        return lastResult;
    }

    /** Counts the known instances that are not suspect (`known`), and those of them on which this version or a later one is active (`inForce`). */
    getRolloutProgress(version: number): { readonly known: number; readonly inForce: number; } {
        const members = this.options.mesh.listMembers().filter(member => member.state !== "suspect");
        return { known: members.length, inForce: members.filter(member => member.configurationVersion >= version).length };
    }

    /** Returns the state of the configuration for the diagnostic dump. */
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
        const { head, chunkTexts, isDuplicate } = accepted.value;
        if (!isDuplicate) {
            const applied = this.state.applyVersion(head, chunkTexts);
            logger.writeInfo("configuration-accepted", `version ${head.version} was accepted`, { version: head.version, changeId: id });
            return applied.map(() => ({ version: head.version, changeId: id }));
        }
        return ok({ version: head.version, changeId: id });
    }

    private isExternal(): boolean {
        return this.options.context.settings.configurationKey !== "";
    }

    private applyExternalEntry(entry: store.Entry | undefined): void {
        const { logger, settings } = this.options.context;
        if (entry === undefined || this.parseExternalConfiguration === undefined) {
            return;
        }
        const applied = this.parseExternalConfiguration(entry.value).andThen(({ version, document, omissions = [] }) => {
            this.recordOmissions(version, omissions);
            const documentChunks = chunks.createChunks(document);
            const head = { version, changeId: `revision-${entry.revision}`, chunks: Object.fromEntries(documentChunks.map(chunk => [chunk.name, chunk.hash])), recent: [] };
            return this.state.applyVersion(head, new Map(documentChunks.map(chunk => [chunk.hash, chunk.text])));
        });
        if (applied.isErr()) {
            logger.writeError("configuration-refused", `the value of ${settings.configurationKey} was rejected: ${applied.error.message}`, { key: settings.configurationKey, revision: entry.revision, kind: applied.error.kind });
            return;
        }
        if (applied.value) {
            logger.writeInfo("configuration-in-force", `version ${this.state.getVersion()} is active`, { version: this.state.getVersion(), revision: entry.revision, source: "store" });
        }
    }

    /** Logs the entries of a version that are not used, once for each version. */
    private recordOmissions(version: number, omissions: readonly string[]): void {
        if (version <= this.state.getVersion() || omissions.length === 0) {
            return;
        }
        this.omissionCounter.inc(omissions.length);
        this.options.context.logger.writeWarning("configuration-entries-omitted", `version ${version} has ${omissions.length} entries that are not used: ${omissions.slice(0, maximumLoggedOmissions).join("; ")}`, {
            version,
            count: omissions.length,
        });
    }

    private async readNewerVersion(): Promise<void> {
        const stored = await this.writer.readHead();
        const head = stored.isOk() ? stored.value.head : undefined;
        if (head !== undefined && head.version > this.state.getVersion()) {
            const chunkTexts = await this.writer.readChunks(this.state.listMissingChunks(head));
            chunkTexts.andThen(received => this.state.applyVersion(head, received));
        }
    }

    private recordFreshness(): void {
        const { mesh, context, store: storeService } = this.options;
        const others = mesh.listMembers().filter(member => member.instanceId !== context.identity.instanceId);
        const reachable = others.filter(member => member.state !== "suspect");
        const reachableIds = reachable.map(member => member.instanceId);
        const isBehind = reachable.some(member => member.configurationVersion > this.state.getVersion());
        const drainingIds = others.filter(member => member.state === "draining").map(member => member.instanceId);
        this.freshness.recordObservation({ reachableIds, drainingIds, timeSinceStoreSuccessMs: storeService.getTimeSinceSuccessMs(), isBehind }, context.clock.getNow());
    }
}

/** The registry key of the configuration service. */
export const configurationKey = serviceRegistry.createServiceKey<ConfigurationService>("configuration");
