/** Implements the RPC service for operators that the protobuf schema defines. */

import { Code, ConnectError, createClient } from "@connectrpc/connect";
import type { ServiceImpl } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as callers from "../callers/index.js";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as kernel from "../kernel/kernel.js";
import type * as peers from "../peers/index.js";
import type * as pool from "../pool/index.js";
import * as operatorPb from "../rpc/agatebend/v1/operator_pb.js";

/** How often the rollout progress of a change is checked, in milliseconds. */
const rolloutPollIntervalMs = 20;
/** The longest time that a call waits for a change to become active on all instances, in milliseconds. */
const maximumWaitMs = 60_000;
const maximumChangeIdLength = 128;

/** Options of the RPC service. */
export interface CreateOperatorServiceOptions {
    readonly context: context.Context;
    readonly configuration: configuration.ConfigurationService;
    readonly mesh: peers.Mesh;
    readonly pool: pool.Pool;
    readonly handler: callers.CallerRequestHandler;
    readonly lifecycle: kernel.Lifecycle;
    readonly secret: string;
    /** The certificates for TLS at the operator ports; plain HTTP if undefined. */
    readonly tlsFiles: peers.TlsFiles | undefined;
}

/** Answers operators' RPC calls. */
export class OperatorService {
    constructor(private readonly options: CreateOperatorServiceOptions) {}

    /** Returns the functions that implement the methods of the schema. */
    getImplementation(): ServiceImpl<typeof operatorPb.OperatorService> {
        return {
            apply: request => this.applyConfiguration(request),
            get: request => this.getSection(request),
            retire: request => this.retireFeatures(request),
            drain: request => this.drainTarget(request),
            dump: () => ({ json: JSON.stringify(this.options.lifecycle.getDump()) }),
            status: () => this.getStatus(),
        };
    }

    private async applyConfiguration(request: operatorPb.ApplyRequest) {
        checkChangeId(request.changeId);
        const change = await this.options.configuration.applyDocumentText(request.configurationJson, Number(request.baseVersion), request.changeId);
        return this.createChangeResponse(change, request.waitMs);
    }

    private async retireFeatures(request: operatorPb.RetireRequest) {
        checkChangeId(request.changeId);
        if (request.features.length === 0) {
            throw createConnectError(errors.createError("badRequest", "features: empty: name at least one feature"));
        }
        const change = await this.options.configuration.applyEdit(
            document => ok({ ...document, retiredFeatures: [...new Set([...document.retiredFeatures, ...request.features])] }),
            request.changeId,
        );
        return this.createChangeResponse(change, request.waitMs);
    }

    private async drainTarget(request: operatorPb.DrainRequest) {
        checkChangeId(request.changeId);
        const drained = await match(request.target)
            .with({ case: "instanceId" }, ({ value }) => this.drainInstance(value))
            .with({ case: "upstream" }, ({ value }) => this.drainUpstream(value, request.changeId))
            .with({ case: undefined }, async () => err(errors.createError("badRequest", "target: missing: name an instance or an upstream")))
            .exhaustive();
        if (drained.isErr()) {
            throw createConnectError(drained.error);
        }
        return drained.value;
    }

    private async drainInstance(instanceId: string): Promise<Result<{ detail: string; version: bigint; }, errors.FleetError>> {
        const { lifecycle, mesh, context: { identity }, secret } = this.options;
        if (instanceId === identity.instanceId) {
            void lifecycle.drain();
            return ok({ detail: `instance ${instanceId} drains and then stops`, version: 0n });
        }
        const member = mesh.getMember(instanceId);
        if (member === undefined || member.operatorAddress === "") {
            return err(errors.createError("instanceUnknown", `no instance ${instanceId} is known; known: ${mesh.listMembers().map(listedMember => listedMember.instanceId).join(", ")}`));
        }
        const { tlsFiles } = this.options;
        const transport = createConnectTransport({
            baseUrl: `${tlsFiles === undefined ? "http" : "https"}://${member.operatorAddress}`,
            httpVersion: "1.1",
            nodeOptions: tlsFiles === undefined ? {} : { ca: tlsFiles.ca },
            interceptors: [next => call => {
                call.header.set("authorization", `Bearer ${secret}`);
                return next(call);
            }],
        });
        try {
            const { detail } = await createClient(operatorPb.OperatorService, transport).drain({ target: { case: "instanceId", value: instanceId } });
            return ok({ detail, version: 0n });
        }
        catch (thrown) {
            return err(errors.createError("peerUnreachable", `instance ${instanceId} at ${member.operatorAddress}: ${errors.getErrorMessage(thrown)}`));
        }
    }

