/**
 * Compresses messages between failure domains, where bytes are expensive. Messages on a link resemble those before them (the
 * same identifiers, with other counters), so the latest ones serve as the dictionary. Both ends keep the same messages,
 * because a link delivers every message in order or closes.
 */

import * as zlib from "node:zlib";
import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";

/** The first byte of a compressed body. As CBOR it is a number, which no message is. */
const compressedMarker = 0;
/** The size of the dictionary. Several seconds of heartbeats and health updates of a cell fit in; each message costs the time to read it. */
const historyBytes = 8_192;
/** Shorter bodies are sent as they are, because the result would hardly be shorter. */
const minimumBytes = 32;
/** Larger bodies are sent as they are: they are chunks and snapshots, which are compressed already, and would take long. */
const maximumBytes = 32_768;
/** The sender compresses no larger bodies, so a body that decompresses to more is not from it. */
const zlibOptions = { level: 6, maxOutputLength: maximumBytes };

/** Compresses the bodies of frames on one link in both directions. */
export class LinkCompression {
    private sentHistory: Buffer = Buffer.alloc(0);
    private receivedHistory: Buffer = Buffer.alloc(0);

    /**
     * Encodes the body of a frame that is sent on the link, in the order of sending.
     * @param isAccepted - Whether the peer accepts compressed bodies. Others are part of the dictionary too.
     */
    encodeBody(body: Buffer, isAccepted: boolean): Buffer {
        const compressed = isAccepted && body.length >= minimumBytes && body.length <= maximumBytes
            ? zlib.deflateRawSync(body, { ...zlibOptions, dictionary: this.sentHistory })
            : undefined;
        this.sentHistory = mergeHistory(this.sentHistory, body);
        return compressed === undefined || compressed.length + 1 >= body.length ? body : Buffer.concat([Buffer.of(compressedMarker), compressed]);
    }

    /** Decodes the body of a frame that was received on the link; returns a `frameInvalid` error if it is damaged or too large. */
    decodeBody(received: Buffer): Result<Buffer, errors.FleetError> {
        return this.parseBody(received).map(body => {
            this.receivedHistory = mergeHistory(this.receivedHistory, body);
            return body;
        });
    }

    private parseBody(received: Buffer): Result<Buffer, errors.FleetError> {
        if (received[0] !== compressedMarker) {
            return ok(received);
        }
        try {
            return ok(zlib.inflateRawSync(received.subarray(1), { ...zlibOptions, dictionary: this.receivedHistory }));
        }
        catch (thrown) {
            return err(errors.createError("frameInvalid", `a compressed frame of ${received.length} bytes cannot be read: ${errors.getErrorMessage(thrown)}`));
        }
    }
}

/** Appends a body to the latest ones. Bodies that are sent uncompressed because of their size are left out. */
function mergeHistory(history: Buffer, body: Buffer): Buffer {
    if (body.length > maximumBytes) {
        return history;
    }
    const merged = Buffer.concat([history, body]);
    return merged.subarray(Math.max(0, merged.length - historyBytes));
}
