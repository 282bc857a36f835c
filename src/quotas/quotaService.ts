/** Admits requests within the quotas of their workspaces, and exchanges tokens with the other instances. */

import { err, ok, type Result } from "neverthrow";
import { match } from "ts-pattern";
import type * as configuration from "../configuration/index.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import * as quotaLimits from "./quotaLimits.js";
import * as quotaMessages from "./quotaMessages.js";
import * as quotaMetrics from "./quotaMetrics.js";
import * as quotaNode from "./quotaNode.js";
import * as suspensionClock from "./suspensionClock.js";

const topic = "quota";
/** A relay through which a message got no reply is not used for this long if there is another, in milliseconds. */
const relayPauseMs = 2_000;
/** After how long without any link an instance takes itself to be alone, although it knows addresses of others, in milliseconds. */
const aloneAfterMs = 600_000;
/** For how long after the start each known address counts as a member, in milliseconds: others that started at the same time may be behind a cut. */
const addressesCountMs = 60_000;
/** The size of a fleet of which only addresses are known. Larger than that of most fleets, so that the part that an unlinked instance uses is a safe one. */
const assumedFleetSize = 50;
/** Malformed messages are logged once in this time, in milliseconds. */
const malformedLogIntervalMs = 1_000;

/** The right to have one request executed. */
export interface QuotaPermit {
    /** Returns the credit; to be called if the request was refused without having been executed. */
    readonly restoreCredit: () => void;
}

/** Options of the quota service. */
export interface CreateQuotaServiceOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly configuration: Pick<configuration.ConfigurationService, "addListener">;
    /** How long the process has run, in milliseconds. What an earlier process of this instance delegated ends a second after its start. */
    readonly processAgeMs?: number;
}

type AcquireResult = Result<QuotaPermit, errors.FleetError>;

const freePermit: QuotaPermit = { restoreCredit: () => {} };

/** Connects the node of this instance to the configuration, the mesh and the callers' requests. */
export class QuotaService {
    private readonly node: quotaNode.QuotaNode;
    private readonly metrics: quotaMetrics.QuotaMetrics;
    private readonly getNow: () => number;
    private readonly startedAt: number;
    private readonly pausedRelays = new Map<string, number>();
    private limits: ReadonlyMap<string, quotaLimits.QuotaLimit> = new Map();
    private hasBeenLinked = false;
    private malformedLoggedAt = -Infinity;

    constructor(private readonly options: CreateQuotaServiceOptions) {
        const { context: { identity, clock, loop, logger } } = options;
        this.getNow = suspensionClock.createSuspensionClock(clock);
        this.startedAt = this.getNow() - (options.processAgeMs ?? 0);
        this.metrics = new quotaMetrics.QuotaMetrics(options.context);
        this.node = new quotaNode.QuotaNode({
            selfId: identity.instanceId,
            incarnation: identity.incarnation,
            getNow: this.getNow,
            startedAt: this.startedAt,
            loop,
            sendAsk: (ask, listener) => void this.sendAsk(ask, listener),
            onOwnerChange: owners => logger.writeInfo("quota-owner-changed", `quotas are owned by ${owners.join(" and ")} now`, { owners: owners.join(" "), own: owners.includes(identity.instanceId) }),
            onTokens: (granted, asked) => this.metrics.recordTokens(granted, asked),
        });
    }

    /** Applies the quotas of each configuration, and starts to answer other instances. */
    start(): void {
        const { mesh, configuration: configurationService, context: { loop } } = this.options;
        mesh.setHandler(topic, body => this.handleAsk(body));
        configurationService.addListener(({ document }) => this.setWorkspaces(document.workspaces));
        loop.scheduleRepeatedly(quotaNode.tickIntervalMs, () => this.runTick());
    }

    /**
     * Asks for the admission of a request. Returns a `quotaExceeded` error if the workspace's quota is used up.
     * @param workspace - The workspace's name; empty if the request has none.
     */
    acquire(workspace: string): Promise<AcquireResult> {
        const limit = this.limits.get(workspace);
        if (limit === undefined) {
            return Promise.resolve(ok(freePermit));
        }
        return new Promise(resolve =>
            this.node.addRequest(limit, decision => {
                this.metrics.recordDecision(workspace, decision);
                resolve(
                    match(decision)
                        .with({ kind: "granted" }, ({ expiresAt }): AcquireResult => ok(this.createPermit(limit, expiresAt)))
                        .with({ kind: "refused" }, ({ retryAfterMs }): AcquireResult => err(createRefusal(limit, retryAfterMs)))
                        .exhaustive(),
                );
            })
        );
    }

    /** Returns the state for the dump. */
    getDump(): unknown {
        return { limits: this.limits.size, ...this.node.getDump() };
    }

    private createPermit(limit: quotaLimits.QuotaLimit, expiresAt: number): QuotaPermit {
        let isHeld = true;
        return {
            restoreCredit: () => {
                if (isHeld) {
                    isHeld = false;
                    this.metrics.recordReturn();
                    this.node.restoreToken(limit, expiresAt);
                }
            },
        };
    }

