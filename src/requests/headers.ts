/** Which headers pass from one side of the fleet to the other. */

/** The headers of the fleet's own. */
export const fleetHeaders = {
    workspace: "x-agatebend-workspace",
    feature: "x-agatebend-feature",
    orderKey: "x-agatebend-order-key",
    outcome: "x-agatebend-outcome",
    error: "x-agatebend-error",
    retry: "x-agatebend-retry",
    instance: "x-agatebend-instance",
    attempts: "x-agatebend-attempts",
    forwardedBy: "x-agatebend-forwarded-by",
} as const;

const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

const fleetHeaderPrefix = "x-agatebend-";

/**
 * Lists the headers that pass on, as name and value in turn: not those of one connection, nor those that the
 * Connection header names.
 * @param rawHeaders - Name and value in turn.
 * @param dropped - Further lower-case names to leave out.
 */
export function listEndToEndHeaders(rawHeaders: readonly string[], dropped: readonly string[] = []): string[] {
    const named = getHeaderValues(rawHeaders, "connection").flatMap(value => value.split(",").map(name => name.trim().toLowerCase()));
    const left = new Set([...named, ...dropped]);
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !left.has(name)) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

/**
 * Removes the headers that only the fleet may set on an answer.
 * @param rawHeaders - Name and value in turn.
 */
export function removeFleetHeaders(rawHeaders: readonly string[]): string[] {
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (!rawHeaders[index]!.toLowerCase().startsWith(fleetHeaderPrefix)) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

/**
 * Returns the values of a header.
 * @param rawHeaders - Name and value in turn.
 * @param wanted - The lower-case name.
 */
export function getHeaderValues(rawHeaders: readonly string[], wanted: string): readonly string[] {
    return rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === wanted);
}