    private async drainUpstream(name: string, changeId: string): Promise<Result<{ detail: string; version: bigint; }, errors.FleetError>> {
        const separatorIndex = name.indexOf("/");
        const service = name.slice(0, Math.max(0, separatorIndex));
        const upstream = name.slice(separatorIndex + 1);
        const change = await this.options.configuration.applyEdit(document => setUpstreamLeaving(document, service, upstream), changeId);
        return change.map(({ version }) => ({ detail: `upstream ${name} receives no new requests`, version: BigInt(version) }));
    }

    private getSection(request: operatorPb.GetRequest) {
        const { configuration: configurationService, mesh, pool: upstreamPool, handler } = this.options;
        const current = configurationService.getCurrent();
        const section = request.section === "" ? "configuration" : request.section;
        const sections: Readonly<Record<string, () => unknown>> = {
            configuration: () => current?.document,
            retired: () => ({ retiredFeatures: current?.document.retiredFeatures ?? [], calls: handler.listRetiredFeatureCalls() }),
            instances: () => mesh.listMembers(),
            upstreams: () => upstreamPool.getDump(),
        };
        const readSection = Object.hasOwn(sections, section) ? sections[section] : undefined;
        if (readSection === undefined) {
            throw createConnectError(errors.createError("badRequest", `section: value ${JSON.stringify(section)}: allowed: ${Object.keys(sections).join(", ")}`));
        }
        if (section === "configuration" && current === undefined) {
            throw createConnectError(errors.createError("notConfigured"));
        }
        return { version: BigInt(current?.head.version ?? 0), json: JSON.stringify(readSection()) };
    }

    private getStatus() {
        const { mesh, configuration: configurationService, context: { identity } } = this.options;
        return {
            instanceId: identity.instanceId,
            version: BigInt(configurationService.getCurrent()?.head.version ?? 0),
            instances: mesh.listMembers().map(member => ({
                instanceId: member.instanceId,
                failureDomain: member.failureDomain,
                callerAddress: member.callerAddress,
                state: member.state,
                version: BigInt(member.configurationVersion),
            })),
        };
    }

    private async createChangeResponse(change: Result<{ readonly version: number; readonly changeId: string; }, errors.FleetError>, waitMs: number) {
        if (change.isErr()) {
            throw createConnectError(change.error);
        }
        const { version, changeId } = change.value;
        const progress = await this.waitForRollout(version, Math.min(waitMs, maximumWaitMs));
        return { version: BigInt(version), changeId, instancesKnown: progress.known, instancesInForce: progress.inForce };
    }

    private async waitForRollout(version: number, waitMs: number): Promise<{ readonly known: number; readonly inForce: number; }> {
        const { configuration: configurationService, context: { clock, loop } } = this.options;
        const deadlineAt = clock.getNow() + waitMs;
        let progress = configurationService.getRolloutProgress(version);
        while (progress.inForce < progress.known && clock.getNow() < deadlineAt) {
            await new Promise<void>(resolve => loop.scheduleOnce(rolloutPollIntervalMs, resolve));
            progress = configurationService.getRolloutProgress(version);
        }
        return progress;
    }
}

/**
 * Creates the RPC error for an error; the header x-agatebend-error carries the error's kind.
 * @param error - The error.
 */
export function createConnectError(error: errors.FleetError): ConnectError {
    return new ConnectError(error.message, Code[errors.getErrorDefinition(error).code], { "x-agatebend-error": error.kind });
}

function checkChangeId(changeId: string): void {
    if (changeId.length > maximumChangeIdLength) {
        throw createConnectError(errors.createError("badRequest", `changeId: ${changeId.length} characters: at most ${maximumChangeIdLength} are allowed`));
    }
}

function setUpstreamLeaving(document: configuration.ConfigurationDocument, service: string, upstream: string): Result<configuration.ConfigurationDocument, errors.FleetError> {
    const definition = document.services[service];
    if (definition?.upstreams.some(candidate => candidate.id === upstream) !== true) {
        return err(errors.createError("upstreamUnknown", `no upstream ${service}/${upstream} is configured; name it as SERVICE/UPSTREAM`));
    }
    const upstreams = definition.upstreams.map(candidate => candidate.id === upstream ? { ...candidate, state: "leaving" as const } : candidate);
    return ok({ ...document, services: { ...document.services, [service]: { ...definition, upstreams } } });
}
