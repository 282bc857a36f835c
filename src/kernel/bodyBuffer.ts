/** Collects the pieces of a body in memory that costs about as much as the body has bytes. */

import type * as heldBytes from "./heldBytes.js";

const minimumBlockBytes = 4_096;
const maximumBlockBytes = 262_144;
/** Memory of a block for the whole body is counted in steps of this size, as the body arrives: pages without data cost nothing. */
const countedStepBytes = 32_768;

/** Options of a body buffer. */
export interface CreateBodyBufferOptions {
    /** The largest body, in bytes. */
    readonly maximumBytes: number;
    /** The length that the sender announced, in bytes; 0 if it is not known. The body is then collected in one block and not copied again. */
    readonly expectedBytes?: number;
    /** Accounts for the memory; undefined for a body that is only limited by `maximumBytes`. */
    readonly reservation?: heldBytes.Reservation;
    readonly kind: heldBytes.HolderKind;
}

/** Why a piece was not added: the body is larger than the limit, or the process has no memory left for bodies. */
export type BodyBufferFailure = "tooLarge" | "memoryFull";

/**
 * Copies pieces into blocks of its own.
 * @remarks Each piece that Node passes on is an object of several hundred bytes, and may keep the read buffer of its
 * connection, even if it has one byte. A peer that sends many small pieces would make the process run out of memory.
 */
export class BodyBuffer {
    private blocks: Buffer[] = [];
    /** The bytes in use of the last block. */
    private usedBytes = 0;
    private length = 0;
    /** The memory that is counted for the blocks. */
    private allocatedBytes = 0;

    constructor(private readonly options: CreateBodyBufferOptions) {}

    /** Returns the number of bytes collected. */
    getLength(): number {
        return this.length;
    }

    /** Adds a piece. Returns why nothing of it was added, or undefined if all of it was. */
    add(piece: Buffer): BodyBufferFailure | undefined {
        if (this.length + piece.length > this.options.maximumBytes) {
            return "tooLarge";
        }
        const block = this.blocks.at(-1);
        const freeBytes = block === undefined ? 0 : block.length - this.usedBytes;
        const nextBlock = piece.length > freeBytes ? this.createBlock(piece.length - freeBytes) : undefined;
        if (nextBlock === "memoryFull") {
            return nextBlock;
        }
        if (nextBlock === undefined && !this.acquireUsed(this.length + piece.length)) {
            return "memoryFull";
        }
        const copied = block === undefined ? 0 : piece.copy(block, this.usedBytes);
        this.usedBytes += copied;
        if (nextBlock !== undefined) {
            this.blocks.push(nextBlock);
            this.usedBytes = piece.copy(nextBlock, 0, copied);
        }
        this.length += piece.length;
        return undefined;
    }

    /** Returns the memory that is counted for the blocks, in bytes. */
    getAllocatedBytes(): number {
        return this.allocatedBytes;
    }

    /** Empties the buffer and gives its memory back. */
    removeAll(): void {
        this.options.reservation?.release(this.allocatedBytes);
        this.takeParts();
    }

    /** Returns the body in parts and empties the buffer. The reservation keeps the memory of the parts. */
    takeParts(): readonly Buffer[] {
        const parts = this.blocks.map((block, index) => index === this.blocks.length - 1 ? block.subarray(0, this.usedBytes) : block);
        this.blocks = [];
        this.usedBytes = 0;
        this.length = 0;
        this.allocatedBytes = 0;
        return parts;
    }

    /** Returns the body as one buffer and empties the buffer. The reservation keeps the memory of the body. */
    takeBody(): Buffer {
        const { reservation } = this.options;
        const { length, allocatedBytes } = this;
        const parts = this.takeParts();
        // A body that uses little of its block is copied, because its holder may keep it for long.
        if (parts.length === 1 && length * 2 >= parts[0]!.buffer.byteLength) {
            return parts[0]!;
        }
        const body = Buffer.allocUnsafeSlow(length);
        parts.reduce((offset, part) => offset + part.copy(body, offset), 0);
        reservation?.release(allocatedBytes - length);
        return body;
    }

    /** Counts more of a block for the whole body. Returns false, and counts nothing, if no memory is left. */
    private acquireUsed(usedBytes: number): boolean {
        const { expectedBytes = 0, reservation, kind } = this.options;
        const countedBytes = Math.min(expectedBytes, Math.ceil(usedBytes / countedStepBytes) * countedStepBytes);
        const addedBytes = countedBytes - this.allocatedBytes;
        if (addedBytes <= 0) {
            return true;
        }
        if (reservation?.acquire(addedBytes, kind) === false) {
            return false;
        }
        this.allocatedBytes += addedBytes;
        return true;
    }

    private createBlock(neededBytes: number): Buffer | "memoryFull" {
        const { expectedBytes = 0, maximumBytes } = this.options;
        if (this.blocks.length === 0 && expectedBytes >= neededBytes && expectedBytes <= maximumBytes) {
            return this.acquireUsed(neededBytes) ? Buffer.allocUnsafeSlow(expectedBytes) : "memoryFull";
        }
        const previousBytes = this.blocks.at(-1)?.length ?? 0;
        const size = Math.max(neededBytes, minimumBlockBytes, Math.min(maximumBlockBytes, previousBytes * 2));
        if (this.options.reservation?.acquire(size, this.options.kind) === false) {
            return "memoryFull";
        }
        this.allocatedBytes += size;
        return Buffer.allocUnsafeSlow(size);
    }
}
