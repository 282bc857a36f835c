/**
 * Lends the slack of retry budgets to the instances that need it. An instance that runs short asks a few peers ahead; in
 * cells it asks a relay of its own, which collects from the other instances. A loan is counted at the instance whose share it
 * comes from until no window can contain its retries, so that neither lost messages, restarts nor partitions exceed the bound.
 */

import { ok } from "neverthrow";
import * as promClient from "prom-client";
import { match } from "ts-pattern";
import * as z from "zod";
import type * as context from "../kernel/context.js";
import type * as peers from "../peers/index.js";
import type * as executorContext from "./executorContext.js";
import * as peakCount from "./peakCount.js";
import type * as retryBudget from "./retryBudget.js";

const topic = "retryLoan";
/** The interval between two checks whether a budget runs short. */
const checkIntervalMs = 500;
/** How many peers an instance asks at once outside of cells. */
const peersAskedAtOnce = 4;
/** How many peers a relay asks at once. */
const peersCollectedAtOnce = 16;
/** Peers are asked for this multiple of what is wanted in all, because some have nothing left. */
const askedTwice = 2;
/** A relay that a member asks collects from its cell and the other relays, and those from their cells. */
const memberHops = 2;

const requestSchema = z.object({ service: z.string().max(256), wanted: z.number().min(0).max(1_000), hops: z.number().int().min(0).max(memberHops) });
const loanSchema = z.object({ amount: z.number().min(0).max(1_000), validMs: z.number().min(0) });

/** Options of the lending. */
export interface CreateRetryLendingOptions {
    readonly context: Pick<context.Context, "clock" | "loop" | "logger" | "metrics" | "identity">;
    readonly mesh: Pick<peers.Mesh, "setHandler" | "sendRequest" | "listLinkedPeers" | "listRelayPeers" | "isCellRelay" | "hasCells" | "getCell">;
    /** Lists the budgets that are in use, by service. */
    readonly listBudgets: () => ReadonlyMap<string, retryBudget.RetryBudget>;
    /** Returns the budget of a service; undefined if the service is not configured. */
    readonly getBudget: (service: string) => retryBudget.RetryBudget | undefined;
}

/** Asks for loans ahead, and lends on request. */
export class RetryLending {
    private readonly counter: promClient.Counter<"direction">;
    /** The services for which this instance waits for loans. */
    private readonly asking = new Set<string>();
    /** Lets each round ask other peers, because those asked before have nothing left to lend for a while. */
    private position = 0;
    private failedCount = 0;

    constructor(private readonly options: CreateRetryLendingOptions) {
        const { context: { metrics }, mesh } = options;
        this.counter = new promClient.Counter({
            name: "agatebend_retries_lent_total",
            help: "Retries of the budget that were lent to and borrowed from peers; a relay counts those that it hands on in both.",
            labelNames: ["direction"],
            registers: [metrics],
        });
        mesh.setHandler(topic, async (body, peerId) => ok(this.answerRequest(body, peerId)));
    }

    /** Starts to ask for loans for budgets that run short. */
    start(): void {
        this.options.context.loop.scheduleRepeatedly(checkIntervalMs, () => this.checkBudgets());
    }

    private checkBudgets(): void {
        const { mesh, listBudgets } = this.options;
        for (const [service, budget] of listBudgets()) {
            const wanted = budget.computeShortage();
            if (wanted > 0) {
                void this.sendRequests(service, wanted, memberHops, mesh.hasCells() && !mesh.isCellRelay() ? this.chooseRelay() : this.choosePeers(wanted));
            }
        }
    }

    /** Chooses the relay that answered last, because it has collected for this instance; another one after a failure. */
    private chooseRelay(): readonly string[] {
        const { mesh, context: { identity } } = this.options;
        const relays = mesh.listRelayPeers().filter(peerId => mesh.getCell(peerId) === mesh.getCell(identity.instanceId));
        return relays.length === 0 ? [] : [relays[this.failedCount % relays.length]!];
    }

