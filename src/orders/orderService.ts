/**
 * Runs orders, which are requests that must not run twice. A request with an order key is handled by the instance that
 * owns the key; a repeated request with the same key gets the result of the first one.
 */

import * as crypto from "node:crypto";
import { err } from "neverthrow";
import * as promClient from "prom-client";
import { match } from "ts-pattern";
import type * as context from "../kernel/context.js";
import * as errors from "../kernel/errors.js";
import * as serviceRegistry from "../kernel/serviceRegistry.js";
import type * as peers from "../peers/index.js";
import * as requests from "../requests/index.js";
import * as orderKeyClaims from "./orderKeyClaims.js";
import * as endableWaits from "./endableWaits.js";
import * as forwardOrder from "./forwardOrder.js";
import * as orderLedger from "./orderLedger.js";
import * as orderKey from "./orderKey.js";

/** Interval between removals of expired keys. */
const cleanupIntervalMs = 5_000;
/** How long a finished key is kept after its expiry. */
const expiryGraceMs = 60_000;

/** A prefix for order keys and how long it may be used. */
export interface IssuedPrefix {
    readonly prefix: string;
    readonly validMs: number;
}

/** Options of the order service. */
export interface CreateOrderServiceOptions {
    readonly context: context.Context;
    readonly executor: requests.ExecutorContext;
    readonly mesh: peers.Mesh;
    readonly claims: orderKeyClaims.OrderKeyClaims;
}

/** Runs orders, and keeps the outcomes of the order keys that this instance owns. */
export class OrderService {
    private readonly ledger: orderLedger.OrderLedger;
    private readonly secret: string;
    private readonly startedAt: number;
    /** The waits of orders that have not been sent. */
    private readonly claimWaits = new endableWaits.EndableWaits();
    /** The waits for orders that another instance or an earlier request runs. */
    private readonly outcomeWaits = new endableWaits.EndableWaits();
    private readonly outcomes: promClient.Counter<"handling" | "outcome">;

    constructor(private readonly options: CreateOrderServiceOptions) {
        const { settings, clock, randomness, metrics } = options.context;
        this.ledger = new orderLedger.OrderLedger({ maximumKeys: settings.orderKeysKept, maximumBytes: settings.orderBytesKept, maximumResponseBytes: settings.orderAnswerBytes });
        this.secret = randomness.getIdentifier(16);
        this.startedAt = clock.getNow();
        this.outcomes = new promClient.Counter({ name: "agatebend_orders_total", help: "Orders by handling and outcome.", labelNames: ["handling", "outcome"], registers: [metrics] });
    }

    /** Starts the periodic removal of expired keys. */
    start(): void {
        const { loop, clock } = this.options.context;
        loop.scheduleRepeatedly(cleanupIntervalMs, () => this.ledger.removeExpired(clock.getNow() - expiryGraceMs));
    }

    /** Issues a prefix that binds order keys to the current incarnation of this instance. */
    createPrefix(): IssuedPrefix {
        const { settings, identity, clock } = this.options.context;
        const expiresAtMs = clock.getNow() - this.startedAt + settings.orderPrefixTtlMs;
        const fields = { owner: identity.instanceId, incarnation: identity.incarnation, expiresAtMs };
        return { prefix: orderKey.createPrefix(fields, this.secret), validMs: settings.orderPrefixTtlMs };
    }

    /**
     * Runs an order, or returns the outcome of its first run.
     * @param request - The request.
     * @param keyText - The order key; undefined if the caller sent none.
     * @param forwardedBy - The instance that forwarded the request here; undefined if it came from the caller.
     */
    async runOrder(request: requests.RoutedRequest, keyText: string | undefined, forwardedBy: string | undefined): Promise<orderLedger.OrderResult> {
        if (keyText === undefined) {
            return request.route.orderKey === "required" ? createFailure(errors.createError("orderKeyMissing")) : this.runWithoutKey(request);
        }
        const parsed = orderKey.parseOrderKey(keyText);
        if (parsed.isErr()) {
            return createFailure(parsed.error);
        }
        return match(parsed.value)
            .with({ kind: "issued" }, key => this.runIssuedKey(request, key, forwardedBy))
            .with({ kind: "caller" }, key => this.runCallerKey(request, key, forwardedBy))
            .exhaustive();
    }

