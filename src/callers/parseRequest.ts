/** Checks a caller's headers and matches the request to its route. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import * as configuration from "../configuration/index.js";
import * as errors from "../kernel/errors.js";
import * as requests from "../requests/index.js";

const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
/** The longest deadline that a caller may ask for, in milliseconds. */
const maximumDeadlineMs = 3_600_000;

/** A request whose headers are good and whose route is known. */
export interface ParsedRequest {
    readonly route: configuration.CompiledRoute;
    readonly workspace: string;
    readonly feature: string | undefined;
    readonly deadlineMs: number;
    /** For logs; empty where the caller sent none. */
    readonly requestId: string;
}

/** The longest request identifier that is written to logs. */
const maximumIdLength = 128;

/**
 * Parses a request's headers.
 * @param request - The request.
 * @param compiled - The configuration in force.
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
    const workspace = parseName(request, requests.fleetHeaders.workspace);
    const feature = parseName(request, requests.fleetHeaders.feature);
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
 * Returns a header's only value.
 * @param request - The request.
 * @param name - The lower-case name.
 */
export function parseSingleHeader(request: http.IncomingMessage, name: string): Result<string | undefined, errors.FleetError> {
    const values = requests.getHeaderValues(request.rawHeaders, name);
    return values.length > 1 ? err(errors.createError("badRequest", `the header ${name} stands ${values.length} times; send it once`)) : ok(values[0]);
}

function parseName(request: http.IncomingMessage, name: string): Result<string | undefined, errors.FleetError> {
    return parseSingleHeader(request, name).andThen(value => {
        const isGood = value === undefined || namePattern.test(value);
        return isGood ? ok(value) : err(errors.createError("badRequest", `the header ${name} must be 1 to 128 letters, digits, '.', '-' or '_', and begin with a letter or digit`));
    });
}

/** Returns the host that a caller named, in lower case and without its port. */
function parseHost(text: string | undefined): string | undefined {
    return text?.replace(/:\d+$/, "").toLowerCase();
}

/**
 * Returns a request's identifier for logs; empty where it has none.
 * @param request - The request.
 * @param compiled - The configuration in force, if any.
 */
export function parseRequestId(request: http.IncomingMessage, compiled: configuration.CompiledConfiguration | undefined): string {
    const value = compiled === undefined ? undefined : request.headers[compiled.document.callerHeaders.requestId];
    return typeof value === "string" ? value.slice(0, maximumIdLength) : "";
}

function parseDeadline(request: http.IncomingMessage, route: configuration.CompiledRoute, header: string): Result<number, errors.FleetError> {
    return parseSingleHeader(request, header).andThen(value => {
        if (value === undefined) {
            return ok(route.deadlineMs);
        }
        const deadlineMs = /^\d{1,7}$/.test(value) ? Number(value) : NaN;
        const isGood = deadlineMs >= 1 && deadlineMs <= maximumDeadlineMs;
        return isGood ? ok(deadlineMs) : err(errors.createError("badRequest", `the header ${header} must be a whole number of milliseconds from 1 to ${maximumDeadlineMs}`));
    });
}
