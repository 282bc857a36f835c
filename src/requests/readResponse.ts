/** Reads an upstream's or another instance's whole answer into memory. */

import type * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import type * as context from "../kernel/context.js";
import * as responseIntegrity from "./responseIntegrity.js";
import * as headers from "./headers.js";
import type * as types from "./types.js";

/** Why an answer could not be read whole. */
export type ReadFailure = "broken" | "tooLarge";

/** Options of a read. */
export interface ReadResponseOptions {
    readonly context: context.Context;
    readonly response: http.IncomingMessage;
    /** The largest body, in bytes. */
    readonly maximumBytes: number;
}

/**
 * Reads an answer.
 * @param options - The answer and its limits.
 */
export function readResponse(options: ReadResponseOptions): Promise<Result<types.BufferedResponse, ReadFailure>> {
    const { response, maximumBytes, context: { loop, settings } } = options;
    return new Promise(resolve => {
        const parts: Buffer[] = [];
        let bytes = 0;
        let cancelIdle = () => {};
        const finish = (result: Result<types.BufferedResponse, ReadFailure>) => {
            cancelIdle();
            if (result.isErr()) {
                response.destroy();
            }
            resolve(result);
        };
        const startIdle = () => {
            cancelIdle();
            cancelIdle = loop.scheduleOnce(settings.bodyIdleTimeoutMs, () => finish(err("broken")));
        };
        response.on("error", () => finish(err("broken")));
        response.on("close", () => finish(err("broken")));
        response.on("data", (chunk: Buffer) => {
            startIdle();
            bytes += chunk.length;
            parts.push(chunk);
            if (bytes > maximumBytes) {
                finish(err("tooLarge"));
            }
        });
        response.on("end", () => {
            finish(
                responseIntegrity.isComplete(response)
                    ? ok({
                        status: response.statusCode ?? 502,
                        rawHeaders: headers.listEndToEndHeaders(response.rawHeaders, ["content-length"]),
                        body: Buffer.concat(parts),
                    })
                    : err("broken"),
            );
        });
        startIdle();
    });
}
