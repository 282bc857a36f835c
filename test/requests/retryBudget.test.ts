/**
 * Guards against retries that amplify an overload: in no window may the whole fleet send more retries than its budget
 * allows, although each instance counts only its own requests.
 */

import fc from "fast-check";
import tap from "tap";
import * as clock from "../../src/kernel/clock.js";
import * as retryBudget from "../../src/requests/retryBudget.js";

const windowMs = 10_000;
const ratio = 0.2;
const slack = 56;

void tap.test("no window contains more retries than the budget allows", async t => {
    const step = fc.record({ instance: fc.nat(3), pauseMs: fc.integer({ min: 0, max: 400 }), retries: fc.nat(4) });
    fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 400 }), steps => {
            const time = clock.createVirtualClock();
            const budgets = Array.from({ length: 4 }, () => new retryBudget.RetryBudget({ clock: time, ratio, slack, windowMs, countInstances: () => 4, startedAt: -windowMs }));
            const requests: number[] = [];
            const retries: number[] = [];
            for (const { instance, pauseMs, retries: wantedRetries } of steps) {
                time.addTime(pauseMs);
                budgets[instance]!.recordRequest();
                requests.push(time.getNow());
                for (let index = 0; index < wantedRetries; index += 1) {
                    if (budgets[instance]!.acquireRetry()) {
                        retries.push(time.getNow());
                    }
                }
            }
            const countIn = (times: readonly number[], from: number) => times.filter(at => at >= from && at < from + windowMs).length;
            return [...requests, ...retries].every(from => countIn(retries, from) <= ratio * countIn(requests, from) + slack);
        }),
        { seed: 11, numRuns: 500 },
    );
    t.pass("500 histories of four instances");
});

void tap.test("the slack of a new instance grows over its first window", async t => {
    const time = clock.createVirtualClock();
    const budget = new retryBudget.RetryBudget({ clock: time, ratio, slack, windowMs, countInstances: () => 4, startedAt: 0 });
    const acquireAll = () => {
        let taken = 0;
        while (budget.acquireRetry()) {
            taken += 1;
        }
        return taken;
    };
    t.equal(acquireAll(), 0, "no slack right after the start");
    time.addTime(windowMs / 2);
    t.equal(acquireAll(), 6, "half of a quarter of 56, less the reserve of a tenth");
    time.addTime(windowMs / 2);
    t.equal(acquireAll(), 6, "the other half");
    Array.from({ length: 20 }, () => budget.recordRequest());
    t.equal(acquireAll(), 4, "the retries earned by 20 requests");
});
