/** Registers this instance in the store under a lease and reads the peer addresses of the other instances from there. */

import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import * as randomness from "../kernel/randomness.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";

/** Interval of the check whether the lease must be renewed or the other members must be read. */
const checkIntervalMs = 1_000;
/** The entry is written again, with a new lease, after this fraction of the lease duration. */
const leaseRenewalFraction = 0.5;
/** How often an instance without links to peers reads the other members from the store. */
const seedLookupIntervalMs = 3_000;
const millisecondsPerSecond = 1_000;
/**
 * How many instances write their entries again at once after the store returned with an older copy. An instance that starts
 * needs only some running instances to find the rest; the others write theirs when their renewal is due.
 */
const restoringInstances = 6;
/** These writes are spread over this time, in milliseconds, and must be done within two seconds. */
const restoreSpreadMs = 1_000;
const restoreKey = "member-restore";

const memberEntrySchema = z.object({ peerAddress: z.string() });

/** Options of a registration. */
export interface CreateRegistrationOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly store: store.StoreService;
}

/** Maintains this instance's entry in the store. The entry is removed when its lease expires, for example after a crash. */
export class Registration {
    private leaseId?: string;
    private registeredAt = -Infinity;
    private membersReadAt = -Infinity;
    private isUpdating = false;
    private isDraining = false;

    constructor(private readonly options: CreateRegistrationOptions) {
        options.store.generation?.addListener((_generation, previous) => previous === undefined ? undefined : this.scheduleRestore());
    }

    /** Writes the entry and starts the regular check. */
    start(): void {
        this.runCheck();
        this.options.context.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /** Removes the entry by ending its lease. */
    async drain(): Promise<void> {
        this.isDraining = true;
        const { store: memberStore, context: { logger } } = this.options;
        if (this.leaseId === undefined) {
            return;
        }
        // A store that returned with an older copy may have given the lease's number to another instance. A read tells.
        const read: Result<unknown, errors.FleetError> = memberStore.generation === undefined ? ok(undefined) : await memberStore.getEntry(this.getKey());
        const removed = await read.andThen(() => ok(this.leaseId)).match(leaseId => leaseId === undefined ? ok(undefined) : memberStore.removeLease(leaseId), async error => err(error));
        removed.mapErr(error => logger.writeInfo("member-entry-left", `could not remove the member entry from the store; it stays until its lease expires: ${error.message}`));
    }

    private runCheck(): void {
        const { context: { clock, settings }, mesh } = this.options;
        const now = clock.getNow();
        const isRenewalDue = now - this.registeredAt >= settings.memberLeaseS * millisecondsPerSecond * leaseRenewalFraction;
        const isSeedLookupDue = mesh.listLinkedPeers().length === 0 && now - this.membersReadAt >= seedLookupIntervalMs;
        if (this.isUpdating || this.isDraining || (!isRenewalDue && !isSeedLookupDue)) {
            return;
        }
        this.isUpdating = true;
        void (isRenewalDue ? this.registerInstance(now) : this.readMembers(now)).finally(() => {
            this.isUpdating = false;
        });
    }

    /** Writes the entry again soon if this is one of the instances that do so. The lease is gone, or belongs to another instance. */
    private scheduleRestore(): void {
        const { context: { loop, randomness: random, logger } } = this.options;
        this.leaseId = undefined;
        if (!this.isRestorer()) {
            return;
        }
        const delayMs = Math.round(random.getFraction() * restoreSpreadMs);
        logger.writeInfo("member-restore-scheduled", `the entry of this instance is written to the store again in ${delayMs} ms`, { delayMs });
        loop.scheduleOnce(delayMs, () => {
            this.registeredAt = -Infinity;
            this.runCheck();
        });
    }

    /** Returns whether this instance is one of the few that write their entries again at once. In cells, only the relays follow the store. */
    private isRestorer(): boolean {
        const { mesh, context: { identity } } = this.options;
        if (mesh.hasCells()) {
            return mesh.isCellRelay();
        }
        const running = mesh.listMembers().filter(({ state }) => state === "running").map(({ instanceId }) => instanceId);
        const candidates = [...new Set([...running, identity.instanceId])].map(id => ({ id, score: randomness.computeRendezvousScore(restoreKey, id) }));
        return candidates.sort((a, b) => b.score - a.score).slice(0, restoringInstances).some(({ id }) => id === identity.instanceId);
    }

    private getKey(): string {
        return `${this.getPrefix()}${this.options.context.identity.instanceId}`;
    }

    private getPrefix(): string {
        return `${this.options.store.getPrefix()}members/`;
    }

    /** Writes the entry under a new lease. After a failure or a conflicting write, the next check tries again. */
    private async registerInstance(now: number): Promise<void> {
        const listed = await this.readMembers(now);
        if (listed.isErr()) {
            return;
        }
        const { context: { identity, settings, logger }, mesh, store: memberStore } = this.options;
        const key = this.getKey();
        const lease = await memberStore.createLease(settings.memberLeaseS * millisecondsPerSecond);
        if (lease.isErr()) {
            return;
        }
        const expectedRevision = listed.value.find(entry => entry.key === key)?.revision ?? 0;
        const value = JSON.stringify({ peerAddress: mesh.getMember(identity.instanceId)?.peerAddress ?? "" });
        const written = await memberStore.swapEntry({ key, value, expectedRevision, leaseId: lease.value });
        if (written.isErr() || written.value.kind === "conflict" || this.isDraining) {
            await memberStore.removeLease(lease.value);
            return;
        }
        this.leaseId = lease.value;
        this.registeredAt = now;
        logger.writeInfo("member-registered", `registered this instance in the store as ${key}`, { key, others: listed.value.length });
    }

    /** Reads the entries of all members and adds their peer addresses as seeds. */
    private async readMembers(now: number): Promise<Result<readonly store.Entry[], errors.FleetError>> {
        const { mesh, store: memberStore } = this.options;
        const listing = await memberStore.listEntries(this.getPrefix());
        if (listing.isErr()) {
            return err(listing.error);
        }
        this.membersReadAt = now;
        mesh.addSeeds(listing.value.entries.flatMap(entry => parseAddress(entry.value) ?? []));
        return ok(listing.value.entries);
    }
}

/** Returns the peer address in an entry; undefined if the entry is malformed. */
function parseAddress(text: string): string | undefined {
    return boundedJson.parseJson(text).map(value => memberEntrySchema.safeParse(value).data?.peerAddress).unwrapOr(undefined);
}
