import * as clock from "../../src/kernel/clock.js";
/** Which bodies may be continued elsewhere, and what is exactly their rest. */

import type * as http from "node:http";
import tap from "tap";
import * as rangeResume from "../../src/requests/rangeResume.js";
import * as retryBudget from "../../src/requests/retryBudget.js";
import * as headers from "../../src/requests/headers.js";

function createAnswer(statusCode: number, fields: http.IncomingHttpHeaders): http.IncomingMessage {
    return { statusCode, headers: fields } as http.IncomingMessage;
}

const whole = { etag: "\"v1\"", "content-length": "100", "accept-ranges": "bytes" };

void tap.test("resumable bodies", async t => {
    const doTest = (name: string, method: string, answer: http.IncomingMessage, expected: object | undefined) => t.strictSame(rangeResume.getResumableBody(method, answer), expected, name);
    doTest("a whole one", "GET", createAnswer(200, whole), { entityTag: "\"v1\"", start: 0, length: 100, total: 100 });
    doTest("a range of one", "GET", createAnswer(206, { ...whole, "content-length": "10", "content-range": "bytes 20-29/100" }), { entityTag: "\"v1\"", start: 20, length: 10, total: 100 });
    doTest("a weak validator", "GET", createAnswer(200, { ...whole, etag: "W/\"v1\"" }), undefined);
    doTest("no validator", "GET", createAnswer(200, { ...whole, etag: undefined }), undefined);
    doTest("no length", "GET", createAnswer(200, { ...whole, "content-length": undefined }), undefined);
    doTest("no ranges", "GET", createAnswer(200, { ...whole, "accept-ranges": "none" }), undefined);
    doTest("a range that does not add up", "GET", createAnswer(206, { ...whole, "content-length": "11", "content-range": "bytes 20-29/100" }), undefined);
    doTest("not a GET", "POST", createAnswer(200, whole), undefined);
});

void tap.test("the rest of a body", async t => {
    const body = { entityTag: "\"v1\"", start: 20, length: 30, total: 100 };
    t.strictSame(rangeResume.createResumeHeaders(body, 10), ["Range", "bytes=30-49", "If-Range", "\"v1\""]);
    const doTest = (name: string, status: number, fields: http.IncomingHttpHeaders, expected: boolean) =>
        t.equal(rangeResume.isContinuationOf(body, 10, createAnswer(status, { etag: "\"v1\"", "content-range": "bytes 30-49/100", ...fields })), expected, name);
    doTest("exactly it", 206, {}, true);
    doTest("the whole instead", 200, {}, false);
    doTest("another version", 206, { etag: "\"v2\"" }, false);
    doTest("too early", 206, { "content-range": "bytes 29-49/100" }, false);
    doTest("too short", 206, { "content-range": "bytes 30-48/100" }, false);
    doTest("another total", 206, { "content-range": "bytes 30-49/101" }, false);
    doTest("no range", 206, { "content-range": undefined }, false);
});

void tap.test("retries are bounded by the traffic", async t => {
    const budget = new retryBudget.RetryBudget({ clock: clock.createVirtualClock(), ratio: 0.1, slack: 10, windowMs: 10_000, countInstances: () => 1, startedAt: -10_000 });
    let taken = 0;
    for (let request = 0; request < 1_000; request += 1) {
        budget.recordRequest();
        taken += budget.acquireRetry() ? 1 : 0;
    }
    t.ok(taken <= 10 + 100, `${taken} retries for 1,000 requests that all fail`);
});

void tap.test("headers of one connection do not pass on", async t => {
    const passed = headers.listEndToEndHeaders(["Host", "x", "Connection", "keep-alive, X-Private", "X-Private", "1", "Keep-Alive", "5", "X-Public", "2", "Transfer-Encoding", "chunked", "X-Public", "3"]);
    t.strictSame(passed, ["Host", "x", "X-Public", "2", "X-Public", "3"]);
    t.strictSame(headers.removeFleetHeaders(["X-Agatebend-Outcome", "executed", "Date", "now"]), ["Date", "now"], "an upstream cannot speak for the fleet");
});
