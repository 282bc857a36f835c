/** Decides whether the head of a response is one of HTTP/1 that can be passed on. Node's parser accepts others, too. */

import * as http from "node:http";
import * as errors from "../kernel/errors.js";

/** Smaller statuses are interim responses, or none at all. */
const minimumFinalStatus = 200;
/** RFC 9110, section 15: a client treats larger statuses as server errors, so nothing is known of the request. */
const maximumStatus = 599;
const versions: ReadonlySet<string> = new Set(["1.0", "1.1"]);

/** Returns why a status line has another protocol than HTTP/1; undefined if it does not. */
export function getVersionFault(httpVersion: string): string | undefined {
    return versions.has(httpVersion) ? undefined : `the response has the version HTTP/${httpVersion}`;
}

/** Returns why the status line of a final response is none of HTTP/1; undefined if it is. */
export function getStatusLineFault({ statusCode = 0, httpVersion }: Pick<http.IncomingMessage, "statusCode" | "httpVersion">): string | undefined {
    return statusCode < minimumFinalStatus || statusCode > maximumStatus ? `the response has the status ${statusCode}` : getVersionFault(httpVersion);
}

/** Returns why the headers of a response cannot be passed on; undefined if they can. Node's writer refuses some that its parser accepts. */
export function getHeaderFault({ rawHeaders }: Pick<http.IncomingMessage, "rawHeaders">): string | undefined {
    try {
        rawHeaders.forEach((text, index) => index % 2 === 0 ? http.validateHeaderName(text) : http.validateHeaderValue(rawHeaders[index - 1]!, text));
        return undefined;
    }
    catch (thrown) {
        return `the head of the response cannot be passed on: ${errors.getErrorMessage(thrown)}`;
    }
}