    /**
     * Decides the result of a request that is refused before its order starts.
     * @param keyText - The order key.
     * @param error - The reason for the refusal.
     * @param request - The request, if it was read whole. Without it, the outcome of a key that a caller made is not returned,
     * since another caller may have used the same key.
     * @returns The outcome of the key's first request if this instance owns the key and has seen it. The refusal if this
     * instance issued the key and has not seen it before; the key then stays refused. Otherwise an error with an unknown
     * outcome, because an earlier request with the key may have run.
     */
    async resolveRefusal(keyText: string, error: errors.FleetError, request: requests.RoutedRequest | undefined): Promise<orderLedger.OrderResult> {
        const { identity, clock } = this.options.context;
        const parsed = orderKey.parseOrderKey(keyText);
        if (parsed.isErr()) {
            return createFailure(parsed.error);
        }
        const key = parsed.value;
        const isIssuedHere = key.kind === "issued" && key.owner === identity.instanceId && key.incarnation === identity.incarnation && orderKey.isMacValid(key, this.secret);
        const isKnown = request !== undefined && this.ledger.hasKey(key.text);
        if (!isIssuedHere && !isKnown) {
            const kind = error.kind === "draining" ? "stoppedBeforeSend" : "refusedRepeat";
            return createFailure(errors.createError(kind, `the request was refused: ${error.message}; an earlier request with the same order key may have run`));
        }
        const expiresAt = key.kind === "issued" ? this.startedAt + key.expiresAtMs : Infinity;
        const decision = this.ledger.admitKey(key.text, request && computeFingerprint(request), expiresAt, clock.getNow());
        return match(decision)
            .with({ kind: "run" }, () => {
                this.ledger.recordResult(key.text, createFailure(error));
                return createFailure(error);
            })
            .with({ kind: "join" }, ({ result }) => this.waitForOutcome(() => result))
            .with({ kind: "replay" }, ({ result }) => result)
            .with({ kind: "refuse" }, () => createFailure(errors.createError("refusedRepeat", `the request was refused: ${error.message}; the order key was used before`)))
            .exhaustive();
    }

    /** Refuses the orders that wait for the claim of their key. They are not sent, also if the claim takes effect. */
    rejectUnclaimed(): void {
        this.claimWaits.finish();
    }

    /** Ends the waits for orders that another instance or an earlier request runs, with an unknown outcome. Returns their number. */
    finishOutcomeWaits(): number {
        return this.outcomeWaits.finish();
    }

    /** Returns the number of orders with a key that are running at this instance. */
    countRunning(): number {
        return this.ledger.countRunning();
    }

    /** Returns the ledger's state for the operators' dump. */
    getDump(): unknown {
        return this.ledger.getDump();
    }

    private async runWithoutKey(request: requests.RoutedRequest): Promise<orderLedger.OrderResult> {
        const result = await requests.runAtMostOnce(this.options.executor, request);
        this.countOutcome("ran", result);
        return result;
    }

    private async runIssuedKey(request: requests.RoutedRequest, key: orderKey.IssuedKey, forwardedBy: string | undefined): Promise<orderLedger.OrderResult> {
        const { identity } = this.options.context;
        if (key.owner !== identity.instanceId || key.incarnation !== identity.incarnation) {
            return this.forwardToOwner(request, key.text, { owner: key.owner, incarnation: key.incarnation }, forwardedBy);
        }
        if (!orderKey.isMacValid(key, this.secret)) {
            return createFailure(errors.createError("orderKeyInvalid"));
        }
        return this.runOwnedKey(request, key.text, this.startedAt + key.expiresAtMs);
    }

