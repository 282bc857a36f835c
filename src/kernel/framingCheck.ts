/** Detects bodies whose framing is out of proportion to their bytes. */

import type * as net from "node:net";

/** What a connection may receive in addition to a body: the head, and data that was read but not yet passed on. */
const minimumAllowanceBytes = 262_144;
/** The framing allowed for each byte of a body. A chunk of one byte has five bytes of framing. */
const allowancePerByte = 8;

/** Returns whether the framing of the body received so far is in proportion. */
export type FramingCheck = (bodyBytes: number) => boolean;

/**
 * Creates a check for a body that begins now.
 * @param socket - The connection that receives the body.
 * @remarks RFC 9112, section 7.1.1, asks recipients to limit the total length of chunk extensions. Node limits the
 * extensions of one chunk alone.
 */
export function createFramingCheck(socket: Pick<net.Socket, "bytesRead">): FramingCheck {
    const startBytes = socket.bytesRead;
    return bodyBytes => socket.bytesRead - startBytes - bodyBytes <= minimumAllowanceBytes + bodyBytes * allowancePerByte;
}
