/** Bounds the bytes of request bodies that this instance has in flight at one upstream. */

import type * as pool from "../pool/index.js";

/** The body of a request, and the bound of its service. */
export interface BodyRoomQuery {
    readonly bodyBytes: number;
    /** The most bytes in flight at one upstream; undefined if there is no bound. */
    readonly limitBytes: number | undefined;
}

/**
 * Lists the upstreams that have room for a body.
 * @remarks A body beyond the bound is sent to an upstream where no other body is in flight, since it could be sent nowhere
 * otherwise. Requests without a body fit anywhere.
 */
export function listUpstreamsWithRoom(upstreams: readonly pool.Upstream[], { bodyBytes, limitBytes }: BodyRoomQuery): readonly pool.Upstream[] {
    if (limitBytes === undefined || bodyBytes === 0) {
        return upstreams;
    }
    return upstreams.filter(candidate => {
        const inFlightBytes = candidate.getBodyBytesInFlight();
        return inFlightBytes === 0 || inFlightBytes + bodyBytes <= limitBytes;
    });
}