    private async runCallerKey(request: requests.RoutedRequest, key: orderKey.CallerKey, forwardedBy: string | undefined): Promise<orderLedger.OrderResult> {
        if (this.ledger.hasKey(key.text)) {
            return this.runOwnedKey(request, key.text, Infinity);
        }
        request.progress.setWait({ kind: "orderKeyClaim" });
        const claimed = await this.claimWaits.wait(() => this.options.claims.claimKey(key.text), () => err(errors.createError("stoppedBeforeSend", "the instance stops, and the store has not answered the claim of the order key")));
        if (claimed.isErr()) {
            return createFailure(claimed.error);
        }
        return match(claimed.value)
            .with({ kind: "claimed" }, ({ expiresAt }) => this.runOwnedKey(request, key.text, expiresAt))
            .with({ kind: "owned" }, ({ claim }) => this.forwardToOwner(request, key.text, claim, forwardedBy))
            .exhaustive();
    }

    /** Runs an order whose key this instance owns. */
    private async runOwnedKey(request: requests.RoutedRequest, key: string, expiresAt: number): Promise<orderLedger.OrderResult> {
        const { clock } = this.options.context;
        const decision = this.ledger.admitKey(key, computeFingerprint(request), expiresAt, clock.getNow());
        return match(decision)
            .with({ kind: "run" }, async () => {
                // The order continues if its caller disconnects, so that a repeated request can get the outcome.
                const detachedRequest = { ...request, isOutcomeKept: true, signal: new AbortController().signal, deadlineAt: Math.min(request.deadlineAt, expiresAt) };
                const result = await requests.runAtMostOnce(this.options.executor, detachedRequest);
                this.ledger.recordResult(key, result);
                this.countOutcome("ran", result);
                return result;
            })
            .with({ kind: "join" }, ({ result }) => {
                this.outcomes.inc({ handling: "joined", outcome: "none" });
                request.progress.setWait({ kind: "earlierRequest" });
                return this.waitForOutcome(() => result);
            })
            .with({ kind: "replay" }, ({ result }) => {
                this.countOutcome("replayed", result);
                return result;
            })
            .with({ kind: "refuse" }, ({ error }) => createFailure(error))
            .exhaustive();
    }

    /** Forwards an order to the incarnation that owns its key. Only that incarnation may run the order, and only it knows the outcome. */
    private async forwardToOwner(request: requests.RoutedRequest, key: string, claim: Pick<orderKeyClaims.Claim, "owner" | "incarnation">, forwardedBy: string | undefined): Promise<orderLedger.OrderResult> {
        const { context, mesh, executor } = this.options;
        const owner = mesh.getMember(claim.owner);
        if (owner === undefined || owner.incarnation !== claim.incarnation || forwardedBy !== undefined) {
            return createFailure(errors.createError("orderOwnerUnreachable", `the order key belongs to ${claim.owner}, which ${context.identity.instanceId} cannot reach`));
        }
        // The claim may have taken long.
        if (executor.getDrainError(request) !== undefined) {
            return createFailure(errors.createError("stoppedBeforeSend", `the instance stops before the order, whose key belongs to ${claim.owner}, can be expected to end`));
        }
        request.progress.setWait({ kind: "orderKeyOwner" });
        const result = await this.waitForOutcome(() => forwardOrder.forwardOrder({ context, request, key, address: owner.callerAddress }));
        this.countOutcome("forwarded", result);
        return result;
    }

    private waitForOutcome(start: () => Promise<orderLedger.OrderResult>): Promise<orderLedger.OrderResult> {
        return this.outcomeWaits.wait(start, () => createFailure(errors.createError("stoppedAfterSend")));
    }

    private countOutcome(handling: "ran" | "replayed" | "forwarded", result: orderLedger.OrderResult): void {
        const outcome = result.kind === "answer" ? result.outcome : errors.getErrorDefinition(result.error).outcome;
        this.outcomes.inc({ handling, outcome });
    }
}

function createFailure(error: errors.FleetError): orderLedger.OrderResult {
    return { kind: "error", error, attempts: 0 };
}

/** Computes a hash that distinguishes requests which use the same order key. */
function computeFingerprint(request: requests.RoutedRequest): string {
    return crypto.createHash("sha256").update(`${request.method} ${request.path}\0${request.workspace}\0`).update(request.body).digest("base64");
}

/** The service key of the order service. */
export const orderServiceKey = serviceRegistry.createServiceKey<OrderService>("orders");
