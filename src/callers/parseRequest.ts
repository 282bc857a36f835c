/** Validates a request's headers and matches the request to a route. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as configuration from "../configuration/index.js";
import * as errors from "../kernel/errors.js";
import * as requests from "../requests/index.js";

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
/** The longest deadline that a caller may request, in milliseconds. */
const maximumDeadlineMs = 3_600_000;

/** The route and the validated header values of a request. */
export interface ParsedRequest {
    readonly route: configuration.CompiledRoute;
    readonly workspace: string;
    readonly feature: string | undefined;
    readonly deadlineMs: number;
    /** An identifier for logs; empty if the caller sent none. */
    readonly requestId: string;
}

/** Longer request identifiers are truncated to this many characters. */
const maximumRequestIdLength = 128;

/**
 * Validates a request's target and headers, and finds its route.
 * @param request - The request.
 * @param compiled - The active configuration.
 */
export function parseRequest(request: http.IncomingMessage, compiled: configuration.CompiledConfiguration): Result<ParsedRequest, errors.FleetError> {
    const method = request.method ?? "";
    const path = (request.url ?? "").split("?", 1)[0] ?? "";
    if (!path.startsWith("/")) {
        return err(errors.createError("badRequest", `the request target ${JSON.stringify(path.slice(0, 80))} must begin with /`));
    }
    const route = configuration.findRoute(compiled, { method, host: parseHost(request.headers.host), path });
    if (route === undefined) {
        return err(errors.createError("routeNotFound", `no route matches ${method} ${path.slice(0, 200)}`));
    }
    // With keys, the key names the workspace, and its name may have characters that this header does not allow.
    const workspace = compiled.needsKeys ? ok(undefined) : parseNameHeader(request, requests.fleetHeaders.workspace);
    const feature = parseNameHeader(request, requests.fleetHeaders.feature);
    const deadlineMs = parseDeadline(request, route, compiled.document.callerHeaders.deadline);
    if (workspace.isErr()) {
        return err(workspace.error);
    }
    if (feature.isErr()) {
        return err(feature.error);
    }
    if (deadlineMs.isErr()) {
        return err(deadlineMs.error);
    }
    return ok({ route, workspace: workspace.value ?? "", feature: feature.value ?? route.feature, deadlineMs: deadlineMs.value, requestId: parseRequestId(request, compiled) });
}

/**
 * Returns the value of a header, or an error if the header occurs more than once.
 * @param request - The request.
 * @param name - The header's name in lower case.
 */
export function parseSingleHeader(request: http.IncomingMessage, name: string): Result<string | undefined, errors.FleetError> {
    const values = requests.getHeaderValues(request.rawHeaders, name);
    return values.length > 1 ? err(errors.createError("badRequest", `the header ${name} stands ${values.length} times; send it once`)) : ok(values[0]);
}

function parseNameHeader(request: http.IncomingMessage, name: string): Result<string | undefined, errors.FleetError> {
    return parseSingleHeader(request, name).andThen(value => {
        const isValid = value === undefined || namePattern.test(value);
        return isValid ? ok(value) : err(errors.createError("badRequest", `the header ${name} must be 1 to 128 letters, digits, '.', '-' or '_', and begin with a letter or digit`));
    });
}

/** Returns the host of a Host header in lower case, without the port. */
function parseHost(text: string | undefined): string | undefined {
    return text?.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Returns a request's identifier for logs; empty if it has none.
 * @param request - The request.
 * @param compiled - The active configuration, if any; it names the header that carries the identifier.
 */
export function parseRequestId(request: http.IncomingMessage, compiled: configuration.CompiledConfiguration | undefined): string {
    const value = compiled === undefined ? undefined : request.headers[compiled.document.callerHeaders.requestId];
    return typeof value === "string" ? value.slice(0, maximumRequestIdLength) : "";
}

function parseDeadline(request: http.IncomingMessage, route: configuration.CompiledRoute, header: string): Result<number, errors.FleetError> {
    return parseSingleHeader(request, header).andThen(value => {
        if (value === undefined) {
            return ok(route.deadlineMs);
        }
        const deadlineMs = /^\d{1,7}$/.test(value) ? Number(value) : NaN;
        const isValid = deadlineMs >= 1 && deadlineMs <= maximumDeadlineMs;
        return isValid ? ok(deadlineMs) : err(errors.createError("badRequest", `the header ${header} must be a whole number of milliseconds from 1 to ${maximumDeadlineMs}`));
    });
}
