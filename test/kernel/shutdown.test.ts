/** Guards against a graceful shutdown that waits for an external system before it stops taking requests, or that never ends. */

import tap from "tap";
import type * as logger from "../../src/kernel/logger.js";
import * as shutdown from "../../src/kernel/shutdown.js";

void tap.test("the time for a graceful shutdown", async t => {
    const now = 50_000;
    const doTest = (drainTimeoutMs: number, killAfterS: number, expected: number, delayMs = 0) =>
        t.equal(
            shutdown.computeShutdown({ settings: { drainTimeoutMs, killAfterS }, requestedAt: now - delayMs, earliestRequestAt: now - delayMs, startedAt: now }).endsAt - now,
            expected,
            `${drainTimeoutMs} ms, killed after ${killAfterS} s, ${delayMs} ms late`,
        );
    doTest(900_000, 6, 5_600);
    doTest(900_000, 10, 9_600);
    doTest(900_000, 2.5, 2_100);
    doTest(3_000, 10, 3_000);
    doTest(900_000, 0, 900_000);
    doTest(900_000, 0.1, 0);
    doTest(900_000, 6, 5_100, 500);
    doTest(900_000, 6, 5_050, 900);
    doTest(3_000, 6, 3_000, 500);
    doTest(900_000, 0, 900_000, 500);
});

void tap.test("every step of a shutdown has its latest time, all before the platform kills the process", async t => {
    const now = 50_000;
    const { endsAt, closesAt, exitsAt } = shutdown.computeShutdown({ settings: { drainTimeoutMs: 900_000, killAfterS: 6 }, requestedAt: now - 300, earliestRequestAt: now - 300, startedAt: now });
    t.ok(now < endsAt && endsAt < closesAt && closesAt < exitsAt && exitsAt < now + 5_700, `${endsAt}, ${closesAt}, ${exitsAt}`);
});

void tap.test("responses are read after the end only as far as the platform does not kill the process meanwhile", async t => {
    const now = 50_000;
    for (const delayMs of [0, 300, 550, 700, 900]) {
        const { endsAt, readsEndAt } = shutdown.computeShutdown({ settings: { drainTimeoutMs: 900_000, killAfterS: 6 }, requestedAt: now - delayMs, earliestRequestAt: now - delayMs, startedAt: now });
        t.ok(readsEndAt >= endsAt && (readsEndAt === endsAt || readsEndAt < now - delayMs + 6_000), `${delayMs} ms late: ${endsAt}, ${readsEndAt}`);
    }
});

void tap.test("requests that a stopping process takes end before the platform may kill it, however long the signal has waited", async t => {
    const now = 50_000;
    const doTest = (killAfterS: number, delayMs: number, expected: number) => {
        const { admitsUntil } = shutdown.computeShutdown({ settings: { drainTimeoutMs: 900_000, killAfterS }, requestedAt: now - Math.min(delayMs, 1_000), earliestRequestAt: now - delayMs, startedAt: now });
        t.equal(admitsUntil - now, expected, `killed after ${killAfterS} s, ${delayMs} ms late`);
    };
    doTest(6, 0, 5_600);
    doTest(6, 500, 5_100);
    doTest(6, 900, 4_700);
    doTest(6, 2_500, 3_100);
    doTest(6, 7_000, -1_400);
    doTest(0, 2_500, 900_000);
});

/** Plug-ins that record when they drain; `waits` are promises that a plug-in's drain awaits. */
async function listDrained(dependencies: Readonly<Record<string, readonly string[]>>, drains: Readonly<Record<string, () => Promise<void>>>) {
    const events: string[] = [];
    const failures: string[] = [];
    const log = { writeError: (event: string) => void failures.push(event) } as unknown as logger.Logger;
    const plugins = Object.entries(dependencies).map(([name, dependsOn]) => ({
        name,
        dependsOn,
        plugin: {
            drain: async () => {
                events.push(`${name} begins`);
                await drains[name]?.();
                events.push(`${name} ends`);
            },
        },
    }));
    const ended = shutdown.drainPlugins({ plugins, shutdown: { requestedAt: 0, earliestRequestAt: 0, startedAt: 0, endsAt: 0, admitsUntil: 0, readsEndAt: 0, closesAt: 0, exitsAt: 0 }, logger: log });
    await new Promise(resolve => setImmediate(resolve));
    return { events, failures, ended };
}

void tap.test("plug-ins drain", async t => {
    await t.test("a plug-in that waits for the store does not delay one that serves callers", async t => {
        const { events } = await listDrained({ store: [], callers: ["store"], membership: ["store"] }, { membership: () => new Promise(() => {}) });
        t.strictSame(events, ["membership begins", "callers begins", "callers ends"]);
    });

    await t.test("a plug-in drains after those that depend on it, directly or through others", async t => {
        let endCallers = () => {};
        const { events, ended } = await listDrained({ store: [], peers: ["store"], callers: ["peers"] }, { callers: () => new Promise(resolve => endCallers = resolve) });
        t.strictSame(events, ["callers begins"]);
        endCallers();
        await ended;
        t.strictSame(events, ["callers begins", "callers ends", "peers begins", "peers ends", "store begins", "store ends"]);
    });

    await t.test("a plug-in that fails to drain is logged, and the others drain", async t => {
        const { events, failures, ended } = await listDrained({ peers: [], callers: ["peers"] }, { callers: () => Promise.reject(new Error("failed")) });
        await ended;
        t.strictSame(events, ["callers begins", "peers begins", "peers ends"]);
        t.strictSame(failures, ["plugin-drain-failed"]);
    });
});
