/** Compresses large parts of messages. A relay sends the same one to each instance of its cell at the same moment, over a link that may be slow. */

import * as zlib from "node:zlib";
import { err, type Result } from "neverthrow";
import * as z from "zod";
import * as boundedJson from "../kernel/boundedJson.js";
import * as errors from "../kernel/errors.js";

/** The largest body that is decompressed, in bytes. */
const maximumBytes = 67_108_864;

/** The schema of a compressed part of a message. */
export const deflatedSchema = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/**
 * Compresses plain data.
 * @param value - Data that JSON can represent.
 */
export function createDeflated(value: unknown): Uint8Array {
    return zlib.deflateSync(JSON.stringify(value));
}

/** Decompresses data from a peer; returns a `peerUnreachable` error if it is damaged or too large. */
export function parseDeflated(deflated: Uint8Array): Result<unknown, errors.FleetError> {
    try {
        const json = zlib.inflateSync(deflated, { maxOutputLength: maximumBytes }).toString("utf8");
        return boundedJson.parseJson(json).mapErr(error => createMalformedError(error.message));
    }
    catch (thrown) {
        return err(createMalformedError(errors.getErrorMessage(thrown)));
    }
}

function createMalformedError(reason: string): errors.FleetError {
    return errors.createError("peerUnreachable", `a compressed message from a peer cannot be read: ${reason}`);
}
