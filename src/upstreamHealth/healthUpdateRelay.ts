/**
 * Spreads news of upstreams through one instance of each failure domain. That one collects what the domain's instances
 * send it, tells it to all of them in one message, and tells the other domains what its own has seen as a whole. So
 * neither an instance's messages nor what it holds of others grow with the fleet.
 */

import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import type * as loop from "../kernel/loop.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import * as healthUpdateBuffer from "./healthUpdateBuffer.js";
import * as healthUpdateCodec from "./healthUpdateCodec.js";

/** How long an instance collects its own news, in milliseconds. */
const ownCollectMs = 30;
/** How long a relay collects for its failure domain, in milliseconds. */
const nearCollectMs = 50;
/** How long it collects for the other domains, whose bytes are dear, in milliseconds. */
const farCollectMs = 200;
/** How long news of a failure waits at the instance that saw it, in milliseconds. */
const urgentMs = 1;
/** How long it waits at a relay, which bounds a relay's messages in a storm of failures, in milliseconds. */
const relayUrgentMs = 8;
/** A relay that has not handed on what it was told after this time is not used, in milliseconds; several of its collecting times. */
const silenceMs = 250;
/** For how long it is not used, in milliseconds. */
const avoidedMs = 3_000;
/** After a change of relay loads are told once more, when what the former one still held has been told, in milliseconds. */
const repeatMs = 200;
/** The loads that are told then are those of so long before, in milliseconds: of the silence and what led up to it. */
const toldMs = 3_000;
/** The instance that last told news of another domain is its relay for so long, in milliseconds. */
const knownRelayMs = 1_500;
/** Marks an origin that is a failure domain as a whole. */
const domainMark = "@";
const topic = "news";

/** Options of a relay. */
export interface CreateHealthUpdateRelayOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    /** Takes over what others have seen. */
    readonly applyItems: (items: readonly healthUpdateBuffer.HealthUpdate[]) => void;
    /** Returns the requests that this instance has under way at an upstream. */
    readonly getOwnInFlight: (upstream: string) => number;
    /** Returns the requests that the instances of the own failure domain have under way at an upstream. */
    readonly getDomainInFlight: (upstream: string) => number;
}

/**
 * Returns the origin that stands for a failure domain as a whole.
 * @param failureDomain - The domain.
 */
export function getDomainOrigin(failureDomain: string): string {
    return `${domainMark}${failureDomain}`;
}

/**
 * Returns whether an origin stands for a failure domain as a whole.
 * @param origin - The origin.
 */
export function isDomainOrigin(origin: string): boolean {
    return origin.startsWith(domainMark);
}

/** Sends this instance's news, and hands on that of others where it is asked to. */
export class HealthUpdateRelay {
    private readonly own: healthUpdateBuffer.HealthUpdateBuffer;
    private readonly near: healthUpdateBuffer.HealthUpdateBuffer;
    private readonly far: healthUpdateBuffer.HealthUpdateBuffer;
    private readonly avoidedUntil = new Map<string, number>();
    /** The relay that was told something and has not told it to all since. */
    private awaited?: { readonly relay: string; readonly cancel: loop.Cancel; };
    /** The relay that was last used, and when each upstream's news was last sent. */
    private usedRelay?: string;
    private readonly toldAt = new Map<string, number>();
    /** Who last told news of each other failure domain. */
    private readonly tellers = new Map<string, { readonly peerId: string; readonly at: number; }>();
    private readonly messages: promClient.Counter<"spread">;