    private setWorkspaces(workspaces: configuration.ConfigurationDocument["workspaces"]): void {
        const limits = Object.entries(workspaces).flatMap(([name, { quota }]) => quota === undefined || quota.requestsPerSecond === 0 ? [] : [this.getLimit(name, quota)]);
        this.limits = new Map(limits.map(limit => [limit.name, limit]));
        this.node.setLimits(limits);
        this.runTick();
    }

    /** Returns the limit of the version before if it is the same; a new one costs a hash. */
    private getLimit(name: string, quota: quotaLimits.Quota): quotaLimits.QuotaLimit {
        const known = this.limits.get(name);
        return known !== undefined && known.requestsPerSecond === quota.requestsPerSecond && known.burst === quota.burst ? known : quotaLimits.createQuotaLimit(name, quota);
    }

    private runTick(): void {
        if (this.limits.size === 0) {
            return;
        }
        const { mesh } = this.options;
        const now = this.getNow();
        this.hasBeenLinked ||= mesh.listLinkedPeers().length > 0;
        this.node.runTick({ members: mesh.listMembers(), candidates: this.listCandidates(), expectedCount: this.countExpected(now) });
        this.metrics.writeRefusals(now);
    }

    /** Returns the number of members that an instance assumes which has not heard of others for long, by the addresses that it knows. */
    private countExpected(now: number): number {
        const addresses = this.options.mesh.countPeerAddresses();
        const ageMs = now - this.startedAt;
        if (!this.hasBeenLinked && addresses > 0 && ageMs < aloneAfterMs) {
            return Math.max(assumedFleetSize, addresses + 1);
        }
        return ageMs < addressesCountMs ? addresses + 1 : 1;
    }

    /** Lists the instances that may own quotas: in cells the relays, otherwise all that run. Those without a way to them are left out. */
    private listCandidates(): readonly string[] {
        const { mesh, context: { identity } } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const hasCells = mesh.hasCells();
        const hasRelay = hasCells && mesh.listRelayPeers().length > 0;
        return mesh.listMembers()
            .filter(({ instanceId, state }) => state === "running" && (!hasCells || mesh.isCellRelay(instanceId)) && (instanceId === identity.instanceId || hasRelay || linked.has(instanceId)))
            .map(({ instanceId }) => instanceId);
    }

    private async sendAsk(ask: quotaMessages.Ask, listener: quotaNode.ReplyListener): Promise<void> {
        const nextHop = this.chooseNextHop(ask.ownerId);
        this.metrics.recordMessage("sent");
        const sent = nextHop === undefined ? undefined : await this.options.mesh.sendRequest(nextHop, topic, quotaMessages.encodeAsk(ask));
        const reply = sent?.isOk() === true ? quotaMessages.decodeReply(sent.value) : undefined;
        if (sent?.isOk() === true && reply === undefined) {
            this.recordMalformed("reply");
        }
        if (reply === undefined) {
            this.metrics.recordMessage("failed");
            this.recordRelayFailure(nextHop, ask.ownerId);
        }
        listener(reply);
    }

    private chooseNextHop(ownerId: string): string | undefined {
        const { mesh } = this.options;
        if (mesh.listLinkedPeers().includes(ownerId)) {
            return ownerId;
        }
        const now = this.getNow();
        const relays = mesh.listRelayPeers();
        return relays.find(id => (this.pausedRelays.get(id) ?? -Infinity) <= now) ?? relays[0];
    }

    private recordRelayFailure(relayId: string | undefined, ownerId: string): void {
        if (relayId !== undefined && relayId !== ownerId) {
            const now = this.getNow();
            [...this.pausedRelays].filter(([, until]) => until <= now).forEach(([id]) => this.pausedRelays.delete(id));
            this.pausedRelays.set(relayId, now + relayPauseMs);
        }
    }

    /** Answers a message to this instance, and passes one to another owner on to it. */
    private async handleAsk(body: unknown): Promise<Result<unknown, errors.FleetError>> {
        const { mesh, context: { identity } } = this.options;
        const ask = quotaMessages.decodeAsk(body);
        if (ask === undefined || ask.instanceId === identity.instanceId) {
            this.recordMalformed("request");
            return err(errors.createError("frameInvalid", "a request for tokens is malformed"));
        }
        if (ask.ownerId === identity.instanceId) {
            this.metrics.recordMessage("answered");
            return ok(quotaMessages.encodeReply(this.node.receiveAsk(ask)));
        }
        this.metrics.recordMessage("forwarded");
        return mesh.sendRequest(ask.ownerId, topic, body);
    }

    private recordMalformed(kind: string): void {
        this.metrics.recordMessage("malformed");
        const now = this.getNow();
        if (now - this.malformedLoggedAt >= malformedLogIntervalMs) {
            this.malformedLoggedAt = now;
            this.options.context.logger.writeWarning("quota-message-malformed", `ignored a malformed ${kind} about quotas`, { kind });
        }
    }
}

function createRefusal(limit: quotaLimits.QuotaLimit, retryAfterMs: number): errors.FleetError {
    return { ...errors.createError("quotaExceeded", `the workspace's quota of ${limit.requestsPerSecond} requests per second is used up`), retryAfterMs };
}

/** The service key of the quota service. */
export const quotaServiceKey = serviceRegistry.createServiceKey<QuotaService>("quotas");
