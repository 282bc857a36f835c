/**
 * Guards against lent retries that exceed the budget of the fleet in any window, whatever is lost, late, restarted or frozen,
 * and against a slack that is of no use because each instance of a large fleet may use less than one retry of it.
 */

import fc from "fast-check";
import { err, ok } from "neverthrow";
import * as promClient from "prom-client";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as errors from "../../src/kernel/errors.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as peakCount from "../../src/requests/peakCount.js";
import * as retryBudget from "../../src/requests/retryBudget.js";
import * as retryLending from "../../src/requests/retryLending.js";
import * as virtualTime from "../harness/virtualTime.js";

const windowMs = 10_000;
const slack = 60;
/** The last tenth is reserved for retries that reach upstreams later than they are counted. Loans must not use it. */
const usableSlack = 0.9 * slack;

/** Counts the most retries in a window, for each window that begins with one of them. */
function countMost(times: readonly number[]): number {
    let [most, first] = [0, 0];
    times.forEach((at, index) => {
        while (times[first]! <= at - windowMs) {
            first += 1;
        }
        most = Math.max(most, index - first + 1);
    });
    return most;
}

void tap.test("no window contains more retries than the slack, with late and lost loans, frozen and restarted instances", async t => {
    const instanceCount = 6;
    const instance = fc.nat(instanceCount - 1);
    const step = fc.oneof(
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("acquire" as const), instance, count: fc.integer({ min: 1, max: 12 }) }) },
        /** A frozen process answers late, or reads the answer late. */
        {
            weight: 6,
            arbitrary: fc.record({ kind: fc.constant("ask" as const), instance, peer: instance, wanted: fc.integer({ min: 1, max: 8 }), requestMs: fc.nat(2_000), replyMs: fc.oneof(fc.nat(200), fc.nat(6_000)), isLost: fc.boolean() }),
        },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), instance }) },
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("pause" as const), durationMs: fc.oneof(fc.nat(300), fc.nat(4_000)) }) },
    );
    let [most, lent] = [0, 0];
    fc.assert(
        fc.property(fc.array(step, { minLength: 100, maxLength: 500 }), steps => {
            const time = new virtualTime.VirtualTime();
            const getNow = () => time.now;
            const create = (startedAt: number) => new retryBudget.RetryBudget({ clock: { getNow } as clock.Clock, ratio: 0, slack, windowMs, countInstances: () => instanceCount, startedAt, slackSharing: "demand" });
            const budgets = Array.from({ length: instanceCount }, () => create(-100_000));
            const retries: number[] = [];
            for (const current of steps) {
                switch (current.kind) {
                    case "acquire":
                        Array.from({ length: current.count }, () => budgets[current.instance]!.acquireRetry()).filter(Boolean).forEach(() => retries.push(time.now));
                        break;
                    case "ask": {
                        const [askedAt, borrower] = [time.now, budgets[current.instance]!];
                        time.scheduleOnce(current.requestMs, () => {
                            const loan = budgets[current.peer]!.takeLoan(current.wanted);
                            lent += loan.amount;
                            time.scheduleOnce(current.replyMs, () => current.isLost ? undefined : borrower.addLoan(loan, askedAt));
                        });
                        break;
                    }
                    case "restart":
                        budgets[current.instance] = create(time.now);
                        break;
                    case "pause":
                        time.addTime(current.durationMs);
                        break;
                }
            }
            most = Math.max(most, countMost(retries));
            return countMost(retries) <= usableSlack;
        }),
        { seed: 23, numRuns: 1_500 },
    );
    t.pass(`1,500 histories of ${instanceCount} instances, at most ${most} of ${usableSlack} retries in a window, ${Math.round(lent)} lent in all`);
});

interface TestInstance {
    readonly budget: retryBudget.RetryBudget;
    readonly lending: retryLending.RetryLending;
    readonly answer: (body: unknown, from: string) => Promise<unknown>;
    retries: number[];
}

