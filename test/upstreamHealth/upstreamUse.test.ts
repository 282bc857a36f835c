/**
 * Healthy upstreams receive requests, also those that failed a while ago. Only a request yields an observation, so an
 * upstream that loses to every one with a recent success is never observed again, and the others carry its load.
 */

import tap from "tap";
import * as healthInstance from "../harness/healthInstance.js";

const workMs = 300;
const durationMs = 14_000;
/** The platform's rule looks at this span, and demands this share of the upstreams that have been healthy for some time. */
const windowMs = 2_000;
const requiredShare = 0.7;

/** Sends a request every 25 ms, and each again once if it fails. Returns the upstreams used in each window. */
function runTraffic(seed: number, isFailing: (index: number, atMs: number) => boolean, untilMs: number): readonly ReadonlySet<string>[] {
    const { time, upstreamPool, choose } = healthInstance.createHealthInstance(seed, [{ name: "look", repeatable: true }]);
    const windows: Set<string>[] = [];
    const startedAt = time.now;
    const send = (canRetry: boolean, excluded: ReadonlySet<string>) => {
        const chosen = choose("look", canRetry, excluded);
        if (chosen === undefined) {
            return;
        }
        const atMs = time.now - startedAt;
        const attempt = upstreamPool.startAttempt(chosen, "look", 0);
        (windows[Math.floor(atMs / windowMs)] ??= new Set()).add(chosen.getId());
        const fails = isFailing(Number(chosen.getId().slice(1)), atMs);
        time.scheduleOnce(fails ? 5 : workMs, () => {
            upstreamPool.finishAttempt(chosen, attempt, fails ? "failed" : "answered");
            if (fails && canRetry) {
                send(false, new Set([chosen.getId()]));
            }
        });
    };
    time.scheduleRepeatedly(25, () => send(true, new Set()));
    time.addTime(untilMs);
    return windows;
}

void tap.test("upstreams that recovered are used again, although others have room and recent successes", async t => {
    for (const seed of [1, 2, 3]) {
        const windows = runTraffic(seed, (index, atMs) => index < 12 && atMs < 2_000, durationMs);
        const shares = windows.slice(2, durationMs / windowMs).map(used => used.size / healthInstance.upstreamCount);
        t.ok(Math.min(...shares) >= requiredShare, `seed ${seed}: shares of the upstreams used in each window: ${shares.join(", ")}`);
    }
});
