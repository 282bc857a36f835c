/**
 * Guards against limits where a single upstream is full or the setting is off, against limits that refuse urgent requests
 * first, and against callers that come back together.
 */

import * as promClient from "prom-client";
import tap from "tap";
import * as rankTokens from "../../src/admission/rankTokens.js";
import * as shedControl from "../../src/admission/shedControl.js";
import * as shedLimiter from "../../src/admission/shedLimiter.js";
import type * as types from "../../src/admission/types.js";
import * as randomness from "../../src/kernel/randomness.js";
import type * as pool from "../../src/pool/index.js";

const requestsPerS = 10;
const intervalMs = 1_000 / requestsPerS;
const guaranteedShares = [0.3, 0.2, 0.1];

function createLimiter() {
    const changes: shedLimiter.LimiterChange[] = [];
    const limiter = new shedLimiter.ShedLimiter({ guaranteedShares, getSuspectShare: () => undefined, onChange: change => changes.push(change) }, 0);
    let now = 0;
    /** Sends requests for a time; the callback decides by their number whether they are shed. Returns how many were admitted. */
    const runRequests = (durationMs: number, isShed: (index: number) => boolean, getUpstream = (index: number) => `u${index % 10}`) => {
        let admitted = 0;
        for (let index = 0; index < durationMs / intervalMs; index += 1) {
            now += intervalMs;
            if (limiter.admitRequest(1, now)) {
                admitted += 1;
                limiter.recordAttempt(getUpstream(index), isShed(index), now);
            }
        }
        return admitted;
    };
    return { limiter, changes, runRequests };
}

void tap.test("a limit takes effect only while a service sheds as a whole", async t => {
    const doTest = (name: string, isShed: (index: number) => boolean, getUpstream?: (index: number) => string) => {
        const { limiter, changes, runRequests } = createLimiter();
        t.equal(runRequests(60_000, isShed, getUpstream), 600, name);
        t.strictSame(changes, [], name);
        t.equal(limiter.getLimitPerS(), undefined, name);
    };
    doTest("no sheds", () => false);
    doTest("every eighth attempt", index => index % 8 === 0);
    doTest("three in a row now and then", index => index % 60 < 3);
    doTest("a single upstream that sheds all", () => true, () => "u1");
    doTest("one of ten upstreams sheds all", index => index % 10 === 3);
});

void tap.test("a limit begins, is lifted when the service accepts, and is given up where it is of no use", async t => {
    const { limiter, changes, runRequests } = createLimiter();
    const isUnlimited = () => limiter.getLimitPerS() === undefined;
    runRequests(5_000, () => false);
    runRequests(1_500, isUnlimited);
    t.strictSame(changes.map(({ kind }) => kind), ["closed"]);
    t.ok(changes[0]!.limitPerS! < requestsPerS && changes[0]!.shedShare >= 0.5 && changes[0]!.shedUpstreams >= 3, "the change says by what it was decided");
    const admitted = runRequests(1_000, () => false);
    t.ok(admitted > 0 && admitted < 10, `${admitted} of 10 requests were admitted`);
    runRequests(6_000, () => false);
    t.strictSame(changes.map(({ kind }) => kind), ["closed", "opened"]);
    t.equal(runRequests(5_000, () => false), 50, "then all are");
    runRequests(5_000, () => true);
    t.strictSame(changes.map(({ kind }) => kind), ["closed", "opened", "closed", "suspended"]);
    t.equal(limiter.getLimitPerS(), undefined);
    t.equal(runRequests(3_000, () => true), 30, "everything is sent on for a time");
});

