/** Claims of caller-made order keys in the platform's store: one instance owns a key until the claim's lease ends. */

import * as crypto from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import type * as store from "../store/index.js";

/** One lease serves the claims of this part of its time, so that a claim costs one call. */
const leaseReuseFraction = 0.5;
/** Tries to claim a key while the store's replies are lost. */
const claimAttempts = 2;

const claimSchema = z.strictObject({
    owner: z.string(),
    incarnation: z.number(),
    /** When the owner forgets the key, by its own monotonic clock; means nothing to others. */
    expiresAtMs: z.number(),
});

/** Who owns a caller-made key. */
export type Claim = z.infer<typeof claimSchema>;

/** A claim made by this instance, or another's. */
export type ClaimResult =
    | { readonly kind: "claimed"; readonly expiresAt: number; }
    | { readonly kind: "owned"; readonly claim: Claim; };

interface SharedLease {
    readonly id: string;
    readonly grantedAt: number;
}

/** Claims keys. */
export class OrderKeyClaims {
    private lease?: SharedLease;

    constructor(private readonly context: context.Context, private readonly storeService: store.StoreService) {}

    /**
     * Claims a key for this instance, or finds who owns it.
     * @param key - The caller-made key.
     * @returns An error where the store did not answer; the claim may then exist all the same.
     */
    async claimKey(key: string): Promise<Result<ClaimResult, errors.FleetError>> {
        const lease = await this.getLease();
        if (lease.isErr()) {
            return err(lease.error);
        }
        const { instanceId, incarnation } = this.context.identity;
        const own: Claim = { owner: instanceId, incarnation, expiresAtMs: this.context.clock.getNow() + this.context.settings.orderClaimTtlMs };
        const swap = { key: this.getStoreKey(key), expectedRevision: 0, value: JSON.stringify(own), leaseId: lease.value.id };
        let failure = errors.createError("storeUnavailable");
        for (let attempt = 0; attempt < claimAttempts; attempt += 1) {
            const answer = await this.storeService.swapEntry(swap);
            if (answer.isErr()) {
                failure = answer.error;
                continue;
            }
            if (answer.value.kind === "swapped") {
                return ok({ kind: "claimed", expiresAt: own.expiresAtMs });
            }
            return this.resolveConflict(answer.value.current);
        }
        this.lease = undefined;
        return err(errors.createError("storeUnavailable", `the order key could not be claimed: ${failure.message}`));
    }

    /** A conflict may be with this instance's own claim; the ledger, which keeps the key until then, tells whether it ran. */
    private resolveConflict(current: store.Entry | undefined): Result<ClaimResult, errors.FleetError> {
        const claim = parseClaim(current?.value ?? "");
        if (claim === undefined) {
            return err(errors.createError("storeUnavailable", "the claim in the store is malformed"));
        }
        const { instanceId, incarnation } = this.context.identity;
        if (claim.owner === instanceId && claim.incarnation === incarnation) {
            return ok({ kind: "claimed", expiresAt: claim.expiresAtMs });
        }
        return ok({ kind: "owned", claim });
    }

    private async getLease(): Promise<Result<SharedLease, errors.FleetError>> {
        const { clock, settings } = this.context;
        const now = clock.getNow();
        if (this.lease !== undefined && now - this.lease.grantedAt < settings.orderClaimTtlMs * leaseReuseFraction) {
            return ok(this.lease);
        }
        // The lease lasts longer by the part that it is shared for, so that every claim lives its full time.
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
    try {
        return claimSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}
