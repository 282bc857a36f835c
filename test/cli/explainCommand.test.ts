/** One request's story from recorded lines of two instances. */

import tap from "tap";
import * as explainCommand from "../../src/cli/explainCommand.js";

function createLine(time: number, instance: string, event: string, more: object = {}): string {
    return JSON.stringify({ time, message: event, context: { application: "agatebend", instance, event, ...more } });
}

void tap.test("a request's story", async t => {
    const first = [
        createLine(1_000, "i1", "upstream-doubted", { service: "desk", upstream: "w1" }),
        createLine(9_000, "i1", "upstream-trusted", { service: "desk", upstream: "w1" }),
        createLine(9_100, "i1", "upstream-doubted", { service: "desk", upstream: "w2" }),
        createLine(9_200, "i1", "store-unreachable"),
        createLine(9_500, "i1", "request-refused", { requestId: "r1", service: "desk", trail: "[w1 (fails 0.1, 3 ms old, 0/3 busy) queued 0 ms, after 3 ms lost: reset]" }),
        createLine(9_600, "i1", "request-refused", { requestId: "r2", service: "desk", trail: "" }),
        "half a line {",
    ].join("\n");
    const second = [createLine(9_300, "i2", "store-unreachable"), createLine(9_400, "i2", "request-refused", { requestId: "r3" })].join("\n");
    const doTest = (requestId: string, lines: number, background: readonly string[]) => {
        const story = explainCommand.findRequestTimeline([second, first], requestId);
        t.equal(story.requestLines.length, lines, requestId);
        t.strictSame(story.relatedLines.map(line => `${line.time} ${line.context.event}`), background, requestId);
    };
    doTest("r1", 1, ["9000 upstream-trusted", "9200 store-unreachable"]);
    doTest("r2", 1, ["9000 upstream-trusted", "9100 upstream-doubted", "9200 store-unreachable"]);
    doTest("r3", 1, ["9300 store-unreachable"]);
    doTest("nobody", 0, []);
});
