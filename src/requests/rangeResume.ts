/** Decides whether a broken response body can be continued by a range request, and checks the continuation (RFC 9110, sections 13.1.5 and 14). */

import type * as http from "node:http";

/** A response body that another upstream can continue. */
export interface ResumableBody {
    /** The strong entity tag that the continuation must have. */
    readonly entityTag: string;
    /** The offset of the body within the complete representation, in bytes. */
    readonly start: number;
    /** The body's length in bytes. */
    readonly length: number;
    /** The length of the complete representation in bytes. */
    readonly total: number;
}

interface ContentRange {
    readonly first: number;
    readonly last: number;
    readonly total: number;
}

/**
 * Returns what is needed to continue a response body. Returns undefined unless the response is a GET response with a
 * strong entity tag and a Content-Length, and is either a 200 that accepts byte ranges or a valid 206.
 */
export function getResumableBody(method: string, response: http.IncomingMessage): ResumableBody | undefined {
    const entityTag = response.headers.etag;
    const length = Number(response.headers["content-length"]);
    if (method !== "GET" || entityTag === undefined || !entityTag.startsWith("\"") || !Number.isSafeInteger(length)) {
        return undefined;
    }
    if (response.statusCode === 200 && response.headers["accept-ranges"] === "bytes") {
        return { entityTag, start: 0, length, total: length };
    }
    const range = parseContentRange(response.headers["content-range"]);
    if (response.statusCode !== 206 || range === undefined || range.last - range.first + 1 !== length) {
        return undefined;
    }
    return { entityTag, start: range.first, length, total: range.total };
}

/**
 * Creates the headers that request the remainder of a body; names and values alternate.
 * @param body - The body.
 * @param offset - The number of its bytes that were received.
 */
export function createResumeHeaders(body: ResumableBody, offset: number): readonly string[] {
    const first = body.start + offset;
    const last = body.start + body.length - 1;
    return ["Range", `bytes=${first}-${last}`, "If-Range", body.entityTag];
}

/**
 * Returns whether a response contains exactly the remainder of a body.
 * @param body - The body.
 * @param offset - The number of its bytes that were received.
 * @param response - The response to the range request.
 */
export function isContinuationOf(body: ResumableBody, offset: number, response: http.IncomingMessage): boolean {
    const range = parseContentRange(response.headers["content-range"]);
    return response.statusCode === 206
        && response.headers.etag === body.entityTag
        && range?.first === body.start + offset
        && range.last === body.start + body.length - 1
        && range.total === body.total;
}

function parseContentRange(text: string | undefined): ContentRange | undefined {
    const parts = /^bytes (\d{1,15})-(\d{1,15})\/(\d{1,15})$/.exec(text ?? "");
    return !parts ? undefined : { first: Number(parts[1]), last: Number(parts[2]), total: Number(parts[3]) };
}
