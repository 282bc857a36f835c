/** Claims caller-made order keys in the platform's store, so that one instance owns a key until the lease of its claim expires. */

import * as crypto from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as store from "../store/index.js";
import * as claimRestoration from "./claimRestoration.js";

/** A lease is reused for new claims during this fraction of the claim lifetime, so that most claims need only one call to the store. */
const leaseReuseFraction = 0.5;
/** The maximum number of attempts to write a claim; a reply of the store may be lost. */
const claimAttempts = 2;

const claimSchema = z.strictObject({
    owner: z.string(),
    incarnation: z.number(),
    /** When the key expires, in milliseconds of the owner's monotonic clock; meaningless to other instances. */
    expiresAtMs: z.number(),
});

/** The stored claim of a caller-made key: the instance that owns it, and when it expires. */
export type Claim = z.infer<typeof claimSchema>;

/** Whether this instance (`claimed`) or another one (`owned`) owns the key. `expiresAt` is in monotonic milliseconds. */
export type ClaimResult =
    | { readonly kind: "claimed"; readonly expiresAt: number; }
    | { readonly kind: "owned"; readonly claim: Claim; };

interface SharedLease {
    readonly id: string;
    /** In monotonic milliseconds. */
    readonly grantedAt: number;
}

/** Claims order keys for this instance and finds the owners of other keys. */
export class OrderKeyClaims {
    private lease?: SharedLease;
    private readonly restoration: claimRestoration.ClaimRestoration;

    constructor(private readonly context: context.Context, private readonly storeService: store.StoreService, mesh: claimRestoration.CreateClaimRestorationOptions["mesh"]) {
        this.restoration = new claimRestoration.ClaimRestoration({ context, store: storeService, mesh, writeClaim: (storeKey, value) => this.writeClaim(storeKey, value) });
        storeService.generation?.addListener(() => this.lease = undefined);
    }

    /**
     * Claims a key for this instance, or finds the instance that owns it.
     * @param key - The caller-made key.
     * @returns An error if the store did not respond; the claim may have been written nevertheless.
     */
    async claimKey(key: string): Promise<Result<ClaimResult, errors.FleetError>> {
        const { instanceId, incarnation } = this.context.identity;
        const ownClaim: Claim = { owner: instanceId, incarnation, expiresAtMs: this.context.clock.getNow() + this.context.settings.orderClaimTtlMs };
        const storeKey = this.getStoreKey(key);
        const value = JSON.stringify(ownClaim);
        let failure = errors.createError("storeUnavailable");
        for (let attempt = 0; attempt < claimAttempts; attempt += 1) {
            const lease = await this.getLease();
            if (lease.isErr()) {
                return err(lease.error);
            }
            // The lease's response may have told a new generation, so this wait comes right before the write.
            const granted = await this.restoration.waitUntilGranted();
            if (granted.isErr()) {
                return err(granted.error);
            }
            const reply = await this.storeService.swapEntry({ key: storeKey, expectedRevision: 0, value, leaseId: lease.value.id });
            if (reply.isErr()) {
                failure = reply.error;
                continue;
            }
            if (reply.value.kind === "swapped") {
                await this.restoration.recordClaim(storeKey, value);
                return ok({ kind: "claimed", expiresAt: ownClaim.expiresAtMs });
            }
            const resolved = this.resolveConflict(reply.value.current);
            if (resolved.isOk() && resolved.value.kind === "claimed") {
                await this.restoration.recordClaim(storeKey, reply.value.current?.value ?? value);
            }
            return resolved;
        }
        this.lease = undefined;
        return err(errors.createError("storeUnavailable", `the order key could not be claimed: ${failure.message}`));
    }

    /** Resolves a conflict with an existing claim. The claim may be this instance's own; the ledger keeps such a key until it expires, and knows whether its order ran. */
    private resolveConflict(current: store.Entry | undefined): Result<ClaimResult, errors.FleetError> {
        const claim = parseClaim(current?.value ?? "");
        if (claim === undefined) {
            return err(errors.createError("storeUnavailable", "the order key's claim in the store is malformed"));
        }
        const { instanceId, incarnation } = this.context.identity;
        if (claim.owner === instanceId && claim.incarnation === incarnation) {
            return ok({ kind: "claimed", expiresAt: claim.expiresAtMs });
        }
        return ok({ kind: "owned", claim });
    }

    /**
     * Writes a granted claim again. A claim of another instance that is found was written when its writer had not yet learned
     * that the store had returned with an older copy, so it was not granted and is replaced.
     * @returns Whether a claim was replaced.
     */
    private async writeClaim(storeKey: string, value: string, replacedRevision = 0): Promise<Result<boolean, errors.FleetError>> {
        const lease = await this.getLease();
        if (lease.isErr()) {
            return err(lease.error);
        }
        const reply = await this.storeService.swapEntry({ key: storeKey, expectedRevision: replacedRevision, value, leaseId: lease.value.id });
        if (reply.isErr()) {
            return err(reply.error);
        }
        if (reply.value.kind === "swapped") {
            return ok(replacedRevision > 0);
        }
        const { current } = reply.value;
        const [claim, stored] = [parseClaim(value), parseClaim(current?.value ?? "")];
        if (claim !== undefined && stored?.owner === claim.owner && stored.incarnation === claim.incarnation) {
            return ok(false);
        }
        return replacedRevision > 0 || current === undefined ? err(errors.createError("storeUnavailable", "the claim of the order key changes")) : this.writeClaim(storeKey, value, current.revision);
    }

    private async getLease(): Promise<Result<SharedLease, errors.FleetError>> {
        const { clock, settings } = this.context;
        const now = clock.getNow();
        if (this.lease !== undefined && now - this.lease.grantedAt < settings.orderClaimTtlMs * leaseReuseFraction) {
            return ok(this.lease);
        }
        // The lease is extended by the time during which it is reused, so that the last claim also gets its full lifetime.
        const created = await this.storeService.createLease(settings.orderClaimTtlMs * (1 + leaseReuseFraction));
        return created.map(id => {
            this.lease = { id, grantedAt: now };
            return this.lease;
        });
    }

    private getStoreKey(key: string): string {
        return `${this.storeService.getPrefix()}orders/${crypto.createHash("sha256").update(key).digest("hex")}`;
    }
}

function parseClaim(text: string): Claim | undefined {
    return boundedJson.parseJson(text).map(value => claimSchema.safeParse(value).data).unwrapOr(undefined);
}
