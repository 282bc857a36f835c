/** Splits a byte stream into length-prefixed frames. */

import { err, ok, type Result } from "neverthrow";
import * as errors from "../kernel/errors.js";
import * as wire from "./wire.js";

/** Buffers received bytes until a frame is complete. */
export class FrameReader {
    private chunks: Buffer[] = [];
    private bufferedBytes = 0;

    /** @param maximumBytes - The largest frame body accepted; a larger announced length is an error. */
    constructor(private readonly maximumBytes: number) {}

    /**
     * Adds received bytes and returns the bodies of the frames that are now complete.
     * @param chunk - Bytes from the socket.
     */
    readFrames(chunk: Buffer): Result<readonly Buffer[], errors.FleetError> {
        this.chunks.push(chunk);
        this.bufferedBytes += chunk.length;
        const bodies: Buffer[] = [];
        while (this.bufferedBytes >= wire.lengthPrefixBytes) {
            const joined = this.mergeChunks();
            const length = joined.readUInt32BE(0);
            if (length > this.maximumBytes) {
                return err(errors.createError("frameInvalid", `a frame announces ${length} bytes; ${this.maximumBytes} are allowed`));
            }
            const end = wire.lengthPrefixBytes + length;
            if (this.bufferedBytes < end) {
                break;
            }
            bodies.push(joined.subarray(wire.lengthPrefixBytes, end));
            this.chunks = [joined.subarray(end)];
            this.bufferedBytes -= end;
        }
        return ok(bodies);
    }

    private mergeChunks(): Buffer {
        const [first] = this.chunks;
        if (this.chunks.length === 1 && first !== undefined) {
            return first;
        }
        const joined = Buffer.concat(this.chunks);
        this.chunks = [joined];
        return joined;
    }
}
