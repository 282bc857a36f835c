/** Registers this instance in the store and learns the addresses of the others there. */

import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type * as context from "../kernel/context.js";
import type * as errors from "../kernel/errors.js";
import type * as peers from "../peers/index.js";
import type * as store from "../store/index.js";

/** Milliseconds between two looks at whether something is to be done. */
const checkIntervalMs = 1_000;
/** The registration is written anew when this part of its lease is over. */
const leaseRenewalFraction = 0.5;
/** An instance without links asks the store for others this often, in milliseconds. */
const seedLookupIntervalMs = 3_000;
const millisecondsPerSecond = 1_000;

const entrySchema = z.object({ peerAddress: z.string() });

/** Options of a registration. */
export interface CreateRegistrationOptions {
    readonly context: context.Context;
    readonly mesh: peers.Mesh;
    readonly store: store.StoreService;
}

/** Keeps this instance's entry, whose lease removes it when the instance is gone. */
export class Registration {
    private leaseId?: string;
    private registeredAt = -Infinity;
    private listedAt = -Infinity;
    private isUpdating = false;

    constructor(private readonly options: CreateRegistrationOptions) {}

    /** Begins to keep the entry. */
    start(): void {
        this.runCheck();
        this.options.context.loop.scheduleRepeatedly(checkIntervalMs, () => this.runCheck());
    }

    /** Removes the entry. */
    async drain(): Promise<void> {
        if (this.leaseId !== undefined) {
            const removed = await this.options.store.removeLease(this.leaseId);
            removed.mapErr(error => this.options.context.logger.writeInfo("member-entry-left", `the entry in the store stays until its lease ends: ${error.message}`));
        }
    }

    private runCheck(): void {
        const { context: { clock, settings }, mesh } = this.options;
        const now = clock.getNow();
        const isDue = now - this.registeredAt >= settings.memberLeaseS * millisecondsPerSecond * leaseRenewalFraction;
        const isLonely = mesh.listLinkedPeers().length === 0 && now - this.listedAt >= seedLookupIntervalMs;
        if (this.isUpdating || (!isDue && !isLonely)) {
            return;
        }
        this.isUpdating = true;
        void (isDue ? this.registerSelf(now) : this.readMembers(now)).finally(() => {
            this.isUpdating = false;
        });
    }

    private getPrefix(): string {
        return `${this.options.store.getPrefix()}members/`;
    }

    private async registerSelf(now: number): Promise<void> {
        const listed = await this.readMembers(now);
        if (listed.isErr()) {
            return;
        }
        const { context: { identity, settings, logger }, mesh, store: platform } = this.options;
        const key = `${this.getPrefix()}${identity.instanceId}`;
        const lease = await platform.createLease(settings.memberLeaseS * millisecondsPerSecond);
        if (lease.isErr()) {
            return;
        }
        const expectedRevision = listed.value.find(entry => entry.key === key)?.revision ?? 0;
        const value = JSON.stringify({ peerAddress: mesh.getMember(identity.instanceId)?.peerAddress ?? "" });
        const written = await platform.swapEntry({ key, value, expectedRevision, leaseId: lease.value });
        if (written.isErr() || written.value.kind === "conflict") {
            await platform.removeLease(lease.value);
            return;
        }
        this.leaseId = lease.value;
        this.registeredAt = now;
        logger.writeInfo("member-registered", `the instance is registered as ${key}`, { key, others: listed.value.length });
    }

    private async readMembers(now: number): Promise<Result<readonly store.Entry[], errors.FleetError>> {
        const { mesh, store: platform } = this.options;
        const listing = await platform.listEntries(this.getPrefix());
        if (listing.isErr()) {
            return err(listing.error);
        }
        this.listedAt = now;
        mesh.addSeeds(listing.value.entries.flatMap(entry => parseAddress(entry.value) ?? []));
        return ok(listing.value.entries);
    }
}

/** Returns the address in an entry; undefined where it is malformed. */
function parseAddress(text: string): string | undefined {
    try {
        return entrySchema.safeParse(JSON.parse(text)).data?.peerAddress;
    }
    catch {
        return undefined;
    }
}