/** Creates a fleet in cells of 20 with two relays each, in which no message takes time. */
function createFleet(instanceCount: number, slackSharing: "equal" | "demand") {
    const time = new virtualTime.VirtualTime();
    const cellSize = 20;
    const getCell = (id: string) => `${Math.floor(Number(id) / cellSize)}`;
    const isRelay = (id: string) => Number(id) % cellSize < 2;
    const ids = Array.from({ length: instanceCount }, (_, index) => `${index}`);
    const lost = new Set<string>();
    const instances = new Map<string, TestInstance>();
    const isLinked = (id: string, other: string) => id !== other && !lost.has(id) && !lost.has(other) && (getCell(id) === getCell(other) ? isRelay(id) || isRelay(other) : isRelay(id) && isRelay(other));
    for (const id of ids) {
        const budget = new retryBudget.RetryBudget({ clock: { getNow: () => time.now } as clock.Clock, ratio: 0.2, slack: 214, windowMs, countInstances: () => instanceCount, startedAt: -100_000, slackSharing });
        let answer: TestInstance["answer"] = async () => undefined;
        const lending = new retryLending.RetryLending({
            context: { clock: { getNow: () => time.now }, loop: time, logger: { writeDebug: () => {}, writeWarning: () => {} }, metrics: new promClient.Registry(), identity: { instanceId: id } },
            mesh: {
                setHandler: (_topic: string, handler: TestInstance["answer"]) => {
                    answer = handler;
                },
                sendRequest: async (peerId: string, _topic: string, body: unknown) => isLinked(id, peerId) ? await instances.get(peerId)!.answer(body, id) : err(errors.createError("peerUnreachable", "cut")),
                listLinkedPeers: () => ids.filter(other => isLinked(id, other)),
                listRelayPeers: () => ids.filter(other => isLinked(id, other) && isRelay(other)),
                isCellRelay: () => isRelay(id),
                hasCells: () => true,
                getCell,
            },
            listBudgets: () => new Map([["s", budget]]),
            getBudget: () => budget,
        } as unknown as retryLending.CreateRetryLendingOptions);
        instances.set(id, { budget, lending, answer: (body, from) => answer(body, from), retries: [] });
        if (slackSharing === "demand") {
            lending.start();
        }
    }
    return { time, instances, lost };
}

/** Lets three of 130 instances want three retries a second each; 3.5 requests a second arrive at every instance. */
async function countRetries(slackSharing: "equal" | "demand", durationMs: number, loseRelays: boolean): Promise<{ readonly ofBusy: number; readonly mostExtra: number; }> {
    const { time, instances, lost } = createFleet(130, slackSharing);
    const random = randomness.createSeededRandomness(5);
    const busy = ["7", "50", "111"];
    const stepMs = 50;
    const all: number[] = [];
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
        if (loseRelays && elapsedMs === 5_000) {
            ["0", "40", "41"].forEach(id => lost.add(id));
        }
        for (const [id, { budget, retries }] of instances) {
            if (random.getFraction() < 3.5 * stepMs / 1_000) {
                budget.recordRequest();
            }
            if (busy.includes(id) && random.getFraction() < 3 * stepMs / 1_000 && budget.acquireRetry()) {
                retries.push(time.now);
                all.push(time.now);
            }
        }
        time.addTime(stepMs);
        await new Promise(resolve => setImmediate(resolve));
    }
    const ofBusy = busy.reduce((sum, id) => sum + instances.get(id)!.retries.filter(at => at > time.now - windowMs).length, 0);
    return { ofBusy, mostExtra: countMost(all) };
}

void tap.test("the slack follows demand", async t => {
    const equal = await countRetries("equal", 30_000, false);
    const demand = await countRetries("demand", 30_000, false);
    const disturbed = await countRetries("demand", 30_000, true);
    t.comment(`retries of three busy instances in the last 10 s: ${equal.ofBusy} with equal shares, ${demand.ofBusy} with lending, ${disturbed.ofBusy} after three relays were lost, of about 90 wanted`);
    t.ok(demand.ofBusy > 2 * equal.ofBusy, "more than twice as many as with equal shares");
    t.ok(disturbed.ofBusy > 1.5 * equal.ofBusy, "also without some of the relays");
    t.ok(demand.mostExtra <= 214 + 0.2 * 3.5 * 130 * 10, "within the bound of the fleet");
});

void tap.test("malformed requests and replies lend nothing", async t => {
    const { instances } = createFleet(20, "demand");
    const { answer, budget } = instances.get("0")!;
    t.strictSame(await answer({ service: "s", wanted: -1, hops: 2 }, "1"), ok({ amount: 0, validMs: 0 }));
    const before = budget.getRemainingRetries();
    t.strictSame(await answer({ service: "s", wanted: 2, hops: 0 }, "1"), ok({ amount: 2, validMs: retryBudget.loanValidityMs }));
    t.ok(Math.abs(before - budget.getRemainingRetries() - 2) < 1e-9, "a loan counts as used by the lender");
});

/** Guards against instances of a partitioned fleet that divide the slack by those that they still hear from. */
void tap.test("instances that were heard of lately count", async t => {
    const peak = new peakCount.PeakCount();
    t.equal(peak.recordCount(4, 0), 4);
    t.equal(peak.recordCount(2, 300_000), 4, "cut off");
    t.equal(peak.recordCount(2, 700_000), 4, "in the next period");
    t.equal(peak.recordCount(2, 1_300_000), 2, "forgotten in the end");
});
