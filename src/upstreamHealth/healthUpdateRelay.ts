/**
 * Distributes health updates through one relay instance in each cell, which is a failure domain or a part of a large one.
 * The relay batches the updates of its cell's instances and sends them to all of these instances in one message. It sends
 * the relays of the other cells one summary of its own cell. Neither the number of messages per instance nor the state
 * that an instance keeps about others grows with the fleet. Below, a domain is a cell.
 */

import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import type * as loop from "../kernel/loop.js";
import * as peers from "../peers/index.js";
import * as healthUpdateBuffer from "./healthUpdateBuffer.js";
import * as healthUpdateCodec from "./healthUpdateCodec.js";

/** How long an instance batches its own updates. */
const localBatchDelayMs = 30;
/** How long a relay batches updates for its own failure domain. */
const domainBatchDelayMs = 50;
/** How long a relay batches updates for the other domains; longer, because traffic between domains is expensive. */
const crossDomainBatchDelayMs = 200;
/** How long an instance delays its own update if it reports a failure. */
const localUrgentDelayMs = 1;
/** How long a relay delays an update that reports a failure; this limits its message rate when many failures occur. */
const relayUrgentDelayMs = 8;
/** A relay that has not distributed an update within this time is avoided; several times the relay's batch delay. */
const relayTimeoutMs = 250;
/** How long a relay is avoided after it timed out. */
const relayAvoidanceMs = 3_000;
/** Delay before loads are sent again after a change of relay, so that they arrive after the updates that the former relay had still buffered. */
const resendDelayMs = 200;
/** Only loads sent within this time are sent again; it covers the relay timeout and the time before it. */
const resendWindowMs = 3_000;
/** The instance that last sent updates of another domain is used as that domain's relay for this time. */
const lastSenderLifetimeMs = 1_500;
/** Marks an origin that stands for a whole cell. */
const cellOriginPrefix = "@";
const topic = "news";
const zeroCounts: healthUpdateBuffer.HealthUpdate["counts"] = { good: 0, bad: 0, survived: 0 };

/** Options of a relay. */
export interface CreateHealthUpdateRelayOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    /** Applies the updates of other instances. */
    readonly applyUpdates: (updates: readonly healthUpdateBuffer.HealthUpdate[]) => void;
    /** Returns how many requests this instance has in flight at an upstream. */
    readonly getLocalInFlight: (upstream: string) => number;
    /** Returns how many requests the instances of the local failure domain have in flight at an upstream. */
    readonly getDomainInFlight: (upstream: string) => number;
}

/** Returns the origin that stands for a whole cell. */
export function getCellOrigin(failureDomain: string): string {
    return `${cellOriginPrefix}${failureDomain}`;
}

/** Returns whether an origin stands for a whole cell rather than for one instance. */
export function isCellOrigin(origin: string): boolean {
    return origin.startsWith(cellOriginPrefix);
}

/** Sends this instance's updates, and relays the updates of others on request. */
export class HealthUpdateRelay {
    private readonly localBuffer: healthUpdateBuffer.HealthUpdateBuffer;
    private readonly domainBuffer: healthUpdateBuffer.HealthUpdateBuffer;
    private readonly crossDomainBuffer: healthUpdateBuffer.HealthUpdateBuffer;
    /** Until when each relay that timed out is avoided, in monotonic milliseconds. */
    private readonly avoidedUntil = new Map<string, number>();
    /** The relay that received updates from this instance and has not distributed them yet; `cancel` stops its timeout. */
    private pendingRelay?: { readonly relay: string; readonly cancel: loop.Cancel; };
    /** The relay that was last used. */
    private currentRelay?: string;
    /** When this instance last added an update of each upstream, in monotonic milliseconds. */
    private readonly lastSentAt = new Map<string, number>();
    /** The instance that last sent updates of each other failure domain. */
    private readonly lastSenders = new Map<string, { readonly peerId: string; readonly at: number; }>();
    private readonly messageCounter: promClient.Counter<"spread">;

