import * as clock from "../../src/kernel/clock.js";
/**
 * Guards against corrupted bodies: a broken body may be continued only if its validator is strong, and only with exactly
 * the missing bytes of the same representation. Also covers the retry budget and the filtering of headers.
 */

import type * as http from "node:http";
import tap from "tap";
import * as rangeResume from "../../src/requests/rangeResume.js";
import * as retryBudget from "../../src/requests/retryBudget.js";
import * as headers from "../../src/requests/headers.js";

function createResponse(statusCode: number, fields: http.IncomingHttpHeaders): http.IncomingMessage {
    return { statusCode, headers: fields } as http.IncomingMessage;
}

const completeHeaders = { etag: "\"v1\"", "content-length": "100", "accept-ranges": "bytes" };

void tap.test("resumable bodies", async t => {
    const doTest = (name: string, method: string, response: http.IncomingMessage, expected: object | undefined) => t.strictSame(rangeResume.getResumableBody(method, response), expected, name);
    doTest("a complete representation", "GET", createResponse(200, completeHeaders), { entityTag: "\"v1\"", start: 0, length: 100, total: 100 });
    doTest("a range of a representation", "GET", createResponse(206, { ...completeHeaders, "content-length": "10", "content-range": "bytes 20-29/100" }), { entityTag: "\"v1\"", start: 20, length: 10, total: 100 });
    doTest("a weak validator", "GET", createResponse(200, { ...completeHeaders, etag: "W/\"v1\"" }), undefined);
    doTest("no validator", "GET", createResponse(200, { ...completeHeaders, etag: undefined }), undefined);
    doTest("no Content-Length", "GET", createResponse(200, { ...completeHeaders, "content-length": undefined }), undefined);
    doTest("no support for ranges", "GET", createResponse(200, { ...completeHeaders, "accept-ranges": "none" }), undefined);
    doTest("a range that does not match the Content-Length", "GET", createResponse(206, { ...completeHeaders, "content-length": "11", "content-range": "bytes 20-29/100" }), undefined);
    doTest("a method other than GET", "POST", createResponse(200, completeHeaders), undefined);
});

void tap.test("the remainder of a body", async t => {
    const body = { entityTag: "\"v1\"", start: 20, length: 30, total: 100 };
    t.strictSame(rangeResume.createResumeHeaders(body, 10), ["Range", "bytes=30-49", "If-Range", "\"v1\""]);
    const doTest = (name: string, status: number, fields: http.IncomingHttpHeaders, expected: boolean) =>
        t.equal(rangeResume.isContinuationOf(body, 10, createResponse(status, { etag: "\"v1\"", "content-range": "bytes 30-49/100", ...fields })), expected, name);
    doTest("exactly the remainder", 206, {}, true);
    doTest("the complete representation instead", 200, {}, false);
    doTest("another entity tag", 206, { etag: "\"v2\"" }, false);
    doTest("a range that starts too early", 206, { "content-range": "bytes 29-49/100" }, false);
    doTest("a range that ends too early", 206, { "content-range": "bytes 30-48/100" }, false);
    doTest("another total length", 206, { "content-range": "bytes 30-49/101" }, false);
    doTest("no Content-Range", 206, { "content-range": undefined }, false);
});

void tap.test("retries are limited to a fraction of the requests", async t => {
    const budget = new retryBudget.RetryBudget({ clock: clock.createVirtualClock(), ratio: 0.1, slack: 10, windowMs: 10_000, countInstances: () => 1, startedAt: -10_000 });
    let taken = 0;
    for (let request = 0; request < 1_000; request += 1) {
        budget.recordRequest();
        taken += budget.acquireRetry() ? 1 : 0;
    }
    t.ok(taken <= 10 + 100, `${taken} retries for 1,000 requests that all fail`);
});

void tap.test("hop-by-hop headers are not forwarded", async t => {
    const forwarded = headers.listEndToEndHeaders(["Host", "x", "Connection", "keep-alive, X-Private", "X-Private", "1", "Keep-Alive", "5", "X-Public", "2", "Transfer-Encoding", "chunked", "X-Public", "3"]);
    t.strictSame(forwarded, ["Host", "x", "X-Public", "2", "X-Public", "3"]);
    t.strictSame(headers.removeFleetHeaders(["X-Agatebend-Outcome", "executed", "Date", "now"]), ["Date", "now"], "an upstream cannot set the fleet's headers");
});
