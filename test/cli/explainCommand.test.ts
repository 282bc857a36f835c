/** Tests which lines the `explain` command selects from the logs of two instances. */

import tap from "tap";
import * as explainCommand from "../../src/cli/explainCommand.js";

function createLine(time: number, instance: string, event: string, fields: object = {}): string {
    return JSON.stringify({ time, message: event, context: { application: "agatebend", instance, event, ...fields } });
}

void tap.test("the log lines that explain a request", async t => {
    const firstLog = [
        createLine(1_000, "i1", "upstream-doubted", { service: "desk", upstream: "w1" }),
        createLine(9_000, "i1", "upstream-trusted", { service: "desk", upstream: "w1" }),
        createLine(9_100, "i1", "upstream-doubted", { service: "desk", upstream: "w2" }),
        createLine(9_200, "i1", "store-unreachable"),
        createLine(9_500, "i1", "request-refused", { requestId: "r1", service: "desk", trail: "[w1 (fails 0.1, 3 ms old, 0/3 busy) queued 0 ms, after 3 ms lost: reset]" }),
        createLine(9_600, "i1", "request-refused", { requestId: "r2", service: "desk", trail: "" }),
        createLine(10_000, "i1", "instance-draining"),
        createLine(10_100, "i1", "drain-requests-answered", { requestIds: "r4 r5" }),
        createLine(10_200, "i1", "callers-port-closed"),
        createLine(10_300, "i1", "drain-request-cut", { requestId: "r6", trail: "[w2 (fails 0.1, 3 ms old, 0/3 busy) queued 0 ms, after 900 ms waiting for upstreamHead]" }),
        "half a line {",
    ].join("\n");
    const secondLog = [createLine(9_300, "i2", "store-unreachable"), createLine(9_400, "i2", "request-refused", { requestId: "r3" })].join("\n");
    const testTimeline = (requestId: string, requestLineCount: number, relatedLines: readonly string[]) => {
        const timeline = explainCommand.findRequestTimeline([secondLog, firstLog], requestId);
        t.equal(timeline.requestLines.length, requestLineCount, requestId);
        t.strictSame(timeline.relatedLines.map(line => `${line.time} ${line.context.event}`), relatedLines, requestId);
    };
    testTimeline("r1", 1, ["9000 upstream-trusted", "9200 store-unreachable"]);
    testTimeline("r2", 1, ["9000 upstream-trusted", "9100 upstream-doubted", "9200 store-unreachable"]);
    testTimeline("r3", 1, ["9300 store-unreachable"]);
    testTimeline("r5", 1, ["9200 store-unreachable", "10000 instance-draining"]);
    testTimeline("r6", 1, ["9100 upstream-doubted", "9200 store-unreachable", "10000 instance-draining", "10200 callers-port-closed"]);
    testTimeline("r", 0, []);
    testTimeline("nobody", 0, []);
});

// Guards against a hedge that is shown as an attempt of its own, and against attempts that are run together.
void tap.test("the attempts of a line", async t => {
    const trail = "[w1 (0/3 busy) queued 0 ms, after 90 ms answered 200] [hedge to w1: won] [w2 (1/3 busy) queued 0 ms, after 150 ms cancelled]";
    const line = { time: 0, message: "answered", context: { event: "request-answered", instance: "i1", trail } };
    t.strictSame(explainCommand.formatLogLine(line).split("\n").slice(1), ["    attempt: w1 (0/3 busy) queued 0 ms, after 90 ms answered 200", "    hedge to w1: won", "    attempt: w2 (1/3 busy) queued 0 ms, after 150 ms cancelled"]);
    t.match(explainCommand.formatLogLine({ ...line, context: { ...line.context, trail: "[hedge not sent: share] [w1 (0/3 busy) queued 0 ms, after 900 ms answered 200]" } }), /\n {4}hedge not sent: share\n/);
});