    constructor(private readonly options: CreateHealthUpdateRelayOptions) {
        const { context: { loop: timers, metrics }, mesh } = options;
        this.localBuffer = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: localBatchDelayMs, urgentDelayMs: localUrgentDelayMs, sendUpdates: updates => this.sendLocalUpdates(updates) });
        this.domainBuffer = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: domainBatchDelayMs, urgentDelayMs: relayUrgentDelayMs, sendUpdates: updates => this.sendWithinDomain(updates) });
        this.crossDomainBuffer = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: crossDomainBatchDelayMs, urgentDelayMs: relayUrgentDelayMs, sendUpdates: updates => this.sendToOtherDomains(updates) });
        this.messageCounter = new promClient.Counter({ name: "agatebend_news_messages_total", help: "Messages with news of upstreams sent to peers, by how far the receiver hands them on.", labelNames: ["spread"], registers: [metrics] });
        mesh.setNoticeHandler(topic, (from, body) => this.receiveMessage(from, body));
    }

    /** Adds an update of this instance, which becomes its origin. */
    addLocalUpdate(update: Omit<healthUpdateBuffer.HealthUpdate, "origin">): void {
        const { context: { identity, clock } } = this.options;
        this.lastSentAt.set(update.upstream, clock.getNow());
        this.localBuffer.addUpdate({ ...update, origin: identity.instanceId });
    }

    /**
     * Sends the recent loads again if the disconnected peer was the relay that received them.
     * @param peerId - The instance that is no longer linked.
     */
    handlePeerLoss(peerId: string): void {
        if (peerId === this.currentRelay) {
            this.scheduleResend();
        }
    }

    /**
     * Relays that a disconnected instance of the local failure domain has nothing in flight any more, if this instance is the
     * domain's relay.
     * @param origin - The instance that is no longer linked.
     * @param upstreams - The upstreams at which it had requests in flight.
     * @remarks The other domains count these requests in the domain's sum, and an update that a relay still buffers would bring
     * them back here.
     */
    relayLoadEnd(origin: string, upstreams: readonly string[]): void {
        const { context: { identity } } = this.options;
        if (this.chooseRelay(this.getOwnCell(), [identity.instanceId]) === identity.instanceId) {
            this.relayUpdates(upstreams.map(upstream => ({ origin, upstream, inFlight: 0, counts: zeroCounts, newestGoodSentAt: -Infinity })));
        }
    }

    /**
     * Forgets the upstreams whose last update is too old to be sent again.
     * @param now - The time, in monotonic milliseconds.
     */
    removeExpiredSendTimes(now: number): void {
        const old = [...this.lastSentAt].filter(([, at]) => now - at > resendWindowMs);
        old.forEach(([upstream]) => this.lastSentAt.delete(upstream));
    }

    /** Sends recent loads again: updates may be lost with a relay, and a load that is never corrected would keep counting. */
    private scheduleResend(): void {
        const { context: { loop: timers, clock, identity }, getLocalInFlight } = this.options;
        timers.scheduleOnce(resendDelayMs, () => {
            this.removeExpiredSendTimes(clock.getNow());
            for (const upstream of this.lastSentAt.keys()) {
                this.localBuffer.addUpdate({ origin: identity.instanceId, upstream, inFlight: getLocalInFlight(upstream), counts: zeroCounts, newestGoodSentAt: -Infinity });
            }
        });
    }

    private getOwnCell(): string {
        const { context: { identity }, mesh } = this.options;
        return mesh.getCell(identity.instanceId) ?? identity.failureDomain;
    }

    private sendLocalUpdates(updates: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const { context: { identity } } = this.options;
        const relay = this.chooseRelay(this.getOwnCell(), [identity.instanceId]);
        if (this.currentRelay !== undefined && this.currentRelay !== relay) {
            this.scheduleResend();
        }
        this.currentRelay = relay;
        if (relay === undefined || relay === identity.instanceId) {
            this.relayUpdates(updates);
            return;
        }
        this.sendUpdates([relay], updates, "fleet");
        this.watchRelay(relay);
    }

    private watchRelay(relay: string): void {
        const { context: { loop: timers, clock, logger } } = this.options;
        if (this.pendingRelay?.relay === relay) {
            return;
        }
        this.pendingRelay?.cancel();
        const cancel = timers.scheduleOnce(relayTimeoutMs, () => {
            this.pendingRelay = undefined;
            this.avoidedUntil.set(relay, clock.getNow() + relayAvoidanceMs);
            logger.writeInfo("news-relay-avoided", `peer ${relay} did not relay health updates within ${relayTimeoutMs} ms; using another relay for ${relayAvoidanceMs} ms`, { peer: relay, silenceMs: relayTimeoutMs });
            this.scheduleResend();
        });
        this.pendingRelay = { relay, cancel };
    }

    /** Relays updates of the local failure domain to its instances and to the other domains. */
    private relayUpdates(updates: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const origin = getCellOrigin(this.getOwnCell());
        updates.forEach(update => {
            this.domainBuffer.addUpdate(update);
            this.crossDomainBuffer.addUpdate({ ...update, origin });
        });
    }

    private sendWithinDomain(updates: readonly healthUpdateBuffer.HealthUpdate[]): void {
        this.sendUpdates(this.options.mesh.listLinkedPeersByCell().get(this.getOwnCell()) ?? [], updates, "none");
    }

    private sendToOtherDomains(updates: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const { mesh, getDomainInFlight } = this.options;
        const ownCell = this.getOwnCell();
        const summed = updates.map(update => ({ ...update, inFlight: getDomainInFlight(update.upstream) }));
        const relays = [...mesh.listLinkedPeersByCell().keys()].filter(cell => cell !== ownCell).flatMap(cell => this.chooseRelay(cell, []) ?? []);
        this.sendUpdates(relays, summed, "domain");
    }

    private sendUpdates(peerIds: readonly string[], updates: readonly healthUpdateBuffer.HealthUpdate[], spread: healthUpdateCodec.HealthUpdateMessage["spread"]): void {
        const { context: { clock }, mesh } = this.options;
        const sent = mesh.sendNotices(peerIds, topic, healthUpdateCodec.encodeUpdates(updates, spread, clock.getNow()));
        this.messageCounter.inc({ spread }, sent);
    }

    private receiveMessage(from: string, body: unknown): void {
        const { context: { clock, logger, identity }, mesh, applyUpdates } = this.options;
        const parsed = healthUpdateCodec.messageSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("news-malformed", "ignored a malformed health update message from a peer", { peer: from, reason: parsed.error.issues[0]?.message });
            return;
        }
        const updates = healthUpdateCodec.decodeUpdates(parsed.data, clock.getNow());
        // A relay that other instances reach may still not receive this instance's updates. Only an update of this instance that comes back stops the timeout.
        if (this.pendingRelay?.relay === from && updates.some(({ origin }) => origin === identity.instanceId)) {
            this.pendingRelay.cancel();
            this.pendingRelay = undefined;
        }
        applyUpdates(updates.filter(({ origin }) => origin !== identity.instanceId));
        match(parsed.data.spread)
            .with("none", () => {})
            .with("fleet", () => this.relayUpdates(updates))
            .with("domain", () => {
                this.lastSenders.set(mesh.getCell(from) ?? "", { peerId: from, at: clock.getNow() });
                updates.forEach(update => this.domainBuffer.addUpdate(update));
            })
            .exhaustive();
    }

    /**
     * Chooses the relay of a cell: the last sender of its updates, or else by rendezvous hashing. Instances with
     * the same links thus choose the same relay, except that an instance avoids relays that have timed out.
     */
    private chooseRelay(cell: string, additional: readonly string[]): string | undefined {
        const now = this.options.context.clock.getNow();
        const linked = this.options.mesh.listLinkedPeersByCell().get(cell) ?? [];
        const lastSender = this.lastSenders.get(cell);
        if (lastSender !== undefined && now - lastSender.at < lastSenderLifetimeMs && linked.includes(lastSender.peerId)) {
            return lastSender.peerId;
        }
        const usable = [...linked, ...additional].filter(id => (this.avoidedUntil.get(id) ?? -Infinity) <= now);
        const scored = usable.map(id => ({ id, score: peers.computeRelayScore(cell, id, this.options.mesh.getMember(id)?.capacity) }));
        return scored.sort((a, b) => b.score - a.score)[0]?.id;
    }
}
