/**
 * Keeps the claims of order keys valid when the store returns with an older copy, in which the newest claims are missing.
 * Every instance writes its recent claims again and then reports the store's generation to the others. Nobody is granted
 * a claim in a new generation before all known instances have reported. Each claim is also sent to two witnesses, which write
 * it again as well, so that it outlives its holder.
 */

import * as z from "zod";
import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";

/** Claims are kept for this time before the newest one, in milliseconds. Copies that the store returns with are some seconds old. */
const keptClaimsMs = 60_000;
/** The most claims that are kept. The store takes some hundred writes a second from the whole fleet. */
const maximumKeptClaims = 10_000;
/** An instance that starts learns which others there are within this time after its first link to a peer, in milliseconds. */
const linkSettlingMs = 150;
/** An instance without a link is taken for the only one after this time, in milliseconds. */
const settlingMs = 2_000;
/**
 * An instance that was never suspect for this time, and has not reported, is of a release that does not report, in
 * milliseconds. It is well above the time after which a suspended instance is suspect.
 */
const reportDueMs = 20_000;
/** The longest time for which a claim waits for the reports, in milliseconds. */
const maximumWaitMs = 2_500;
const checkIntervalMs = 50;
/** After this delay, claims that could not be written are written again. */
const retryDelayMs = 250;
/** Instances that hear of a newer generation from a peer ask the store within this time, in milliseconds. */
const lookupSpreadMs = 300;
/** How many peers keep a claim for its holder, and how long the holder waits for their replies, in milliseconds. */
const witnessCount = 2;
const witnessWaitMs = 250;
const topic = "orders.generation";
const witnessTopic = "orders.witness";
const witnessSchema = z.object({ storeKey: z.string().max(512), claim: z.string().max(4_096), generation: z.number().int().min(0) });
const reportSchema = z.object({ generation: z.number().int().min(0) });

/** Options of `ClaimRestoration`. */
export interface CreateClaimRestorationOptions {
    readonly context: Pick<context.Context, "clock" | "loop" | "logger" | "randomness" | "identity">;
    readonly store: store.StoreService;
    readonly mesh: Pick<peers.Mesh, "setRegister" | "getRegisters" | "addListener" | "listMembers" | "listLinkedPeers" | "getMember" | "sendRequest" | "setHandler">;
    /** Writes a claim that an instance was granted; returns whether it replaced another instance's, or an error if it may not be written. */
    readonly writeClaim: (storeKey: string, claim: string) => Promise<Result<boolean, errors.FleetError>>;
}

interface KeptClaim {
    readonly value: string;
    /** When it was granted, in monotonic milliseconds. */
    readonly grantedAt: number;
}

/** Writes granted claims again after the store returned with an older copy, and decides when claims may be granted. */
export class ClaimRestoration {
    private readonly claims = new Map<string, KeptClaim>();
    /** When this instance knows the others, in monotonic milliseconds. */
    private settledAt = Infinity;
    private learnedGeneration: number | undefined;
    /** Whether the generation replaced another one while this instance was running. */
    private hasChanged = false;
    private isLookupScheduled = false;
    private reportedGeneration = -1;
    /** Since when instances have been known that have not reported the generation, and were not suspect, in monotonic milliseconds. */
    private readonly silentSince = new Map<string, number>();

    constructor(private readonly options: CreateClaimRestorationOptions) {
        const { store: storeService, mesh } = options;
        storeService.generation?.addListener((generation, previous) => previous === undefined ? this.recordFirst(generation) : void this.restoreClaims(generation));
        mesh.setHandler(witnessTopic, async body => this.receiveClaim(body));
        mesh.addListener(topic, (_origin, body) => this.receiveReport(body));
    }

    /** Keeps a claim that was granted to this instance, and waits until the witnesses keep it or are late. */
    async recordClaim(storeKey: string, value: string): Promise<void> {
        this.addClaim(storeKey, value);
        const { context: { loop }, mesh } = this.options;
        const generation = this.getGeneration();
        if (generation === undefined) {
            return;
        }
        const sent = this.listWitnesses().map(peer => mesh.sendRequest(peer, witnessTopic, { storeKey, claim: value, generation }));
        await new Promise<void>(resolve => {
            const cancel = loop.scheduleOnce(witnessWaitMs, resolve);
            void Promise.all(sent).then(() => {
                cancel();
                resolve();
            });
        });
    }

    /** Lists the peers that keep this instance's claims: those of other failure domains first. */
    private listWitnesses(): readonly string[] {
        const { context: { identity, randomness }, mesh } = this.options;
        const peerIds = mesh.listLinkedPeers().filter(peerId => mesh.getMember(peerId)?.state === "running");
        const ranked = peerIds.map(peerId => ({ peerId, rank: randomness.getFraction() + (mesh.getMember(peerId)?.failureDomain === identity.failureDomain ? 1 : 0) }));
        return ranked.sort((a, b) => a.rank - b.rank).slice(0, witnessCount).map(({ peerId }) => peerId);
    }

    /** Keeps a peer's claim. It is written at once if the store has returned with an older copy since it was granted. */
    private async receiveClaim(body: unknown): Promise<Result<unknown, errors.FleetError>> {
        const received = witnessSchema.safeParse(body);
        if (!received.success) {
            return err(errors.createError("frameInvalid", `a claim from a peer is malformed: ${received.error.issues[0]?.message}`));
        }
        const { storeKey, claim, generation } = received.data;
        this.addClaim(storeKey, claim);
        return (this.getGeneration() ?? generation) > generation ? this.options.writeClaim(storeKey, claim) : ok({});
    }

