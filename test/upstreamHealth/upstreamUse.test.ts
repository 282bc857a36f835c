/**
 * Guards against healthy upstreams that receive nothing while requests of their service fail (FLOOR). Only a request yields
 * an observation, so an upstream that loses to every one with a recent success is never observed again, and the others
 * carry its load. An upstream that turns slow while its callers leave keeps its good estimate all the while.
 */

import tap from "tap";
import type * as pool from "../../src/pool/index.js";
import * as randomness from "../../src/kernel/randomness.js";
import * as healthInstance from "../harness/healthInstance.js";

const workMs = 300;
const durationMs = 14_000;
const intervalMs = 25;
/** How long callers wait for a slow upstream. */
const patienceMs = 1_500;
/** The platform's rule looks at this span, and demands this share of the healthy upstreams while more than this share of the requests fails. */
const windowMs = 2_000;
const requiredShare = 0.7;
const toleratedFailures = 0.1;
const seeds = [1, 2, 3];

/** How an attempt ends, and after which time. */
interface AttemptEnd {
    readonly outcome: pool.AttemptOutcome;
    readonly afterMs: number;
}

/** The traffic of one window. */
interface TrafficWindow {
    /** The indices of the upstreams that received requests. */
    readonly used: Set<number>;
    requests: number;
    unserved: number;
}

const answered: AttemptEnd = { outcome: "answered", afterMs: workMs };
const failed: AttemptEnd = { outcome: "failed", afterMs: 5 };
const abandoned: AttemptEnd = { outcome: "cancelled", afterMs: patienceMs };

/** Sends a request every 25 ms, and each again up to `maximumRetries` times if it fails. */
function runTraffic(seed: number, maximumRetries: 0 | 1, getEnd: (index: number, atMs: number) => AttemptEnd, repeatable = true): readonly TrafficWindow[] {
    const { time, upstreamPool, choose } = healthInstance.createHealthInstance(seed, [{ name: "look", repeatable }]);
    const windows = Array.from({ length: durationMs / windowMs }, (): TrafficWindow => ({ used: new Set(), requests: 0, unserved: 0 }));
    const startedAt = time.now;
    const send = (canRetry: boolean, excluded: ReadonlySet<string>) => {
        const chosen = choose("look", canRetry, excluded);
        if (chosen === undefined) {
            return;
        }
        const atMs = time.now - startedAt;
        const index = Number(chosen.getId().slice(1));
        const attempt = upstreamPool.startAttempt(chosen, "look", 0);
        const end = getEnd(index, atMs);
        const window = windows[Math.min(windows.length - 1, Math.floor(atMs / windowMs))]!;
        window.used.add(index);
        window.requests += 1;
        window.unserved += end !== answered && !(end === failed && canRetry) ? 1 : 0;
        time.scheduleOnce(end.afterMs, () => {
            upstreamPool.finishAttempt(chosen, attempt, end.outcome);
            if (end.outcome === "failed" && canRetry) {
                send(false, new Set([chosen.getId()]));
            }
        });
    };
    time.scheduleRepeatedly(intervalMs, () => send(maximumRetries > 0, new Set()));
    time.addTime(durationMs);
    return windows;
}

void tap.test("upstreams that recovered are used again, although others have room and recent successes", async t => {
    for (const seed of seeds) {
        const windows = runTraffic(seed, 1, (index, atMs) => index < 12 && atMs < 2_000 ? failed : answered);
        const shares = windows.slice(2).map(({ used }) => used.size / healthInstance.upstreamCount);
        t.ok(Math.min(...shares) >= requiredShare, `seed ${seed}: shares of the upstreams used in each window: ${shares.join(", ")}`);
    }
});

void tap.test("healthy upstreams are used while others are slow and their callers leave", async t => {
    const slowCount = 8;
    for (const seed of seeds) {
        const windows = runTraffic(seed, 1, (index, atMs) => index < slowCount && atMs >= 4_000 ? abandoned : answered);
        const shares = windows.slice(2).map(({ used }) => [...used].filter(index => index >= slowCount).length / (healthInstance.upstreamCount - slowCount));
        t.ok(Math.min(...shares) >= requiredShare, `seed ${seed}: shares of the healthy upstreams used in each window: ${shares.join(", ")}`);
    }
});

void tap.test("healthy upstreams are used once requests that cannot be retried fail", async t => {
    for (const seed of seeds) {
        const slow = new Set<number>();
        const windows = runTraffic(seed, 0, (index, atMs) => {
            if (atMs < 4_000) {
                slow.add(index);
            }
            return slow.has(index) && atMs >= 4_000 ? abandoned : answered;
        });
        // The window from 4 s on holds the requests that show that the upstreams used so far have turned slow.
        const failing = windows.slice(3).filter(({ unserved, requests }) => unserved > requests * toleratedFailures);
        const shares = failing.map(({ used }) => [...used].filter(index => !slow.has(index)).length / (healthInstance.upstreamCount - slow.size));
        t.ok(Math.min(1, ...shares) >= requiredShare, `seed ${seed}: shares of the healthy upstreams used in each window with failures: ${shares.join(", ")}`);
    }
});

void tap.test("healthy upstreams are used once those of a service with orders alone fail in part", async t => {
    const failingPart = 0.4;
    for (const seed of seeds) {
        const { getFraction } = randomness.createSeededRandomness(seed);
        const failing = new Set<number>();
        const windows = runTraffic(
            seed,
            0,
            (index, atMs) => {
                if (atMs < 4_000) {
                    failing.add(index);
                }
                return failing.has(index) && atMs >= 4_000 && getFraction() < failingPart ? failed : answered;
            },
            false,
        );
        t.ok(windows[2]!.unserved > 0, `seed ${seed}: ${windows[2]!.unserved} orders failed in the window from 4 s on`);
        const unserved = windows.slice(2).filter(({ unserved: count, requests }) => count > requests * toleratedFailures);
        const shares = unserved.map(({ used }) => [...used].filter(index => !failing.has(index)).length / (healthInstance.upstreamCount - failing.size));
        t.ok(Math.min(1, ...shares) >= requiredShare, `seed ${seed}: shares of the healthy upstreams used in each window with failures: ${shares.join(", ")}`);
    }
});

// 85 upstreams of a service with orders alone, of which 0.6 lose 0.4 of their responses: the choice kept to those with a recent success.
void tap.test("healthy upstreams are used while most of a service with orders alone lose a part of their responses", async t => {
    const losingShare = 0.6;
    const lostPart = 0.4;
    for (const seed of seeds) {
        const { getFraction } = randomness.createSeededRandomness(seed);
        const losing = new Set(Array.from({ length: healthInstance.upstreamCount }, (_, index) => index).filter(() => getFraction() < losingShare));
        const windows = runTraffic(seed, 0, (index, atMs) => losing.has(index) && atMs >= 4_000 && getFraction() < lostPart ? failed : answered, false);
        const unserved = windows.slice(2).filter(({ unserved: count, requests }) => count > requests * toleratedFailures);
        const shares = unserved.map(({ used }) => [...used].filter(index => !losing.has(index)).length / (healthInstance.upstreamCount - losing.size));
        t.ok(Math.min(1, ...shares) >= requiredShare, `seed ${seed}: shares of the healthy upstreams used in each window with failures: ${shares.join(", ")}`);
    }
});