void tap.test("refused callers come back over a time that grows with the excess", async t => {
    const { limiter, runRequests } = createLimiter();
    runRequests(5_000, () => false);
    const { getFraction } = randomness.createSeededRandomness(1);
    const computeDelays = () => Array.from({ length: 200 }, () => limiter.computeRetryAfterMs(getFraction(), 6_500)).sort((a, b) => a - b);
    const usual = computeDelays();
    runRequests(1_500, () => true);
    const limited = computeDelays();
    t.ok(usual[0]! >= 500 && usual.at(-1)! <= 1_500, `${usual[0]} to ${usual.at(-1)} ms without a limit`);
    t.ok(limited[0]! >= 500 && limited.at(-1)! > usual.at(-1)! && limited.at(-1)! <= 6_500, `${limited[0]} to ${limited.at(-1)} ms with one`);
    const quarters = [0, 1, 2, 3].map(quarter => limited.filter(delay => Math.floor((4 * (delay - 500)) / (limited.at(-1)! - 499)) === quarter).length);
    t.ok(Math.min(...quarters) > 30, `each quarter of that time has its part of the callers: ${quarters.join(", ")}`);
});

void tap.test("urgent requests are kept, and each rank keeps its guaranteed share", async t => {
    const ratePerS = 5;
    const tokens = new rankTokens.RankTokens(guaranteedShares, 0);
    const { getFraction } = randomness.createSeededRandomness(7);
    const requested = [0, 0, 0];
    const admitted = [0, 0, 0];
    const durationS = 200;
    const demandPerS = [4, 4, 4];
    for (let now = 0; now < durationS * 1_000; now += 10) {
        demandPerS.forEach((demand, rank) => {
            if (getFraction() < demand / 100) {
                requested[rank]! += 1;
                admitted[rank]! += tokens.take(rank, ratePerS, now) ? 1 : 0;
            }
        });
    }
    const rates = admitted.map(count => count / durationS);
    t.ok(rates.reduce((sum, rate) => sum + rate, 0) <= ratePerS * 1.02, `requests admitted per second: ${rates.join(", ")}`);
    t.ok(rates.reduce((sum, rate) => sum + rate, 0) >= ratePerS * 0.95, "the rate is used");
    rates.forEach((rate, rank) => t.ok(rate >= guaranteedShares[rank]! * ratePerS * 0.8, `rank ${rank} has its guaranteed share, as far as its requests come evenly`));
    t.ok(rates[0]! > rates[1]! && rates[1]! > rates[2]!, "what is left goes to the most urgent");
});

void tap.test("the setting", async t => {
    const doTest = (shedLimit: "off" | "adaptive") => {
        let now = 0;
        const observers: pool.AttemptObserver[] = [];
        const upstreams = Array.from({ length: 10 }, (_, index) => ({ service: "s", getId: () => `u${index}`, isLeaving: () => false }));
        const events: string[] = [];
        const control = new shedControl.ShedControl(
            {
                context: {
                    settings: { shedLimit },
                    clock: { getNow: () => now },
                    metrics: new promClient.Registry(),
                    randomness: randomness.createSeededRandomness(1),
                    logger: { writeInfo: (event: string) => events.push(event), writeWarning: (event: string) => events.push(event) },
                },
                pool: { addObserver: (observer: pool.AttemptObserver) => observers.push(observer), getServicePool: () => ({ upstreams }) },
                getFailureProbability: () => undefined,
            } as unknown as shedControl.CreateShedControlOptions,
        );
        control.setService("s", guaranteedShares);
        let refused = 0;
        for (let index = 0; index < 50; index += 1) {
            now += intervalMs;
            const request = { service: "s", rankIndex: 1, isRetry: false } as types.SlotRequest;
            const error = control.getLimitError(request);
            refused += error?.kind === "overloaded" && error.retryAfterMs! >= 500 ? 1 : 0;
            if (error === undefined) {
                const upstream = upstreams[index % 7]!;
                observers.forEach(observer => observer.onEnd(upstream as unknown as pool.Upstream, {} as pool.AttemptRecord, index < 15 ? "answered" : "shed", now));
            }
        }
        return { refused, isShedding: control.isShedding("s"), events: [...new Set(events)], retryAfterMs: control.computeRetryAfterMs("s") };
    };
    t.strictSame(doTest("off"), { refused: 0, isShedding: false, events: [], retryAfterMs: undefined });
    const adaptive = doTest("adaptive");
    t.ok(adaptive.refused > 0 && adaptive.isShedding, `${adaptive.refused} requests were refused`);
    t.strictSame(adaptive.events, ["shed-limit-closed", "shed-limit-suspended"]);
});