    private addClaim(storeKey: string, value: string): void {
        const now = this.options.context.clock.getNow();
        this.claims.set(storeKey, { value, grantedAt: now });
        for (const [key, { grantedAt }] of this.claims) {
            if (now - grantedAt <= keptClaimsMs && this.claims.size <= maximumKeptClaims) {
                break;
            }
            this.claims.delete(key);
        }
    }

    /** Waits until claims may be granted, or fails if that takes long. */
    async waitUntilGranted(): Promise<Result<void, errors.FleetError>> {
        const { context: { clock, loop } } = this.options;
        const giveUpAt = clock.getNow() + maximumWaitMs;
        while (!this.isGranted()) {
            if (clock.getNow() >= giveUpAt) {
                return err(errors.createError("storeUnavailable", "the store returned with an older copy, and instances have not written their claims of order keys again"));
            }
            await new Promise<void>(resolve => loop.scheduleOnce(checkIntervalMs, resolve));
        }
        return ok(undefined);
    }

    /** Returns whether a claim may be granted in the store's generation: every instance that may hold earlier claims has written them. */
    isGranted(): boolean {
        const { context: { clock, identity }, mesh } = this.options;
        const generation = this.getGeneration();
        if (generation === undefined) {
            return true;
        }
        const now = clock.getNow();
        if (!this.hasChanged) {
            // This process has known no other generation, so it has nothing to write. Its report makes the others report.
            this.publishReport(generation);
            if (now < this.settledAt) {
                return false;
            }
        }
        // This instance may keep the claim that it is asked for, as a witness.
        if (this.reportedGeneration < generation) {
            return false;
        }
        const reports = this.listReports();
        const silent = mesh.listMembers().filter(({ instanceId }) => instanceId !== identity.instanceId && (reports.get(instanceId) ?? -1) < generation);
        silent.forEach(({ instanceId, state }) => this.silentSince.set(instanceId, state === "suspect" ? now : this.silentSince.get(instanceId) ?? now));
        return silent.every(({ instanceId }) => now - this.silentSince.get(instanceId)! >= reportDueMs);
    }

    /** Records the first generation that this process learns. It reports it if others wait for that. */
    private recordFirst(generation: number): void {
        this.getGeneration();
        this.settledAt = this.options.context.clock.getNow() + settlingMs;
        this.scheduleLinkCheck();
        if ([...this.listReports().values()].some(reported => reported >= generation)) {
            this.publishReport(generation);
        }
    }

    private scheduleLinkCheck(): void {
        const { context: { clock, loop }, mesh } = this.options;
        if (mesh.listLinkedPeers().length > 0) {
            this.settledAt = Math.min(this.settledAt, clock.getNow() + linkSettlingMs);
        }
        else if (clock.getNow() < this.settledAt) {
            loop.scheduleOnce(checkIntervalMs, () => this.scheduleLinkCheck());
        }
    }

    /** Returns the generation, and forgets what was known of the silent instances when it changes. */
    private getGeneration(): number | undefined {
        const generation = this.options.store.generation?.getCurrent();
        if (generation !== this.learnedGeneration) {
            this.learnedGeneration = generation;
            this.silentSince.clear();
        }
        return generation;
    }

    private listReports(): ReadonlyMap<string, number> {
        return new Map([...this.options.mesh.getRegisters(topic)].map(([origin, body]) => [origin, reportSchema.safeParse(body).data?.generation ?? -1]));
    }

    /** Writes the kept claims again, then reports the generation to the others. Ends early if yet another generation follows. */
    private async restoreClaims(generation: number): Promise<void> {
        const { context: { logger, loop }, store: storeService, writeClaim } = this.options;
        this.hasChanged = true;
        this.getGeneration();
        const pending = new Map(this.claims);
        const count = pending.size;
        while (pending.size > 0) {
            for (const [storeKey, { value }] of [...pending]) {
                const written = await writeClaim(storeKey, value);
                if (storeService.generation?.getCurrent() !== generation) {
                    return;
                }
                if (written.isErr()) {
                    logger.writeInfo("order-claim-rewrite-failed", `a claim of an order key could not be written again yet: ${written.error.message}`, { pending: pending.size });
                    await new Promise<void>(resolve => loop.scheduleOnce(retryDelayMs, resolve));
                    break;
                }
                pending.delete(storeKey);
                if (written.value) {
                    logger.writeWarning("order-claim-replaced", "replaced another instance's claim of an order key that this instance was granted before the store returned with an older copy", { storeKey });
                }
            }
        }
        if (count > 0) {
            logger.writeInfo("order-claims-restored", `${count} claims of order keys were written again after the store returned with an older copy`, { claims: count, generation });
        }
        this.publishReport(generation);
    }

    private publishReport(generation: number): void {
        if (generation > this.reportedGeneration) {
            this.reportedGeneration = generation;
            this.options.mesh.setRegister(topic, { generation });
        }
    }

    /** Learns of a newer generation from a peer. An instance that does not follow the store asks it, so that it is not misled by a peer. */
    private receiveReport(body: unknown): void {
        const { context: { loop, randomness }, store: storeService } = this.options;
        const reported = reportSchema.safeParse(body).data?.generation;
        const generation = this.getGeneration();
        if (reported === undefined || generation === undefined) {
            return;
        }
        if (reported === generation && !this.hasChanged) {
            this.publishReport(generation);
        }
        if (reported > generation && !this.isLookupScheduled) {
            this.isLookupScheduled = true;
            loop.scheduleOnce(Math.round(randomness.getFraction() * lookupSpreadMs), () => {
                this.isLookupScheduled = false;
                // The response tells the generation, and the listener then writes the claims.
                void storeService.getEntry(`${storeService.getPrefix()}orders/`);
            });
        }
    }
}