    private choosePeers(wanted: number): readonly string[] {
        const { mesh } = this.options;
        const linked = mesh.listLinkedPeers();
        const count = Math.min(linked.length, mesh.isCellRelay() ? peersCollectedAtOnce : peersAskedAtOnce, Math.ceil(askedTwice * wanted));
        this.position += count;
        return Array.from({ length: count }, (_, index) => linked[(this.position + index) % linked.length]!);
    }

    /** Asks peers for loans until one round of them has answered; a service has one round at a time. */
    private async sendRequests(service: string, wanted: number, hops: number, peerIds: readonly string[]): Promise<void> {
        if (this.asking.has(service)) {
            return;
        }
        this.asking.add(service);
        const wantedOfEach = Math.min(wanted, Math.max(1, askedTwice * wanted / peerIds.length));
        await Promise.all(peerIds.map(peerId => this.sendRequest(service, wantedOfEach, hops, peerId)));
        this.asking.delete(service);
    }

    private async sendRequest(service: string, wanted: number, hops: number, peerId: string): Promise<void> {
        const { context: { clock, logger }, mesh, getBudget } = this.options;
        const askedAt = clock.getNow();
        const reply = await mesh.sendRequest(peerId, topic, { service, wanted, hops });
        const loan = reply.map(body => loanSchema.safeParse(body));
        if (loan.isErr() || !loan.value.success) {
            this.failedCount += 1;
            logger.writeDebug("retry-loan-failed", "a peer lent no retries", { peer: peerId, service, reason: loan.isErr() ? loan.error.message : loan.value.error?.issues[0]?.message });
            return;
        }
        if (loan.value.data.amount > 0) {
            getBudget(service)?.addLoan(loan.value.data, askedAt);
            this.counter.inc({ direction: "borrowed" }, loan.value.data.amount);
        }
    }

    private answerRequest(body: unknown, peerId: string): retryBudget.Loan {
        const { context: { logger }, mesh, getBudget } = this.options;
        const parsed = requestSchema.safeParse(body);
        if (!parsed.success) {
            logger.writeWarning("retry-loan-malformed", "ignored a malformed request for retries from a peer", { peer: peerId, reason: parsed.error.issues[0]?.message });
            return { amount: 0, validMs: 0 };
        }
        const { service, wanted, hops } = parsed.data;
        const loan = getBudget(service)?.takeLoan(wanted) ?? { amount: 0, validMs: 0 };
        if (loan.amount > 0) {
            this.counter.inc({ direction: "lent" }, loan.amount);
        }
        if (hops > 0 && loan.amount < wanted && mesh.isCellRelay()) {
            // What is collected serves the next request: the peer asks again while it is short.
            void this.sendRequests(service, wanted - loan.amount, hops - 1, this.choosePeers(wanted - loan.amount).filter(chosen => chosen !== peerId));
        }
        return loan;
    }
}

/** Creates the lending if the setting asks for it; undefined otherwise. */
export function createRetryLending(current: context.Context, mesh: peers.Mesh, executor: executorContext.ExecutorContext): RetryLending | undefined {
    return match(current.settings.retrySlackSharing)
        .with("equal", () => undefined)
        .with("demand", () =>
            new RetryLending({
                context: current,
                mesh,
                listBudgets: () => executor.listRetryBudgets(),
                getBudget: service => executor.getServiceDefinition(service) === undefined ? undefined : executor.getRetryBudget(service),
            }))
        .exhaustive();
}

/**
 * Creates the function that returns the number of instances that share the slack. Where shares are lent, instances that were
 * heard of lately still count, because they may be cut off and use theirs; an instance that reaches none of its peers has no share.
 */
export function createInstanceCount({ settings, clock }: context.Context, mesh: peers.Mesh): () => number {
    const peak = new peakCount.PeakCount();
    return match(settings.retrySlackSharing)
        .with("equal", () => () => mesh.countMembers())
        .with("demand", () => () => {
            const count = peak.recordCount(mesh.countMembers(), clock.getNow());
            return count <= 1 && mesh.countPeerAddresses() > 0 ? Infinity : count;
        })
        .exhaustive();
}