    constructor(private readonly options: CreateHealthUpdateRelayOptions) {
        const { context: { loop: timers, metrics }, mesh } = options;
        this.own = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: ownCollectMs, urgentDelayMs: urgentMs, sendUpdates: items => this.sendOwn(items) });
        this.near = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: nearCollectMs, urgentDelayMs: relayUrgentMs, sendUpdates: items => this.sendNear(items) });
        this.far = new healthUpdateBuffer.HealthUpdateBuffer({ loop: timers, batchDelayMs: farCollectMs, urgentDelayMs: relayUrgentMs, sendUpdates: items => this.sendFar(items) });
        this.messages = new promClient.Counter({ name: "agatebend_news_messages_total", help: "Messages with news of upstreams sent to peers, by how far the receiver hands them on.", labelNames: ["spread"], registers: [metrics] });
        mesh.setNoticeHandler(topic, (from, body) => this.receiveMessage(from, body));
    }

    /**
     * Adds news of this instance's own.
     * @param item - The news, without its origin.
     */
    addLocalUpdate(item: Omit<healthUpdateBuffer.HealthUpdate, "origin">): void {
        const { context: { identity, clock } } = this.options;
        this.toldAt.set(item.upstream, clock.getNow());
        this.own.addUpdate({ ...item, origin: identity.instanceId });
    }

    /**
     * Tells loads once more where the relay is lost that was told them.
     * @param peerId - The instance that is no longer linked.
     */
    handlePeerLoss(peerId: string): void {
        if (peerId === this.usedRelay) {
            this.scheduleRepeat();
        }
    }

    /**
     * Forgets which upstreams' loads were told long ago.
     * @param now - The time, in monotonic milliseconds.
     */
    removeExpiredSends(now: number): void {
        const old = [...this.toldAt].filter(([, at]) => now - at > toldMs);
        old.forEach(([upstream]) => this.toldAt.delete(upstream));
    }

    /** News on its way through a relay may be lost with it, and a load that is never corrected would count on. */
    private scheduleRepeat(): void {
        const { context: { loop: timers, clock, identity }, getOwnInFlight } = this.options;
        timers.scheduleOnce(repeatMs, () => {
            this.removeExpiredSends(clock.getNow());
            for (const upstream of this.toldAt.keys()) {
                this.own.addUpdate({ origin: identity.instanceId, upstream, inFlight: getOwnInFlight(upstream), counts: { good: 0, bad: 0, survived: 0 }, goodSentAt: -Infinity });
            }
        });
    }

    private sendOwn(items: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const { context: { identity } } = this.options;
        const relay = this.chooseRelay(identity.failureDomain, [identity.instanceId]);
        if (this.usedRelay !== undefined && this.usedRelay !== relay) {
            this.scheduleRepeat();
        }
        this.usedRelay = relay;
        if (relay === undefined || relay === identity.instanceId) {
            this.publishItems(items);
            return;
        }
        this.sendItems([relay], items, "fleet");
        this.watchRelay(relay);
    }

    private watchRelay(relay: string): void {
        const { context: { loop: timers, clock, logger } } = this.options;
        if (this.awaited?.relay === relay) {
            return;
        }
        this.awaited?.cancel();
        const cancel = timers.scheduleOnce(silenceMs, () => {
            this.awaited = undefined;
            this.avoidedUntil.set(relay, clock.getNow() + avoidedMs);
            logger.writeInfo("news-relay-avoided", `${relay} has not handed on news within ${silenceMs} ms; another instance is used for ${avoidedMs} ms`, { peer: relay, silenceMs });
            this.scheduleRepeat();
        });
        this.awaited = { relay, cancel };
    }

    /** Hands news of the own failure domain on to its instances and to the other domains. */
    private publishItems(items: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const origin = getDomainOrigin(this.options.context.identity.failureDomain);
        items.forEach(item => {
            this.near.addUpdate(item);
            this.far.addUpdate({ ...item, origin });
        });
    }

    private sendNear(items: readonly healthUpdateBuffer.HealthUpdate[]): void {
        this.sendItems(this.listLinkedByDomain().get(this.options.context.identity.failureDomain) ?? [], items, "none");
    }

    private sendFar(items: readonly healthUpdateBuffer.HealthUpdate[]): void {
        const { context: { identity }, getDomainInFlight } = this.options;
        const summed = items.map(item => ({ ...item, inFlight: getDomainInFlight(item.upstream) }));
        const relays = [...this.listLinkedByDomain().keys()].filter(domain => domain !== identity.failureDomain).flatMap(domain => this.chooseRelay(domain, []) ?? []);
        this.sendItems(relays, summed, "domain");
    }

    private sendItems(peerIds: readonly string[], items: readonly healthUpdateBuffer.HealthUpdate[], spread: healthUpdateCodec.HealthUpdateMessage["spread"]): void {
        const { context: { clock }, mesh } = this.options;
        const sent = mesh.sendNotices(peerIds, topic, healthUpdateCodec.encodeUpdates(items, spread, clock.getNow()));
        this.messages.inc({ spread }, sent);
    }

    private receiveMessage(from: string, body: unknown): void {
        const { context: { clock, logger, identity }, mesh, applyItems } = this.options;
        const parsed = healthUpdateCodec.messageSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("news-malformed", "a peer's news of upstreams is malformed and is left out", { peer: from, reason: parsed.error.issues[0]?.message });
            return;
        }
        const items = healthUpdateCodec.decodeUpdates(parsed.data, clock.getNow());
        // A relay that only others reach tells their news and not this instance's own.
        if (this.awaited?.relay === from && items.some(({ origin }) => origin === identity.instanceId)) {
            this.awaited.cancel();
            this.awaited = undefined;
        }
        applyItems(items.filter(({ origin }) => origin !== identity.instanceId));
        match(parsed.data.spread)
            .with("none", () => {})
            .with("fleet", () => this.publishItems(items))
            .with("domain", () => {
                this.tellers.set(mesh.getMember(from)?.failureDomain ?? "", { peerId: from, at: clock.getNow() });
                items.forEach(item => this.near.addUpdate(item));
            })
            .exhaustive();
    }

    /** Chooses who hands news on in a failure domain: the same for all who are linked alike, unless it is known to be silent. */
    private chooseRelay(failureDomain: string, more: readonly string[]): string | undefined {
        const now = this.options.context.clock.getNow();
        const linked = this.listLinkedByDomain().get(failureDomain) ?? [];
        const teller = this.tellers.get(failureDomain);
        if (teller !== undefined && now - teller.at < knownRelayMs && linked.includes(teller.peerId)) {
            return teller.peerId;
        }
        const usable = [...linked, ...more].filter(id => (this.avoidedUntil.get(id) ?? -Infinity) <= now);
        const scored = usable.map(id => ({ id, score: randomness.computeRendezvousScore(`${topic}:${failureDomain}`, id) }));
        return scored.sort((a, b) => b.score - a.score)[0]?.id;
    }

    private listLinkedByDomain(): ReadonlyMap<string, readonly string[]> {
        const { mesh } = this.options;
        const linked = new Set(mesh.listLinkedPeers());
        const byDomain = new Map<string, string[]>();
        for (const { instanceId, failureDomain } of mesh.listMembers()) {
            if (linked.has(instanceId)) {
                byDomain.set(failureDomain, [...byDomain.get(failureDomain) ?? [], instanceId]);
            }
        }
        return byDomain;
    }
}
