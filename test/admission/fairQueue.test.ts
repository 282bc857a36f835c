/**
 * Guards against a queue whose order changes where no workspaces are configured, that loses or repeats requests, or whose
 * memory grows with the number of workspaces that ever sent a request.
 */

import * as fastCheck from "fast-check";
import tap from "tap";
import * as fairQueue from "../../src/admission/fairQueue.js";

type Operation = { readonly kind: "add"; readonly isFirst: boolean; readonly cost: number; } | { readonly kind: "remove" | "take"; readonly position: number; };

const operations: fastCheck.Arbitrary<readonly Operation[]> = fastCheck.array(
    fastCheck.oneof(
        fastCheck.record({ kind: fastCheck.constant("add" as const), isFirst: fastCheck.boolean(), cost: fastCheck.integer({ min: 1, max: 2_000 }) }),
        fastCheck.record({ kind: fastCheck.constantFrom("remove" as const, "take" as const), position: fastCheck.nat(10) }),
    ),
    { maxLength: 200 },
);

void tap.test("requests without a workspace are served in the order of a plain queue, retries first", async t => {
    fastCheck.assert(
        fastCheck.property(operations, list => {
            const queue = new fairQueue.FairQueue<number>();
            let expected: number[] = [];
            list.forEach((operation, item) => {
                if (operation.kind === "add") {
                    queue.add(item, { workspace: "", cost: operation.cost, isFirst: operation.isFirst });
                    expected = operation.isFirst ? [item, ...expected] : [...expected, item];
                    return;
                }
                const chosen = expected[operation.position];
                if (chosen !== undefined) {
                    queue[operation.kind](chosen);
                    expected = expected.filter(other => other !== chosen);
                }
                queue.recordUsage("", 100, 700);
            });
            return JSON.stringify(queue.listNext(8)) === JSON.stringify(expected.slice(0, 8)) && JSON.stringify(queue.listAll()) === JSON.stringify(expected) && queue.getSize() === expected.length;
        }),
        { seed: 5, numRuns: 2_000 },
    );
    t.pass("2,000 sequences of operations");
});

void tap.test("each workspace keeps its order, and no request is lost", async t => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(fastCheck.tuple(fastCheck.nat(5), fastCheck.integer({ min: 1, max: 500 })), { maxLength: 100 }), list => {
            const queue = new fairQueue.FairQueue<{ readonly workspace: string; readonly position: number; }>();
            list.forEach(([workspace, cost], position) => queue.add({ workspace: `w${workspace}`, position }, { workspace: `w${workspace}`, cost, isFirst: false }));
            const ahead = queue.listNext(8);
            const taken = list.map(() => {
                const next = queue.listNext(1)[0]!;
                queue.take(next);
                return next;
            });
            const isOrdered = taken.every((item, index) => !taken.slice(0, index).some(({ workspace, position }) => workspace === item.workspace && position > item.position));
            const hasStableForecast = ahead.every((item, index) => taken[index] === item);
            return isOrdered && hasStableForecast && new Set(taken).size === list.length && queue.getSize() === 0;
        }),
        { seed: 6, numRuns: 1_000 },
    );
    t.pass("1,000 queues");
});

void tap.test("a workspace that joins is not behind the backlog of another, and gets no credit for the time before", async t => {
    const queue = new fairQueue.FairQueue<string>();
    const add = (item: string) => queue.add(item, { workspace: item[0]!, cost: 100, isFirst: false });
    ["a1", "a2", "a3", "a4", "a5", "a6"].forEach(add);
    queue.take("a1");
    queue.take("a2");
    ["b1", "b2", "b3"].forEach(add);
    t.strictSame(queue.listNext(7), ["b1", "a3", "b2", "a4", "b3", "a5", "a6"]);
    t.equal(queue.countServedUpTo("b"), 6, "three of each");
    t.equal(queue.countServedUpTo("a"), 7);
});

void tap.test("the memory is bounded by the queue and a constant", async t => {
    const queue = new fairQueue.FairQueue<number>();
    for (let item = 0; item < 20_000; item += 1) {
        queue.add(item, { workspace: `w${item}`, cost: 1 + (item % 7), isFirst: false });
        queue.take(item);
    }
    const { idle, active, nodes } = queue as unknown as Record<"idle" | "active" | "nodes", Map<unknown, unknown>>;
    t.ok(idle.size <= 130, `tags of ${idle.size} workspaces are kept`);
    t.equal(active.size + nodes.size, 0);
});
