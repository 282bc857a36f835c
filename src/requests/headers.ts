/** Selects the headers that are forwarded between callers and upstreams. */

/** Names of the headers that the fleet itself defines. */
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
 * Lists the end-to-end headers; names and values alternate. Hop-by-hop headers and those named by the Connection header
 * are left out.
 * @param rawHeaders - Alternating names and values.
 * @param dropped - Lower-case names of further headers to leave out.
 */
export function listEndToEndHeaders(rawHeaders: readonly string[], dropped: readonly string[] = []): string[] {
    const connectionHeaders = getHeaderValues(rawHeaders, "connection").flatMap(value => value.split(",").map(name => name.trim().toLowerCase()));
    const excluded = new Set([...connectionHeaders, ...dropped]);
    const kept: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !excluded.has(name)) {
            kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
        }
    }
    return kept;
}

/**
 * Removes the `x-agatebend-` headers, which only the fleet may set on a response.
 * @param rawHeaders - Alternating names and values.
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
 * Returns all values of a header.
 * @param rawHeaders - Alternating names and values.
 * @param wanted - The lower-case name.
 */
export function getHeaderValues(rawHeaders: readonly string[], wanted: string): readonly string[] {
    return rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === wanted);
}
