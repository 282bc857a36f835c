/** Tells the bytes that the operating system has taken from those that are still in the process. */

import type * as net from "node:net";
import * as z from "zod";

/** The part of Node's internal handle of a socket that counts a write which the operating system has taken in part. */
const handleSchema = z.object({ bytesWritten: z.number(), writeQueueSize: z.number() });

/** Bytes written to a connection since it was opened. */
export interface WrittenBytes {
    /** Bytes that the operating system has taken. */
    readonly passed: number;
    /** Bytes that wait in the process. */
    readonly held: number;
}

/** Counts the bytes written to an open connection. Without Node's internal handle, a write that is in progress counts as held. */
export function countWrittenBytes(socket: net.Socket): WrittenBytes {
    const handle = handleSchema.safeParse(Reflect.get(socket, "_handle"));
    const passed = handle.success ? handle.data.bytesWritten - handle.data.writeQueueSize : socket.bytesWritten - socket.writableLength;
    return { passed, held: socket.bytesWritten - passed };
}
